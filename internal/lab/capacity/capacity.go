// Package capacity measures how the cost of a fleet grows with its size. Each sweep varies one size, in simulated time or with
// processes on loopback, and yields points, to which growth curves are fitted.
package capacity

import (
	"context"
	"errors"
	"fmt"
	"runtime/metrics"
	"slices"
	"strings"
	"time"
)

// Axis is the size that a sweep varies; all other sizes are fixed.
type Axis string

const (
	// Drivers varies the number of drivers.
	Drivers Axis = "drivers"
	// Members varies the number of members.
	Members Axis = "members"
	// Clients varies the number of clients of one driver.
	Clients Axis = "clients"
)

// Point is one measured value at one size. Its fields are the columns of rows.csv and rows.parquet, and its type name is the name of the
// Parquet schema.
type Point struct {
	Sweep   string  `parquet:"sweep"`
	Measure string  `parquet:"measure"` // for example view_bytes
	Unit    string  `parquet:"unit"`    // for example B/s per driver
	Axis    string  `parquet:"axis"`
	Size    int64   `parquet:"size"` // value on the axis
	Drivers int64   `parquet:"drivers"`
	Members int64   `parquet:"members"`
	Seed    uint64  `parquet:"seed"`
	Value   float64 `parquet:"value"`
	How     string  `parquet:"how"` // how the value was obtained: simulated, loopback or counted
}

// Sweep measures along one axis. Play measures one size and passes each point to the callback as it is measured; it returns early when
// the context ends.
type Sweep struct {
	Name  string
	About string // what is measured, and what the model leaves out
	Axis  Axis
	Sizes []int
	Play  func(ctx context.Context, size int, seed uint64, point func(Point)) error
}

// sweepSources lists the functions that return sweeps.
var sweepSources = []func() []Sweep{viewSweeps, leaseSweeps, listSweeps, processSweeps, driverSweeps, primarySweeps, configurationSweeps}

// Sweeps returns all sweeps, in the order in which they are played.
func Sweeps() (all []Sweep) {
	for _, source := range sweepSources {
		all = append(all, source()...)
	}
	return all
}

// Sizes that sweeps measure along each axis.
var (
	DriverSizes = []int{30, 100, 235, 470, 940}
	MemberSizes = []int{120, 550, 1100, 2200}
)

const (
	// UsualDrivers is the number of drivers where a sweep varies another size.
	UsualDrivers = 470
	// UsualMembers is the number of members where a sweep varies another size.
	UsualMembers = 1100
)

// Bounds limit the time and memory of a part. Play cuts off a part that exceeds one.
type Bounds struct {
	Time   time.Duration // of one part
	Memory int64         // of this process, in bytes
}

// Part is one run of a sweep: at one size, with one seed.
type Part struct {
	Sweep Sweep
	Size  int
	Seed  uint64
}

// Cut records a part that was cut off or not played, and why.
type Cut struct {
	Sweep string `json:"sweep"`
	Size  int    `json:"size"`
	Seed  uint64 `json:"seed"`
	Why   string `json:"why"`
}

// Pick returns the parts of the named sweeps at the given sizes. No names select all sweeps; no sizes select all sizes of each sweep.
func Pick(all []Sweep, names []string, sizes []int, seeds []uint64) (parts []Part, err error) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(s Sweep) bool { return s.Name == name }) {
			var known []string
			for _, s := range all {
				known = append(known, s.Name)
			}
			return nil, fmt.Errorf("unknown sweep %q; known sweeps are %s", name, strings.Join(known, ", "))
		}
	}
	for _, s := range all {
		if len(names) > 0 && !slices.Contains(names, s.Name) {
			continue
		}
		for _, size := range s.Sizes {
			if len(sizes) > 0 && !slices.Contains(sizes, size) {
				continue
			}
			for _, seed := range seeds {
				parts = append(parts, Part{s, size, seed})
			}
		}
	}
	for _, size := range sizes {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Size == size }) {
			return nil, fmt.Errorf("size %d: not a size of any selected sweep", size)
		}
	}
	return parts, nil
}

// ErrTime and ErrMemory are the reasons why a part is cut off.
var (
	ErrTime   = errors.New("it took longer than its bound")
	ErrMemory = errors.New("it held more memory than its bound")
)

// Play plays the parts one after the other and calls report after each. A part that exceeds a bound is cut off: its points are dropped,
// and the same and larger sizes of the sweep are skipped, because they would exceed the bound too. Play returns an error when a sweep
// fails or the context ends.
func Play(ctx context.Context, bounds Bounds, parts []Part, report func(done int, p Part, took time.Duration, cut error)) (points []Point, cuts []Cut, err error) {
	cutOffSize := make(map[string]int) // by sweep, the size that was cut off
	for i, p := range parts {
		if ctx.Err() != nil {
			return points, cuts, context.Cause(ctx)
		}
		if limit, known := cutOffSize[p.Sweep.Name]; known && p.Size >= limit {
			cuts = append(cuts, Cut{p.Sweep.Name, p.Size, p.Seed, fmt.Sprintf("not played: size %d was cut off", limit)})
			continue
		}
		start := time.Now()
		measured, err := playPart(ctx, bounds, p)
		cutErr := error(nil)
		switch {
		case errors.Is(err, ErrTime), errors.Is(err, ErrMemory), errors.Is(err, ErrProgram):
			cutErr = err
			cutOffSize[p.Sweep.Name] = p.Size
			cuts = append(cuts, Cut{p.Sweep.Name, p.Size, p.Seed, err.Error()})
		case err != nil:
			return points, cuts, fmt.Errorf("sweep %s, size %d, seed %d: %w", p.Sweep.Name, p.Size, p.Seed, err)
		default:
			points = append(points, measured...)
		}
		report(i+1, p, time.Since(start), cutErr)
	}
	return points, cuts, nil
}

// playPart plays a part and ends it when it exceeds a bound. It reads the memory in use every 100 ms.
func playPart(ctx context.Context, bounds Bounds, p Part) (points []Point, err error) {
	partCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() {
		done <- p.Sweep.Play(partCtx, p.Size, p.Seed, func(point Point) {
			point.Sweep, point.Axis, point.Size, point.Seed = p.Sweep.Name, string(p.Sweep.Axis), int64(p.Size), p.Seed
			points = append(points, point)
		})
	}()
	memoryCheck := time.NewTicker(100 * time.Millisecond)
	defer memoryCheck.Stop()
	timeout := time.NewTimer(bounds.Time)
	defer timeout.Stop()
	for {
		select {
		case err = <-done:
			if partCtx.Err() != nil {
				err = context.Cause(partCtx)
			}
			return points, err
		case <-timeout.C:
			cancel(fmt.Errorf("%w of %v", ErrTime, bounds.Time))
		case <-memoryCheck.C:
			if inUse := MemoryInUse(); inUse > bounds.Memory {
				cancel(fmt.Errorf("%w of %d MB: %d", ErrMemory, bounds.Memory>>20, inUse>>20))
			}
		}
	}
}

// MemoryInUse returns the memory that this process holds, in bytes, without heap memory returned to the operating system.
func MemoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

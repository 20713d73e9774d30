// Package capacity measures how what a fleet costs grows with its size. Each sweep plays one axis at a time, in simulated
// time or with processes on loopback, and gives points; slopes are fitted to them.
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

// Axis is the size that a sweep changes; all others stay as they are.
type Axis string

const (
	// Drivers varies the number of drivers.
	Drivers Axis = "drivers"
	// Members varies the number of members.
	Members Axis = "members"
	// Clients varies the number of clients of one driver.
	Clients Axis = "clients"
)

// Point is one measured value at one size.
type Point struct {
	Sweep   string  `parquet:"sweep"`
	Measure string  `parquet:"measure"` // such as view_bytes
	Unit    string  `parquet:"unit"`    // such as B/s per driver
	Axis    string  `parquet:"axis"`
	Size    int64   `parquet:"size"` // along the axis
	Drivers int64   `parquet:"drivers"`
	Members int64   `parquet:"members"`
	Seed    uint64  `parquet:"seed"`
	Value   float64 `parquet:"value"`
	How     string  `parquet:"how"` // simulated, loopback or counted
}

// Sweep plays one axis. Play gives its points as they are measured; it ends early when the context does.
type Sweep struct {
	Name  string
	About string // what is played, and what is left out
	Axis  Axis
	Sizes []int
	Play  func(stop context.Context, size int, seed uint64, point func(Point)) error
}

// sources are where the sweeps come from.
var sources = []func() []Sweep{viewSweeps, leaseSweeps, listSweeps, processSweeps, driverSweeps, primarySweeps, configurationSweeps}

// Sweeps are all that there are, in the order in which they are played.
func Sweeps() (all []Sweep) {
	for _, source := range sources {
		all = append(all, source()...)
	}
	return all
}

// The sizes that sweeps have along each axis, and those on which the other axis stays.
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

// Bounds end what takes too much.
type Bounds struct {
	Time   time.Duration // of one sweep at one size
	Memory int64         // bytes that the process holds
}

// Part is one sweep at one size with one seed.
type Part struct {
	Sweep Sweep
	Size  int
	Seed  uint64
}

// Cut is a part that did not come to its end, and why.
type Cut struct {
	Sweep string `json:"sweep"`
	Size  int    `json:"size"`
	Seed  uint64 `json:"seed"`
	Why   string `json:"why"`
}

// Pick gives the parts of the named sweeps, all of them for no names, at the named sizes, all of theirs for none.
func Pick(all []Sweep, names []string, sizes []int, seeds []uint64) (parts []Part, err error) {
	for _, name := range names {
		if !slices.ContainsFunc(all, func(s Sweep) bool { return s.Name == name }) {
			var known []string
			for _, s := range all {
				known = append(known, s.Name)
			}
			return nil, fmt.Errorf("sweep %q: there is none; there are %s", name, strings.Join(known, ", "))
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
			return nil, fmt.Errorf("size %d: none of the sweeps has it", size)
		}
	}
	return parts, nil
}

// ErrTime and ErrMemory are why a part was cut off.
var (
	ErrTime   = errors.New("it took longer than its bound")
	ErrMemory = errors.New("it held more memory than its bound")
)

// Play plays the parts one after the other. A part that passes a bound is ended and counts as cut off: its points are left out,
// as is a larger size of the same sweep, which would not fit either. An error is one of a sweep's own, or the context's.
func Play(c context.Context, b Bounds, parts []Part, told func(done int, p Part, took time.Duration, cut error)) (points []Point, cuts []Cut, err error) {
	passed := make(map[string]int) // the size that a sweep could not take
	for i, p := range parts {
		if c.Err() != nil {
			return points, cuts, context.Cause(c)
		}
		if most, some := passed[p.Sweep.Name]; some && p.Size >= most {
			cuts = append(cuts, Cut{p.Sweep.Name, p.Size, p.Seed, fmt.Sprintf("not played: size %d was cut off", most)})
			continue
		}
		began := time.Now()
		got, err := one(c, b, p)
		why := error(nil)
		switch {
		case errors.Is(err, ErrTime), errors.Is(err, ErrMemory), errors.Is(err, ErrProgram):
			why = err
			passed[p.Sweep.Name] = p.Size
			cuts = append(cuts, Cut{p.Sweep.Name, p.Size, p.Seed, err.Error()})
		case err != nil:
			return points, cuts, fmt.Errorf("sweep %s, size %d, seed %d: %w", p.Sweep.Name, p.Size, p.Seed, err)
		default:
			points = append(points, got...)
		}
		told(i+1, p, time.Since(began), why)
	}
	return points, cuts, nil
}

// one plays a part within its bounds.
func one(c context.Context, b Bounds, p Part) (points []Point, err error) {
	within, end := context.WithCancelCause(c)
	defer end(nil)
	done := make(chan error, 1)
	go func() {
		done <- p.Sweep.Play(within, p.Size, p.Seed, func(at Point) {
			at.Sweep, at.Axis, at.Size, at.Seed = p.Sweep.Name, string(p.Sweep.Axis), int64(p.Size), p.Seed
			points = append(points, at)
		})
	}()
	look := time.NewTicker(100 * time.Millisecond)
	defer look.Stop()
	late := time.NewTimer(b.Time)
	defer late.Stop()
	for {
		select {
		case err = <-done:
			if within.Err() != nil {
				err = context.Cause(within)
			}
			return points, err
		case <-late.C:
			end(fmt.Errorf("%w of %v", ErrTime, b.Time))
		case <-look.C:
			if held := Held(); held > b.Memory {
				end(fmt.Errorf("%w of %d MB: %d", ErrMemory, b.Memory>>20, held>>20))
			}
		}
	}
}

// Held is what the process holds of the machine's memory, in bytes.
func Held() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

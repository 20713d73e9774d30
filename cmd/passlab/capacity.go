package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"passtack/internal/lab"
	"passtack/internal/lab/capacity"
)

// sweeps measures how what a fleet costs grows with its size.
type sweeps struct {
	Sweep   []string      `arg:"" optional:"" help:"Names of sweeps; none: all."`
	Size    []int         `help:"Only these sizes."`
	Seeds   string        `help:"A seed, or a range as 1..3." default:"1..3"`
	Time    time.Duration `help:"What one sweep at one size may take before it is cut off." default:"10m"`
	Memory  int64         `help:"MB that this process may hold before a sweep is cut off." default:"4096"`
	Program string        `help:"What sweeps with processes start as drivers." type:"existingfile" placeholder:"FILE"`
	Out     string        `help:"Folder for rows.csv, rows.parquet, cut.json, tables.md and charts; what it has of other sweeps, sizes and seeds stays." type:"path" default:"docs/results/capacity"`
	Add     []string      `help:"Folders whose rows are taken in first." type:"existingdir" placeholder:"FOLDER"`
	List    bool          `help:"Name the sweeps and what they play."`
	Tables  bool          `help:"Play nothing; write the tables and charts of what the folder has."`
}

// Run plays the sweeps that the flags name and writes their tables and charts.
func (c *sweeps) Run() error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	if c.List {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		for _, s := range capacity.Sweeps() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.Name, s.Axis, strings.Trim(fmt.Sprint(s.Sizes), "[]"), s.About)
		}
		return w.Flush()
	}
	seeds, err := lab.Seeds(c.Seeds)
	if err != nil {
		return err
	}
	if c.Time < time.Second {
		return fmt.Errorf("--time %v is under a second", c.Time)
	}
	if c.Memory < 64 {
		return fmt.Errorf("--memory %d is under 64 MB", c.Memory)
	}
	parts, err := capacity.Pick(capacity.Sweeps(), c.Sweep, c.Size, seeds)
	if err != nil {
		return err
	}
	kept, err := capacity.Read(c.Out)
	if err != nil {
		return err
	}
	for _, folder := range c.Add {
		other, err := capacity.Read(folder)
		if err != nil {
			return err
		}
		kept.Add(other.Points, other.Cuts)
	}
	capacity.Program = c.Program
	stop, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	if c.Tables {
		parts = nil
	}
	points, cuts, err := capacity.Play(stop, capacity.Bounds{Time: c.Time, Memory: c.Memory << 20}, parts, func(done int, p capacity.Part, took time.Duration, cut error) {
		text := fmt.Sprintf("%d of %d: %s at %d, seed %d, took %.1f s", done, len(parts), p.Sweep.Name, p.Size, p.Seed, took.Seconds())
		if cut != nil {
			text += ", cut off: " + cut.Error()
		}
		fmt.Fprintln(os.Stderr, text)
	})
	kept.Add(points, cuts)
	if len(kept.Points)+len(kept.Cuts) > 0 {
		if wrong := kept.Save(c.Out); wrong != nil {
			return errors.Join(err, wrong)
		}
	}
	if stop.Err() != nil {
		return fmt.Errorf("interrupted: what was played whole is kept in %s", c.Out)
	}
	return errors.Join(err, capacity.Tables(os.Stdout, kept))
}

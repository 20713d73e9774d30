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

// sweepCommand measures how the costs of a fleet grow with its size.
type sweepCommand struct {
	Sweep   []string      `arg:"" optional:"" help:"Names of the sweeps to run; default: all."`
	Size    []int         `help:"Run only these sizes."`
	Seeds   string        `help:"A seed, or a range such as 1..3." default:"1..3"`
	Time    time.Duration `help:"Time limit for one sweep at one size." default:"10m"`
	Memory  int64         `help:"Memory limit of this process in MB, above which a sweep is cut off." default:"4096"`
	Program string        `help:"Program that sweeps with processes start as drivers." type:"existingfile" placeholder:"FILE"`
	Out     string        `help:"Folder for rows.csv, rows.parquet, cut.json, tables.md and charts; its rows of other sweeps, sizes and seeds are kept." type:"path" default:"docs/results/capacity"`
	Add     []string      `help:"Folders whose rows are merged in first." type:"existingdir" placeholder:"FOLDER"`
	List    bool          `help:"List the sweeps and what they play."`
	Tables  bool          `help:"Run no sweep; write the tables and charts from the rows in the folder."`
}

// Run runs the sweeps that the flags name and writes their tables and charts.
func (c *sweepCommand) Run() error {
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
		return fmt.Errorf("--time is %v, want at least 1s", c.Time)
	}
	if c.Memory < 64 {
		return fmt.Errorf("--memory is %d MB, want at least 64", c.Memory)
	}
	runs, err := capacity.Pick(capacity.Sweeps(), c.Sweep, c.Size, seeds)
	if err != nil {
		return err
	}
	results, err := capacity.Read(c.Out)
	if err != nil {
		return err
	}
	for _, folder := range c.Add {
		other, err := capacity.Read(folder)
		if err != nil {
			return err
		}
		results.Add(other.Points, other.Cuts)
	}
	capacity.Program = c.Program
	ctx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopSignals()
	if c.Tables {
		runs = nil
	}
	points, cuts, err := capacity.Play(ctx, capacity.Bounds{Time: c.Time, Memory: c.Memory << 20}, runs, func(done int, p capacity.Part, took time.Duration, cut error) {
		text := fmt.Sprintf("%d of %d: %s at %d, seed %d, took %.1f s", done, len(runs), p.Sweep.Name, p.Size, p.Seed, took.Seconds())
		if cut != nil {
			text += ", cut off: " + cut.Error()
		}
		fmt.Fprintln(os.Stderr, text)
	})
	results.Add(points, cuts)
	if len(results.Points)+len(results.Cuts) > 0 {
		if writeErr := results.Save(c.Out); writeErr != nil {
			return errors.Join(err, writeErr)
		}
	}
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: results of completed sweeps are kept in %s", c.Out)
	}
	return errors.Join(err, capacity.Tables(os.Stdout, results))
}

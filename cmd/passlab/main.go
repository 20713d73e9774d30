// Command passlab runs experiments: it plays scripts with several arms and seeds, and writes the results as tables and charts.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"passtack/internal/lab"
)

// experimentCommand plays scripts with several arms and seeds.
type experimentCommand struct {
	Scripts []string `arg:"" help:"Scripts to play (HCL)." type:"existingfile"`
	Seeds   string   `help:"A seed, or a range such as 1..20." default:"1..10"`
	Arm     []string `help:"An arm of the comparison, as NAME or NAME:KEY=VALUE;...; the others are compared with the first." sep:"none" default:"as-it-is"`
	Scale   int      `help:"Factor for the drivers, groups, sessions and RPCs of each script." default:"1"`
	Program string   `help:"Play in real time, with this program as the drivers, one play at a time." type:"existingfile" placeholder:"FILE"`
	Out     string   `help:"Folder for rows.csv, rows.parquet and utility.png." type:"path" default:"experiment"`
}

// Run plays each script with each arm and seed and writes the rows and the chart.
func (c *experimentCommand) Run() error {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	seeds, err := lab.Seeds(c.Seeds)
	if err != nil {
		return err
	}
	var arms []lab.Arm
	for _, text := range c.Arm {
		arm, err := lab.ParseArm(strings.ReplaceAll(text, ";", ","))
		if err != nil {
			return err
		}
		arms = append(arms, arm)
	}
	ctx, stopSignals := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stopSignals()
	lastProgress := time.Now()
	options := lab.Options{Scale: c.Scale, Program: c.Program}
	if c.Program != "" {
		options.Concurrency = 1
	}
	rows, err := lab.Play(ctx, options, c.Scripts, arms, seeds, func(done, all int, _ lab.Row) {
		if time.Since(lastProgress) > time.Second {
			lastProgress = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d played\n", done, all)
		}
	})
	if len(rows) > 0 {
		if writeErr := lab.Save(c.Out, rows); writeErr != nil {
			return writeErr
		}
	}
	lab.Print(os.Stdout, lab.Summarize(rows))
	lab.PrintReturns(os.Stdout, rows)
	if ctx.Err() != nil {
		return fmt.Errorf("interrupted: the rows of %d rehearsals are kept", len(rows))
	}
	return err
}

// compareCommand compares the plays of two experiments in pairs.
type compareCommand struct {
	First  string `arg:"" help:"Folder of an experiment." type:"existingdir"`
	Second string `arg:"" help:"Folder of another experiment with the same scripts and seeds." type:"existingdir"`
}

// Run compares the rows that both experiments have for the same script and seed.
func (c *compareCommand) Run() error {
	var sets [2][]lab.Row
	for i, folder := range []string{c.First, c.Second} {
		var err error
		if sets[i], err = lab.ReadParquet(filepath.Join(folder, "rows.parquet")); err != nil {
			return fmt.Errorf("%s: %w", folder, err)
		}
	}
	differences := lab.Compare(sets[0], sets[1])
	if len(differences) == 0 {
		return fmt.Errorf("%s and %s have no script and seed in common", c.First, c.Second)
	}
	lab.PrintDifferences(os.Stdout, differences)
	return nil
}

func main() {
	var command struct {
		Experiment experimentCommand `cmd:"" help:"Play scripts with several arms and seeds, and compare them."`
		Compare    compareCommand    `cmd:"" help:"Compare two experiments by the scripts and seeds that they have in common."`
		Capacity   sweepCommand      `cmd:"" help:"Run the sweeps behind docs/CAPACITY.md, and fit the growth of each measure."`
	}
	c := kong.Parse(&command, kong.Name("passlab"), kong.Description("Runs experiments on rehearsals, in simulated or real time."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "passlab:", err)
		os.Exit(1)
	}
}

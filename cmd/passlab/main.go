// Command passlab plays experiments: rehearsals over scripts, arms and seeds, kept as tables and charts.
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

type experiment struct {
	Scripts []string `arg:"" help:"What is played (HCL)." type:"existingfile"`
	Seeds   string   `help:"A seed, or a range as 1..20." default:"1..10"`
	Arm     []string `help:"NAME or NAME:KEY=VALUE;..., what is compared; the first is what the others are held against." sep:"none" default:"as-it-is"`
	Scale   int      `help:"Times the drivers, groups, sessions and RPCs of each script." default:"1"`
	Program string   `help:"Play in real time, with this program as the drivers, one play at a time." type:"existingfile" placeholder:"FILE"`
	Out     string   `help:"Folder for rows.csv, rows.parquet and utility.png." type:"path" default:"experiment"`
}

// Run plays each script with each variant and seed and writes the rows and the chart.
func (c *experiment) Run() error {
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
	stop, end := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer end()
	shown := time.Now()
	how := lab.Options{Scale: c.Scale, Program: c.Program}
	if c.Program != "" {
		how.Concurrency = 1
	}
	rows, err := lab.Play(stop, how, c.Scripts, arms, seeds, func(done, all int, _ lab.Row) {
		if time.Since(shown) > time.Second {
			shown = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d played\n", done, all)
		}
	})
	if len(rows) > 0 {
		if kept := lab.Save(c.Out, rows); kept != nil {
			return kept
		}
	}
	lab.Print(os.Stdout, lab.Summarize(rows))
	lab.PrintReturns(os.Stdout, rows)
	if stop.Err() != nil {
		return fmt.Errorf("interrupted: %d rehearsals are kept", len(rows))
	}
	return err
}

// compare pairs the plays of two experiments.
type compare struct {
	First  string `arg:"" help:"Folder of an experiment." type:"existingdir"`
	Second string `arg:"" help:"Folder of another with the same scripts and seeds." type:"existingdir"`
}

// Run holds the rows of two experiments against each other.
func (c *compare) Run() error {
	var sets [2][]lab.Row
	for i, folder := range []string{c.First, c.Second} {
		var err error
		if sets[i], err = lab.ReadParquet(filepath.Join(folder, "rows.parquet")); err != nil {
			return fmt.Errorf("%s: %w", folder, err)
		}
	}
	all := lab.Compare(sets[0], sets[1])
	if len(all) == 0 {
		return fmt.Errorf("%s and %s have no script and seed in common", c.First, c.Second)
	}
	lab.PrintDifferences(os.Stdout, all)
	return nil
}

func main() {
	var command struct {
		Experiment experiment `cmd:"" help:"Play scripts with several arms and seeds, and compare them."`
		Compare    compare    `cmd:"" help:"Compare two experiments by the plays that they have in common."`
		Capacity   sweeps     `cmd:"" help:"Play the sweeps behind docs/CAPACITY.md, and fit how each measure grows."`
	}
	c := kong.Parse(&command, kong.Name("passlab"), kong.Description("Experiments on rehearsals in simulated time."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "passlab:", err)
		os.Exit(1)
	}
}

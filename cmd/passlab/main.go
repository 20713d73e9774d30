// Command passlab plays experiments: rehearsals over scripts, arms and seeds, kept as tables and charts.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
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
	Out     string   `help:"Folder for rows.csv, rows.parquet and utility.png." type:"path" default:"experiment"`
}

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
	rows, err := lab.Play(stop, c.Scripts, arms, seeds, func(done, all int, _ lab.Row) {
		if time.Since(shown) > time.Second {
			shown = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d played\n", done, all)
		}
	})
	if len(rows) > 0 {
		if kept := lab.Keep(c.Out, rows); kept != nil {
			return kept
		}
	}
	lab.Print(os.Stdout, lab.Summarize(rows))
	if stop.Err() != nil {
		return fmt.Errorf("interrupted: %d rehearsals are kept", len(rows))
	}
	return err
}

func main() {
	var command struct {
		Experiment experiment `cmd:"" help:"Play scripts with several arms and seeds, and compare them."`
	}
	c := kong.Parse(&command, kong.Name("passlab"), kong.Description("Experiments on rehearsals in simulated time."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "passlab:", err)
		os.Exit(1)
	}
}

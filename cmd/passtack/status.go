package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"passtack/internal/control"
	"passtack/internal/node"
)

// status asks a running driver.
type status struct {
	At   string `arg:"" help:"Its control address, as the operator's file names it."`
	JSON bool   `help:"As JSON."`
}

func (c *status) Run() error {
	var s node.Status
	if err := control.Query(c.At, "status", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "driver\t%s\ncomeback\t%s\nready\t%.2f\n\n", s.Name, s.RecoveryStage, s.Ready)
	if len(s.Jobs) > 0 {
		fmt.Fprintln(w, "chore\tstate\tfor\truns\tfailed\tlate\tskipped\tspent\tlongest slice\tslowest write\tbytes\twhy")
	}
	for _, k := range s.Jobs {
		why := k.BlockedBy
		if why == "" && k.SkippedRuns > 0 {
			why = "skipped for " + k.SkipReason
		}
		fmt.Fprintf(w, "%s\t%s\t%.1fs\t%d\t%d\t%d\t%d\t%.1fms\t%.2fms\t%.1fms\t%d\t%s\n", k.Name, k.State, float64(k.ForMS)/1000, k.Runs, k.Failed, k.StartedLate, k.SkippedRuns,
			k.UsedMS, k.LongestSliceMS, k.LongestWorkerMS, k.Bytes, why)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Counters)) {
		fmt.Fprintf(w, "%s\t%d\n", name, s.Counters[name])
	}
	return w.Flush()
}

func printJSON(value any) error {
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", " ")
	return out.Encode(value)
}

// askAll asks drivers one question and prints what they say; those that say nothing are named at the end.
func askAll[T any](at []string, question string, asJSON bool, print func([]T) error) error {
	var all []T
	var silent []string
	for _, one := range at {
		var s T
		if err := control.Query(one, question, &s); err != nil {
			silent = append(silent, fmt.Sprintf("%s: %v", one, err))
			continue
		}
		all = append(all, s)
	}
	if asJSON {
		print = func(all []T) error { return printJSON(all) }
	}
	if err := print(all); err != nil {
		return err
	}
	if len(silent) > 0 {
		return errors.New(strings.Join(silent, "\n"))
	}
	return nil
}

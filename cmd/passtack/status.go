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

// statusCommand shows the state of a running driver.
type statusCommand struct {
	At   string `arg:"" help:"Control address of the driver, as named in its operator's file."`
	JSON bool   `help:"As JSON."`
}

// Run queries the driver's control endpoint and prints a table, or JSON.
func (c *statusCommand) Run() error {
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

// queryAll queries the control endpoints of several drivers and prints their answers. Its error names those that did not answer.
func queryAll[T any](addresses []string, query string, asJSON bool, print func([]T) error) error {
	var answers []T
	var failures []string
	for _, address := range addresses {
		var answer T
		if err := control.Query(address, query, &answer); err != nil {
			failures = append(failures, fmt.Sprintf("%s: %v", address, err))
			continue
		}
		answers = append(answers, answer)
	}
	if asJSON {
		print = func(answers []T) error { return printJSON(answers) }
	}
	if err := print(answers); err != nil {
		return err
	}
	if len(failures) > 0 {
		return errors.New(strings.Join(failures, "\n"))
	}
	return nil
}

package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"passtack/internal/node"
)

// leasesCommand shows who holds which lease, as running drivers see it.
type leasesCommand struct {
	At   []string `arg:"" help:"Control addresses of drivers, as named in their operator's files."`
	JSON bool     `help:"As JSON."`
}

// Run queries the drivers' control endpoints.
func (c *leasesCommand) Run() error { return queryAll(c.At, "leases", c.JSON, printLeases) }

// printLeases prints a table of what each candidate knows and one of what each voter has granted.
func printLeases(all []node.LeasesStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "driver\tlease\tholder\tnumber\theld for\tleft\twhy not")
	for _, s := range all {
		for _, l := range s.Leases {
			printCandidate(w, s, l)
		}
	}
	fmt.Fprintln(w, "\nvoter\tset\tsilent for\tlease\tgranted to\tnumber\tleft\twait")
	for _, s := range all {
		printGrants(w, s)
	}
	return w.Flush()
}

func printCandidate(w io.Writer, s node.LeasesStatus, l node.LeaseStatus) {
	fencingToken, heldFor, remaining := "-", "-", "-"
	if l.FencingToken > 0 {
		fencingToken, heldFor, remaining = fmt.Sprint(l.FencingToken), seconds(l.HeldForMS), seconds(l.RemainingMS)
	}
	var reasons []string
	for _, voter := range slices.Sorted(maps.Keys(l.RejectionReasons)) {
		reasons = append(reasons, voter+": "+l.RejectionReasons[voter])
	}
	for _, voter := range slices.Concat(s.Voters, s.Former) {
		if _, heard := l.LastHeardMS[voter]; !heard {
			reasons = append(reasons, voter+": never heard")
		}
	}
	holder := cmp.Or(l.Holder, "unknown")
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, l.Lease, holder, fencingToken, heldFor, remaining, strings.Join(reasons, ", "))
}

func printGrants(w io.Writer, s node.LeasesStatus) {
	set := fmt.Sprintf("%d (%s)", s.Version, strings.Join(s.Voters, " "))
	if len(s.Former) > 0 {
		set += fmt.Sprintf(" with (%s)", strings.Join(s.Former, " "))
	}
	for _, g := range s.Grants {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n", s.Name, set, seconds(s.SilentForMS), g.Lease, g.Holder, g.FencingToken, seconds(g.RemainingMS), g.Waiting)
	}
}

// seconds formats milliseconds.
func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }

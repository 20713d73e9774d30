package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"passtack/internal/node"
)

// leases asks running drivers who holds what.
type leases struct {
	At   []string `arg:"" help:"Control addresses of drivers, as their operator's files name them."`
	JSON bool     `help:"As JSON."`
}

func (c *leases) Run() error { return askAll(c.At, "leases", c.JSON, printLeases) }

func printLeases(all []node.LeasesStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "driver\tlease\tholder\tnumber\theld for\tleft\twhy not")
	for _, s := range all {
		for _, l := range s.Leases {
			number, held, left := "-", "-", "-"
			if l.Number > 0 {
				number, held, left = fmt.Sprint(l.Number), fmt.Sprintf("%.1fs", float64(l.ForMS)/1000), fmt.Sprintf("%.1fs", float64(l.LeftMS)/1000)
			}
			var why []string
			for _, voter := range slices.Sorted(maps.Keys(l.Why)) {
				why = append(why, voter+": "+l.Why[voter])
			}
			for _, voter := range slices.Concat(s.Voters, s.Former) {
				if _, heard := l.Heard[voter]; !heard {
					why = append(why, voter+": never heard")
				}
			}
			holder := l.Holder
			if holder == "" {
				holder = "unknown"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, l.Lease, holder, number, held, left, strings.Join(why, ", "))
		}
	}
	fmt.Fprintln(w, "\nvoter\tset\tsilent for\tlease\tgranted to\tnumber\tleft\twait")
	for _, s := range all {
		set := fmt.Sprintf("%d (%s)", s.Version, strings.Join(s.Voters, " "))
		if len(s.Former) > 0 {
			set += fmt.Sprintf(" with (%s)", strings.Join(s.Former, " "))
		}
		for _, v := range s.Votes {
			fmt.Fprintf(w, "%s\t%s\t%.1fs\t%s\t%s\t%d\t%.1fs\t%d\n", s.Name, set, float64(s.SilentMS)/1000, v.Lease, v.Holder, v.Number, float64(v.LeftMS)/1000, v.Waiting)
		}
	}
	return w.Flush()
}

package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"passtack/internal/node"
)

// fleetViews asks running drivers how they see their fleet.
type fleetCommand struct {
	Addresses []string `arg:"" help:"Control addresses of drivers, as their operator's files name them."`
	JSON      bool     `help:"As JSON."`
}

func (c *fleetCommand) Run() error { return askAll(c.Addresses, "fleet", c.JSON, printFleet) }

// printViews prints the first view whole, and of the others where they differ from it.
func printFleet(all []node.FleetStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "as seen by\tdriver\tis\tfor\tlast heard\tready\tload\tlist\tlife\tincarnation\twhy")
	first := make(map[string]node.DriverStatus)
	for i, s := range all {
		missing := make(map[string]bool)
		for name := range first {
			missing[name] = true
		}
		for _, d := range s.Drivers {
			delete(missing, d.Name)
			if i == 0 {
				first[d.Name] = d
			} else if o, known := first[d.Name]; known && o.Status == d.Status && o.Incarnation == d.Incarnation {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.2f\t%d\t%d\t%d\t%d\t%s\n", s.Name, d.Name, d.Status, float64(d.StatusAgeMS)/1000, float64(d.LastHeardMS)/1000, d.Ready, d.RequestRate, d.ListRevision, d.Incarnation,
				d.Refutation, d.Reason)
		}
		for name := range missing {
			fmt.Fprintf(w, "%s\t%s\tnot known\n", s.Name, name)
		}
	}
	agree := 0
	for _, s := range all {
		if s.Checksum == all[0].Checksum {
			agree++
		}
	}
	for _, s := range all {
		if s.ConnectionShard > 0 {
			fmt.Fprintf(w, "\n%s takes up to %d connections at a member; sees more than half: %v", s.Name, s.ConnectionShard, s.InMajority)
		}
	}
	fmt.Fprintf(w, "\n%d of %d views agree with the first\n", agree, len(all))
	return w.Flush()
}

package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"passtack/internal/node"
)

// fleetCommand shows the membership lists of running drivers.
type fleetCommand struct {
	Addresses []string `arg:"" name:"at" help:"Control addresses of drivers, as named in their operator's files."`
	JSON      bool     `help:"As JSON."`
}

// Run queries the drivers.
func (c *fleetCommand) Run() error { return queryAll(c.Addresses, "fleet", c.JSON, printFleet) }

// printFleet prints the first driver's list in full, and of the others' lists what differs from it.
func printFleet(fleets []node.FleetStatus) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "as seen by\tdriver\tstatus\tfor\tlast seen\tready\trequests/s\tlist\tincarnation\trefutation\treason")
	first := make(map[string]node.DriverStatus)
	for i, f := range fleets {
		if i == 0 {
			for _, d := range f.Drivers {
				first[d.Name] = d
				printDriver(w, f.Name, d)
			}
			continue
		}
		printDifferences(w, f, first)
	}
	agreeing := 0
	for _, f := range fleets {
		if f.Checksum == fleets[0].Checksum {
			agreeing++
		}
	}
	for _, f := range fleets {
		if f.ConnectionShard > 0 {
			fmt.Fprintf(w, "\n%s makes up to %d connections to a member; sees a majority: %v", f.Name, f.ConnectionShard, f.InMajority)
		}
	}
	fmt.Fprintf(w, "\n%d of %d membership lists agree with the first\n", agreeing, len(fleets))
	return w.Flush()
}

func printDriver(w io.Writer, observer string, d node.DriverStatus) {
	fmt.Fprintf(w, "%s\t%s\t%s\t%.1fs\t%.1fs\t%.2f\t%d\t%d\t%d\t%d\t%s\n", observer, d.Name, d.Status, float64(d.StatusAgeMS)/1000, float64(d.LastSeenMS)/1000,
		d.Ready, d.RequestRate, d.ListRevision, d.Incarnation, d.Refutation, d.Reason)
}

// printDifferences prints the drivers that another list has in a different status or incarnation, or that only one of both lists has.
func printDifferences(w io.Writer, f node.FleetStatus, first map[string]node.DriverStatus) {
	missing := make(map[string]bool)
	for name := range first {
		missing[name] = true
	}
	for _, d := range f.Drivers {
		delete(missing, d.Name)
		if expected, known := first[d.Name]; known && expected.Status == d.Status && expected.Incarnation == d.Incarnation {
			continue
		}
		printDriver(w, f.Name, d)
	}
	for name := range missing {
		fmt.Fprintf(w, "%s\t%s\tnot known\n", f.Name, name)
	}
}

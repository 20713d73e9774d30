// Command passtack is the read/write splitter: a driver between clients and the members of a cluster.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"passtack/internal/logs"
)

// versionCommand prints what the program was built from.
type versionCommand struct{}

// Run prints the revision and the version of Go.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return fmt.Errorf("built without module information")
	}
	revision := "unknown"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	fmt.Printf("passtack revision=%s go=%s\n", revision, info.GoVersion)
	return nil
}

func main() {
	slog.SetDefault(slog.New(new(logs.LineWriter).Handler(os.Stderr)))
	var command struct {
		Serve    serveCommand    `cmd:"" help:"Serve clients until SIGTERM."`
		Check    checkCommand    `cmd:"" help:"Check a driver's files, and report what is wrong with them."`
		Rehearse rehearseCommand `cmd:"" help:"Play scripts of load and faults, in simulated or real time, and check the rules."`
		Emulate  emulateCommand  `cmd:"" help:"Serve the members and discovery of a script on loopback addresses."`
		State    struct {
			Show   stateShow   `cmd:"" help:"Print the state that a driver has saved, also while the driver runs."`
			Verify stateVerify `cmd:"" help:"Read a state directory as a driver would, and report what cannot be read."`
			Export stateExport `cmd:"" help:"Write the members or sessions of a state directory as CSV."`
			Prune  statePrune  `cmd:"" help:"Delete old members and sessions from a state directory that no driver uses."`
		} `cmd:"" help:"Inspect the directory where a driver saves what it has learned."`
		Status  statusCommand  `cmd:"" help:"Print the state of a running driver and of its background jobs."`
		Fleet   fleetCommand   `cmd:"" help:"Print the membership lists of running drivers, and where they differ."`
		Control controlMachine `cmd:"" help:"Run a control machine, which stores the configuration of a fleet."`
		Config  struct {
			Publish configPublish `cmd:"" help:"Publish a configuration as the next version, and wait until drivers have it in force."`
			Status  configStatus  `cmd:"" help:"Print where the newest version is in force, and which drivers lag or reject it."`
			Show    configShow    `cmd:"" help:"Print the newest version."`
		} `cmd:"" help:"Publish configurations for a fleet, and show where they are in force."`
		Leases  leasesCommand  `cmd:"" help:"Print the holders of leases as running drivers see them, and why a lease has none."`
		Version versionCommand `cmd:"" help:"Print what this program was built from."`
	}
	c := kong.Parse(&command, kong.Name("passtack"), kong.Description("A read/write splitter for database clusters."))
	if err := c.Run(); err != nil {
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(os.Stderr, "passtack:", strings.TrimSpace(line))
		}
		os.Exit(1)
	}
}

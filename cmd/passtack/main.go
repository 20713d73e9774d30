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
		Check    checkCommand    `cmd:"" help:"Read what a driver would be told, and name what is wrong with it."`
		Rehearse rehearseCommand `cmd:"" help:"Play scripts of load and trouble in simulated time, and check the rules."`
		Emulate  emulateCommand  `cmd:"" help:"Serve a script's members and discovery on loopback addresses."`
		State    struct {
			Show   stateShow   `cmd:"" help:"Print what a driver has saved, also while it runs."`
			Verify stateVerify `cmd:"" help:"Read a state directory as a driver would and name what cannot be read."`
			Export stateExport `cmd:"" help:"Write the members or sessions of a state directory as CSV."`
			Prune  statePrune  `cmd:"" help:"Delete old members and sessions from a state directory that no driver uses."`
		} `cmd:"" help:"Inspect the directory where a driver saves what it has learned."`
		Status  statusCommand  `cmd:"" help:"Ask a running driver how it is and what its background work does."`
		Fleet   fleetCommand   `cmd:"" help:"Ask running drivers how they see their fleet, and where their views differ."`
		Control controlMachine `cmd:"" help:"Be one of the machines that keep what is published for a fleet."`
		Config  struct {
			Publish configPublish `cmd:"" help:"Make a configuration the next version, and wait until drivers have it in force."`
			Status  configStatus  `cmd:"" help:"Tell where the newest version is in force, who lags and who refuses it."`
			Show    configShow    `cmd:"" help:"Print the newest version."`
		} `cmd:"" help:"Publish configurations for a whole fleet, and see where they are in force."`
		Leases  leasesCommand  `cmd:"" help:"Ask running drivers who holds which lease, and why nobody does."`
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

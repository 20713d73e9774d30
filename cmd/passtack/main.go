// Command passtack is the read/write splitter: a driver between clients and the members of a cluster.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"passtack/internal/config"
	"passtack/internal/emu/play"
	"passtack/internal/emu/rig"
	"passtack/internal/logs"
	"passtack/internal/node"
)

// place names the file that tells a driver what it needs to know at its start.
type place struct {
	Site     string `help:"What a driver is told at its start, as JSON." env:"BALANCER_CONFIG" type:"existingfile" required:""`
	Operator string `help:"The operator's own file (HCL): fronts beside the platform's, their limits, the log." type:"existingfile" placeholder:"FILE"`
}

// read gives both, checked.
func (p *place) read() (*node.Site, *config.File, error) {
	site, err := node.ReadSite(p.Site, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	site.ConfigFile = p.Operator
	wants, err := site.ReadConfig()
	return site, wants, err
}

type serve struct{ place }

func (c *serve) Run() error {
	signal.Ignore(syscall.SIGHUP) // until it serves, there is nothing to take over
	site, wants, err := c.read()
	if err != nil {
		return err
	}
	n, err := node.New(site, wants)
	if err != nil {
		return err
	}
	return n.Run()
}

type check struct {
	place
	Configuration string `help:"What is to be published for the fleet (JSON): whether this driver could take it." type:"existingfile" placeholder:"FILE"`
}

func (c *check) Run() error {
	site, wants, err := c.read()
	if err != nil {
		return err
	}
	if c.Configuration != "" {
		text, err := os.ReadFile(c.Configuration)
		if err == nil {
			err = node.CheckPublished(site, wants, text)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Configuration, err)
		}
	}
	fmt.Printf("name=%s listen=%s discovery=%s methods=%s\n", site.Name, site.Listen, site.Discovery, site.Settings["methods.count"])
	for _, f := range wants.Listeners[1:] {
		sets := 0
		if f.OData != nil {
			sets = len(f.OData.Model.Sets)
		}
		fmt.Printf("front=%s protocol=%s listen=%s sets=%d\n", f.Name, f.Protocol, f.Listen, sets)
	}
	return nil
}

// rehearse plays scripts in simulated time.
type rehearse struct {
	Scripts []string `arg:"" help:"What is played (HCL), as those under deploy/rehearsals." type:"existingfile"`
	Seed    uint64   `help:"Of all chance; the same seed gives the same course." default:"1"`
	Times   int      `help:"How many seeds are played, from that one on." default:"1"`
	Scale   int      `help:"Times the script's drivers, groups, sessions and RPCs." default:"1"`
	Log     bool     `help:"Show the drivers' log lines."`
	Sockets bool     `help:"Play in real time on loopback addresses, with drivers as processes of their own."`
	Older   string   `help:"An older build of the program, for the drivers that a script names as older." type:"existingfile" placeholder:"FILE"`
	Table   bool     `help:"Print what clients, members and discovery saw in each second."`
	Course  bool     `help:"Print what happened to drivers, members and discovery, in one time line."`
}

// play plays one script with one seed.
func (c *rehearse) play(s *play.Script, seed uint64) (*play.Result, error) {
	if !c.Sockets {
		return play.Rehearse(s, seed)
	}
	itself, err := os.Executable()
	if err != nil {
		return nil, err
	}
	log := io.Discard
	if c.Log {
		log = os.Stderr
	}
	return rig.Play(s, seed, rig.Programs{Path: itself, Older: c.Older}, log)
}

func (c *rehearse) Run() error {
	if !c.Log {
		slog.SetDefault(slog.New(slog.DiscardHandler))
	}
	var scripts []*play.Script
	var wrong []error
	for _, name := range c.Scripts {
		s, err := play.ReadScaled(name, max(c.Scale, 1))
		scripts, wrong = append(scripts, s), append(wrong, err)
	}
	if err := errors.Join(wrong...); err != nil {
		return err
	}
	missed := 0
	for _, s := range scripts {
		for i := range max(c.Times, 1) {
			r, err := c.play(s, c.Seed+uint64(i))
			if err != nil {
				return err
			}
			if c.Course {
				r.Course.Print(os.Stdout)
			}
			if c.Table {
				r.Table(os.Stdout)
			}
			if r.Print(os.Stdout); !r.Met() {
				missed++
			}
		}
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d rehearsals broke a rule or missed what was expected", missed, len(scripts)*max(c.Times, 1))
	}
	return nil
}

// emulate serves a script's members for whoever wants to point a driver at them.
type emulate struct {
	Script string `arg:"" help:"Whose members and troubles are served (HCL)." type:"existingfile"`
	Seed   uint64 `help:"Of all chance." default:"1"`
	Listen string `help:"Where the driver of the written file is to listen." default:"127.0.0.1:6543"`
	Site   string `help:"The file to write, with which a driver can be started." default:"site.json"`
}

func (c *emulate) Run() error {
	s, err := play.ReadScript(c.Script)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("listen %q is no address with a port", c.Listen)
	}
	return play.Emulate(s, c.Seed, listen, c.Site, os.Stdout)
}

type version struct{}

func (version) Run() error {
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
	slog.SetDefault(slog.New(new(logs.Lines).Handler(os.Stderr)))
	var command struct {
		Serve    serve    `cmd:"" help:"Serve clients until SIGTERM."`
		Check    check    `cmd:"" help:"Read what a driver would be told, and name what is wrong with it."`
		Rehearse rehearse `cmd:"" help:"Play scripts of load and trouble in simulated time, and check the rules."`
		Emulate  emulate  `cmd:"" help:"Serve a script's members and discovery on loopback addresses."`
		State    struct {
			Show   stateShow   `cmd:"" help:"Print what a driver has saved, also while it runs."`
			Verify stateVerify `cmd:"" help:"Read a state directory as a driver would and name what cannot be read."`
			Export stateExport `cmd:"" help:"Write the members or sessions of a state directory as CSV."`
			Prune  statePrune  `cmd:"" help:"Delete old members and sessions from a state directory that no driver uses."`
		} `cmd:"" help:"Inspect the directory where a driver saves what it has learned."`
		Status  status         `cmd:"" help:"Ask a running driver how it is and what its background work does."`
		Fleet   fleetCommand   `cmd:"" help:"Ask running drivers how they see their fleet, and where their views differ."`
		Control controlMachine `cmd:"" help:"Be one of the machines that keep what is published for a fleet."`
		Config  struct {
			Publish configPublish `cmd:"" help:"Make a configuration the next version, and wait until drivers have it in force."`
			Status  configStatus  `cmd:"" help:"Tell where the newest version is in force, who lags and who refuses it."`
			Show    configShow    `cmd:"" help:"Print the newest version."`
		} `cmd:"" help:"Publish configurations for a whole fleet, and see where they are in force."`
		Leases  leases  `cmd:"" help:"Ask running drivers who holds which lease, and why nobody does."`
		Version version `cmd:"" help:"Print what this program was built from."`
	}
	c := kong.Parse(&command, kong.Name("passtack"), kong.Description("A read/write splitter for database clusters."))
	if err := c.Run(); err != nil {
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(os.Stderr, "passtack:", strings.TrimSpace(line))
		}
		os.Exit(1)
	}
}

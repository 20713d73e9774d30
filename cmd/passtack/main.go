// Command passtack is the read/write splitter: a driver between clients and the members of a cluster.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"passtack/internal/node"
)

// place names the file that tells a driver what it needs to know at its start.
type place struct {
	Site string `help:"What a driver is told at its start, as JSON." env:"BALANCER_CONFIG" type:"existingfile" required:""`
}

type serve struct{ place }

func (c *serve) Run() error {
	signal.Ignore(syscall.SIGHUP) // until it serves, there is nothing to take over
	site, err := node.ReadSite(c.Site, os.Getenv)
	if err != nil {
		return err
	}
	n, err := node.New(site)
	if err != nil {
		return err
	}
	return n.Run()
}

type check struct{ place }

func (c *check) Run() error {
	site, err := node.ReadSite(c.Site, os.Getenv)
	if err == nil {
		fmt.Printf("name=%s listen=%s discovery=%s methods=%s\n", site.Name, site.Listen, site.Discovery,
			site.Terms["methods.count"])
	}
	return err
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
	var command struct {
		Serve   serve   `cmd:"" help:"Serve clients until SIGTERM."`
		Check   check   `cmd:"" help:"Read what a driver would be told, and name what is wrong with it."`
		Version version `cmd:"" help:"Print what this program was built from."`
	}
	c := kong.Parse(&command, kong.Name("passtack"), kong.Description("A read/write splitter for database clusters."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "passtack:", err)
		os.Exit(1)
	}
}

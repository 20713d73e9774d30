package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"passtack/internal/config"
	"passtack/internal/node"
)

// siteFiles are the files that a driver reads at its start.
type siteFiles struct {
	Site     string `help:"The driver's site file (JSON)." env:"BALANCER_CONFIG" type:"existingfile" required:""`
	Operator string `help:"The operator's file (HCL): additional fronts, their limits, the log." type:"existingfile" placeholder:"FILE"`
}

// read reads and checks both files.
func (f *siteFiles) read() (*node.Site, *config.File, error) {
	site, err := node.ReadSite(f.Site, os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	site.ConfigFile = f.Operator
	config, err := site.ReadConfig()
	return site, config, err
}

// serveCommand runs a driver.
type serveCommand struct{ siteFiles }

// Run serves clients until a signal shuts the driver down.
func (c *serveCommand) Run() error {
	signal.Ignore(syscall.SIGHUP) // there is nothing to reload until the driver serves
	site, config, err := c.read()
	if err != nil {
		return err
	}
	n, err := node.New(site, config)
	if err != nil {
		return err
	}
	return n.Run()
}

// checkCommand checks the files of a driver without serving.
type checkCommand struct {
	siteFiles
	Configuration string `help:"Also check whether this driver could apply a configuration that is to be published (JSON)." type:"existingfile" placeholder:"FILE"`
}

// Run reads the files, and the configuration to be published if one is named, and prints what a driver would serve.
func (c *checkCommand) Run() error {
	site, config, err := c.read()
	if err != nil {
		return err
	}
	if c.Configuration != "" {
		text, err := os.ReadFile(c.Configuration)
		if err == nil {
			err = node.CheckPublished(site, config, text)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Configuration, err)
		}
	}
	fmt.Printf("name=%s listen=%s discovery=%s methods=%s\n", site.Name, site.Listen, site.Discovery, site.Settings["methods.count"])
	for _, f := range config.Listeners[1:] {
		sets := 0
		if f.OData != nil {
			sets = len(f.OData.Model.Sets)
		}
		fmt.Printf("front=%s protocol=%s listen=%s sets=%d\n", f.Name, f.Protocol, f.Listen, sets)
	}
	return nil
}

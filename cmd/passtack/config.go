package main

import (
	"fmt"
	"os"
	"time"
)

// configPublish publishes a configuration as the next version, and waits until drivers have it in force.
type configPublish struct {
	controlMachines
	File string        `arg:"" help:"The configuration (JSON)." type:"existingfile"`
	From uint64        `help:"The version that the text is based on; publishing fails if a newer one is committed. 0: the newest version."`
	Wait time.Duration `help:"How long to wait for the drivers." default:"4s"`
}

const statusPollInterval = 200 * time.Millisecond

// Run publishes the file and prints which drivers have it in force.
func (c *configPublish) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	base := c.From
	if base == 0 {
		if base, _, err = c.newest(); err != nil {
			return err
		}
	}
	version, err := c.publish(text, base)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	fmt.Printf("version %d\n", version)
	status, err := c.awaitVersion(version)
	if err != nil {
		return err
	}
	return status.print(version)
}

// awaitVersion polls until all drivers have the version in force or have rejected it, at most for c.Wait.
func (c *configPublish) awaitVersion(version uint64) (fleetStatus, error) {
	for deadline := time.Now().Add(c.Wait); ; time.Sleep(statusPollInterval) {
		status, err := c.status()
		if err != nil {
			return status, err
		}
		counts := status.count(version)
		if counts.lagging == 0 || time.Now().After(deadline) {
			return status, nil
		}
	}
}

// configStatus is the command that prints where the newest version is in force.
type configStatus struct {
	controlMachines
	JSON bool `help:"As JSON."`
}

// Run prints the status of all drivers and control machines.
func (c *configStatus) Run() error {
	status, err := c.status()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]any{"version": status.version(), "machines": status.machines, "silent": status.silent, "drivers": status.drivers})
	}
	return status.print(status.version())
}

// configShow is the command that prints the text of the newest version.
type configShow struct{ controlMachines }

// Run prints the version to standard error and the text to standard output.
func (c *configShow) Run() error {
	version, text, err := c.newest()
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "version %d\n", version)
	_, err = os.Stdout.Write(append(text, '\n'))
	return err
}

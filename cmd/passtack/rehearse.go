package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"

	"passtack/internal/emu/play"
	"passtack/internal/emu/rig"
)

// rehearseCommand plays scripts of load and faults, in simulated time or with processes.
type rehearseCommand struct {
	Scripts []string `arg:"" help:"Scripts to play (HCL), such as those under deploy/rehearsals." type:"existingfile"`
	Seed    uint64   `help:"Seed of all random numbers; the same seed gives the same course of events." default:"1"`
	Times   int      `help:"Number of seeds to play, starting with --seed." default:"1"`
	Scale   int      `help:"Factor for the drivers, groups, sessions and RPCs of each script." default:"1"`
	Log     bool     `help:"Show the drivers' log lines."`
	Sockets bool     `help:"Play in real time on loopback addresses, with drivers as processes."`
	Older   string   `help:"An older build of the program, for the drivers that a script names as older." type:"existingfile" placeholder:"FILE"`
	Table   bool     `help:"Print what clients, members and discovery observed in each second."`
	Course  bool     `help:"Print the events of drivers, members and discovery in order of time."`
}

// play plays one script with one seed.
func (c *rehearseCommand) play(s *play.Script, seed uint64) (*play.Result, error) {
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

// Run plays each script with each seed. It fails where a rule was broken or an expectation missed.
func (c *rehearseCommand) Run() error {
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
				r.Timeline.Print(os.Stdout)
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
		return fmt.Errorf("%d of %d rehearsals broke a rule or missed an expectation", missed, len(scripts)*max(c.Times, 1))
	}
	return nil
}

// emulateCommand serves the members and the discovery of a script, for a driver that is started by hand.
type emulateCommand struct {
	Script string `arg:"" help:"Script whose members and faults are emulated (HCL)." type:"existingfile"`
	Seed   uint64 `help:"Seed of all random numbers." default:"1"`
	Listen string `help:"Listen address of the driver in the written site file." default:"127.0.0.1:6543"`
	Site   string `help:"Site file to write, with which a driver can be started." default:"site.json"`
}

// Run serves until it is interrupted.
func (c *emulateCommand) Run() error {
	s, err := play.ReadScript(c.Script)
	if err != nil {
		return err
	}
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return fmt.Errorf("--listen is %q, want an IP address with a port", c.Listen)
	}
	return play.Emulate(s, c.Seed, listen, c.Site, os.Stdout)
}

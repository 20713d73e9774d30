package play

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Leases are what the drivers of a script do by leases.
type Leases struct {
	Voters  []int // drivers
	Askers  []int // drivers that do the tasks when they hold; empty: all
	Lasts   time.Duration
	Summary time.Duration // how often the holder brings one; 0: never
	Watch   bool          // one watches discovery for all
	Folders bool          // voters keep their promises
}

// leasesText is the block as HCL has it.
type leasesText struct {
	Voters  []int  `hcl:"voters"`
	Askers  []int  `hcl:"askers,optional"`
	Lasts   string `hcl:"lasts,optional"`
	Summary string `hcl:"summary,optional"`
	Watch   bool   `hcl:"watch,optional"`
	Folders bool   `hcl:"folders,optional"`
}

func (t *leasesText) read(s *Script, span func(path, value string, otherwise time.Duration) time.Duration, wrong func(path, format string, args ...any)) *Leases {
	l := &Leases{Voters: t.Voters, Askers: t.Askers, Lasts: span("leases lasts", t.Lasts, 2*time.Second), Summary: span("leases summary", t.Summary, 0), Watch: t.Watch, Folders: t.Folders}
	if n := len(l.Voters); n != 3 && n != 5 && n != 7 {
		wrong("leases voters", "%d are neither three nor five nor seven", n)
	}
	for i, n := range l.Voters {
		if n < 0 || n >= s.Drivers || slices.Contains(l.Voters[:i], n) {
			wrong("leases voters", "there is no driver %d, or it is named twice", n)
		}
	}
	for _, n := range l.Askers {
		if n < 0 || n >= s.Drivers {
			wrong("leases askers", "there is no driver %d", n)
		}
	}
	if !s.Peers {
		wrong("leases", "drivers do not talk: the fleet has no peers = true")
	}
	return l
}

// Electorate is who votes at some time.
type Electorate struct {
	Version        int
	Voters, Former []int
}

// Places are those that a driver's own operator's file names.
type Places struct {
	State, Votes     string // folders; "": none
	Control, Witness netip.AddrPort
	Machines         []netip.AddrPort // control machines that hand out configurations; none: none are asked
	Configuration    string           // folder for what they say; "": none
}

// OwnFile tells whether each driver has an operator's file of its own.
func (s *Script) OwnFile() bool { return s.Folders || s.Leases != nil || s.View > 0 || s.Controls > 0 }

// OperatorText is the operator's file of one driver: what the script gives all of them, and its own places.
func (s *Script) OperatorText(driver int, at Places, by Electorate) ([]byte, error) {
	var text []byte
	if s.Operator != "" {
		var err error
		if text, err = os.ReadFile(s.Operator); err != nil {
			return nil, err
		}
	}
	if at.State != "" {
		text = fmt.Appendf(text, "\nstate {\n  folder = %q\n  every  = %q\n}\n", at.State, s.SaveEvery)
	}
	if at.Control.IsValid() {
		text = fmt.Appendf(text, "\ncontrol {\n  listen = %q\n}\n", at.Control)
	}
	if len(at.Machines) > 0 {
		var machines []string
		for _, m := range at.Machines {
			machines = append(machines, fmt.Sprintf("%q", m))
		}
		text = fmt.Appendf(text, "\nconfiguration {\n  fleet = \"rehearsal\"\n  machines = [%s]\n", strings.Join(machines, ", "))
		if at.Configuration != "" {
			text = fmt.Appendf(text, "  folder = %q\n", at.Configuration)
		}
		text = append(text, "}\n"...)
	}
	if s.View > 0 {
		text = fmt.Appendf(text, "\nview {\n  fleet = \"rehearsal\"\n  every = %q\n", s.View)
		if s.ViewConnections > 0 {
			text = fmt.Appendf(text, "  connections = %d\n", s.ViewConnections)
		}
		text = append(text, "}\n"...)
	}
	if l := s.Leases; l != nil {
		text = fmt.Appendf(text, "\nleases {\n  fleet = \"rehearsal\"\n  version = %d\n  voters = [%s]\n  lasts = %q\n  longest = %q\n", by.Version, names(by.Voters), l.Lasts, l.Lasts)
		if by.Former != nil {
			text = fmt.Appendf(text, "  former = [%s]\n", names(by.Former))
		}
		if at.Votes != "" {
			text = fmt.Appendf(text, "  folder = %q\n", at.Votes)
		}
		asks := len(l.Askers) == 0 || slices.Contains(l.Askers, driver)
		if l.Summary > 0 && asks {
			text = fmt.Appendf(text, "  task \"summary\" {\n    every = %q\n    to = %q\n  }\n", l.Summary, at.Witness)
		}
		if l.Watch && asks {
			text = append(text, "  task \"watch-discovery\" {}\n"...)
		}
		text = append(text, "}\n"...)
	}
	return text, nil
}

func names(drivers []int) string {
	var all []string
	for _, n := range drivers {
		all = append(all, fmt.Sprintf("%q", Driver(n)))
	}
	return strings.Join(all, ", ")
}

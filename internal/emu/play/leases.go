package play

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

// Leases describes the leases of a script and the tasks of their holders.
type Leases struct {
	Voters     []int // numbers of drivers
	Candidates []int // drivers that do the tasks when they hold a lease; empty: all
	TTL        time.Duration
	Summary    time.Duration // interval at which the holder sends a summary; 0: never
	Watch      bool          // one driver watches discovery for all
	Folders    bool          // voters store their promises
}

// leasesText is the HCL form of the leases block.
type leasesText struct {
	Voters  []int  `hcl:"voters"`
	Askers  []int  `hcl:"askers,optional"`
	Lasts   string `hcl:"lasts,optional"`
	Summary string `hcl:"summary,optional"`
	Watch   bool   `hcl:"watch,optional"`
	Folders bool   `hcl:"folders,optional"`
}

func (t *leasesText) read(s *Script, duration func(path, value string, otherwise time.Duration) time.Duration, report func(path, format string, args ...any)) *Leases {
	l := &Leases{Voters: t.Voters, Candidates: t.Askers, TTL: duration("leases lasts", t.Lasts, 2*time.Second), Summary: duration("leases summary", t.Summary, 0), Watch: t.Watch, Folders: t.Folders}
	if n := len(l.Voters); n != 3 && n != 5 && n != 7 {
		report("leases voters", "%d voters, expected 3, 5 or 7", n)
	}
	for i, n := range l.Voters {
		if n < 0 || n >= s.Drivers || slices.Contains(l.Voters[:i], n) {
			report("leases voters", "there is no driver %d, or it is named twice", n)
		}
	}
	for _, n := range l.Candidates {
		if n < 0 || n >= s.Drivers {
			report("leases askers", "there is no driver %d", n)
		}
	}
	if !s.Peers {
		report("leases", "requires peers = true in the fleet block")
	}
	return l
}

// Electorate is the set of voters at some time.
type Electorate struct {
	Version        int
	Voters, Former []int
}

// OperatorParams are the folders and addresses in a driver's own operator's file.
type OperatorParams struct {
	State, Votes           string // folders; empty: none
	Control, FencingServer netip.AddrPort
	Machines               []netip.AddrPort // control machines that provide configurations; empty: none
	Configuration          string           // folder for configurations from the control machines; empty: none
}

// OwnFile reports whether each driver has an operator's file of its own.
func (s *Script) OwnFile() bool {
	return s.StateFolders || s.Leases != nil || s.View > 0 || s.Controls > 0
}

// OperatorText returns the operator's file of one driver: the script's common file and the driver's own parameters.
func (s *Script) OperatorText(driver int, at OperatorParams, by Electorate) ([]byte, error) {
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
		text = fmt.Appendf(text, "\nleases {\n  fleet = \"rehearsal\"\n  version = %d\n  voters = [%s]\n  lasts = %q\n  longest = %q\n", by.Version, quotedNames(by.Voters), l.TTL, l.TTL)
		if by.Former != nil {
			text = fmt.Appendf(text, "  former = [%s]\n", quotedNames(by.Former))
		}
		if at.Votes != "" {
			text = fmt.Appendf(text, "  folder = %q\n", at.Votes)
		}
		candidate := len(l.Candidates) == 0 || slices.Contains(l.Candidates, driver)
		if l.Summary > 0 && candidate {
			text = fmt.Appendf(text, "  task \"summary\" {\n    every = %q\n    to = %q\n  }\n", l.Summary, at.FencingServer)
		}
		if l.Watch && candidate {
			text = append(text, "  task \"watch-discovery\" {}\n"...)
		}
		text = append(text, "}\n"...)
	}
	return text, nil
}

func quotedNames(drivers []int) string {
	var all []string
	for _, n := range drivers {
		all = append(all, fmt.Sprintf("%q", Driver(n)))
	}
	return strings.Join(all, ", ")
}

package play

import (
	"strconv"
	"time"

	"passtack/internal/settings"
)

// Publication is a configuration that is published during the run.
type Publication struct {
	At   time.Duration
	From int // version that it is based on; 0: the one in force at that time
	Text string
}

// publishText is the HCL form of a publish block.
type publishText struct {
	At   string `hcl:"at"`
	From int    `hcl:"from,optional"`
	Text string `hcl:"text"`
}

// Control returns the name of the nth control machine.
func Control(n int) string { return "c" + strconv.Itoa(n) }

// controls reads the number of control machines and the publications. A text that no control machine accepts is an
// error; one that drivers refuse is not.
func (t *scriptText) controls(s *Script, duration func(path, value string, otherwise time.Duration) time.Duration, report func(path, format string, args ...any)) {
	if s.Controls = t.Fleet.Controls; s.Controls != 0 && s.Controls != 3 {
		report("fleet controls", "%d control machines, expected 0 or 3", s.Controls)
	}
	if s.Controls == 0 && len(t.Publish) > 0 {
		report("publish 1", "requires controls = 3 in the fleet block")
	}
	for i, p := range t.Publish {
		at := "publish " + strconv.Itoa(i+1)
		if _, err := settings.ParsePublished([]byte(p.Text)); err != nil {
			report(at+" text", "%v", err)
		}
		one := Publication{At: duration(at+" at", p.At, 0), From: p.From, Text: p.Text}
		if p.From < 0 {
			report(at+" from", "%d is under 0", p.From)
		}
		if one.At > s.Duration {
			report(at+" at", "%v is after the end", one.At)
		}
		s.Publications = append(s.Publications, one)
	}
}

// VersionSample is what a driver or a control machine reported about its newest version, at a time since the script's
// start.
type VersionSample struct {
	At              time.Duration
	Source          string
	Version         uint64 // in force at a driver, committed as far as a control machine knows
	RejectedVersion uint64
	RejectReason    string
}

package play

import (
	"strconv"
	"time"

	"passtack/internal/settings"
)

// Publication is a configuration that somebody publishes.
type Publication struct {
	At   time.Duration
	From int // the version that it is made from; 0: the one in force then
	Text string
}

// publishText is the block as HCL has it.
type publishText struct {
	At   string `hcl:"at"`
	From int    `hcl:"from,optional"`
	Text string `hcl:"text"`
}

// Control names a control machine by number.
func Control(n int) string { return "c" + strconv.Itoa(n) }

// controls reads how many control machines there are and what is published. Texts that no control machine takes are a mistake; what drivers
// refuse is not.
func (t *text) controls(s *Script, span func(path, value string, otherwise time.Duration) time.Duration, wrong func(path, format string, args ...any)) {
	if s.Controls = t.Fleet.Controls; s.Controls != 0 && s.Controls != 3 {
		wrong("fleet controls", "%d control machines are not 3", s.Controls)
	}
	if s.Controls == 0 && len(t.Publish) > 0 {
		wrong("publish 1", "there is no control machine")
	}
	for i, p := range t.Publish {
		at := "publish " + strconv.Itoa(i+1)
		if _, err := settings.ParsePublished([]byte(p.Text)); err != nil {
			wrong(at+" text", "%v", err)
		}
		one := Publication{At: span(at+" at", p.At, 0), From: p.From, Text: p.Text}
		if p.From < 0 {
			wrong(at+" from", "%d is under 0", p.From)
		}
		if one.At > s.Lasts {
			wrong(at+" at", "%v is after the end", one.At)
		}
		s.Publications = append(s.Publications, one)
	}
}

// VersionSample is what a driver, or a control machine, told of the newest version that it has, at some time after the script's start.
type VersionSample struct {
	At      time.Duration
	Who     string
	Version uint64 // in force at a driver, known to count at a control machine
	Refused uint64
	Why     string
}

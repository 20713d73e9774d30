package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"passtack/internal/lease"
)

// Names of the tasks that lease holders do.
const (
	WatchDiscovery = "watch-discovery"
	Summary        = "summary"
)

// Leases configures a driver's part in the leases of its fleet. A lease selects the one driver that does a task for all of them.
type Leases struct {
	Fleet                string // drivers of other fleets are ignored
	Version              uint32 // version of the voter set
	Voters, FormerVoters []string
	TTL, MaxTTL          time.Duration // duration of a lease; longest duration that any driver of the fleet requests
	DataDir              string        // directory in which a voter persists its promises; "": not persisted
	Tasks                []Task
}

// Task is work done by the holder of the lease with the same name.
type Task struct {
	Name     string
	Interval time.Duration  // between two summaries
	Address  netip.AddrPort // address that summaries are sent to
	Path     string         // path of the PUT requests that carry the summaries
}

// VoterSet returns the current voters and those of the previous version.
func (l *Leases) VoterSet() lease.VoterSet {
	s := lease.VoterSet{Version: l.Version}
	for _, name := range l.Voters {
		s.Voters = append(s.Voters, lease.NodeOf(name))
	}
	for _, name := range l.FormerVoters {
		s.Former = append(s.Former, lease.NodeOf(name))
	}
	return s
}

// leases reads the block that configures the driver's part in leases.
func (r *reader) leases(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "version", "voters", "former", "lasts", "longest", "folder"}, hcl.BlockHeaderSchema{Type: "task", LabelNames: []string{"name"}})
	if c == nil {
		return
	}
	l := &Leases{Version: uint32(r.intOf(c, "version", 1, 1, 1<<30))}
	l.Fleet, _ = r.fleet(c)
	l.Voters = r.voters(c, "voters", true)
	l.FormerVoters = r.voters(c, "former", false)
	if l.FormerVoters != nil && l.Version == 1 {
		r.addError(c.Attributes["former"].Expr.Range(), "former must not be set in version 1")
	}
	l.TTL = r.durationOf(c, "lasts", 5*time.Second, 500*time.Millisecond, time.Minute)
	if l.MaxTTL = r.durationOf(c, "longest", 2*l.TTL, 500*time.Millisecond, 10*time.Minute); l.MaxTTL < l.TTL {
		r.addError(c.Attributes["longest"].Expr.Range(), "longest must not be shorter than lasts, got %v and %v", l.MaxTTL, l.TTL)
	}
	l.DataDir = r.dataDir(c, false)
	for _, t := range c.Blocks {
		r.task(l, t)
	}
	f.Leases = l
}

// voters reads a list of three, five or seven driver names.
func (r *reader) voters(c *hcl.BodyContent, name string, required bool) (names []string) {
	a := c.Attributes[name]
	if a == nil {
		if required {
			r.addError(c.MissingItemRange, "%s is missing", name)
		}
		return nil
	}
	items, ok := r.items(a)
	if !ok {
		return nil
	}
	for _, item := range items {
		voter := textItem(item)
		if !namePattern.MatchString(voter) || slices.Contains(names, voter) {
			r.addError(item.Range(), "voter names must be distinct and 1 to 64 letters, digits, dots, dashes or underscores, got %s", item.Range().SliceBytes(r.text))
			continue
		}
		names = append(names, voter)
	}
	if n := len(items); n != 3 && n != 5 && n != 7 {
		r.addError(a.Expr.Range(), "%s must list three, five or seven names, got %d", name, n)
	}
	return names
}

func (r *reader) task(l *Leases, b *hcl.Block) {
	t := Task{Name: b.Labels[0]}
	attributes := map[string][]string{WatchDiscovery: {}, Summary: {"every", "to", "path"}}[t.Name]
	if attributes == nil {
		r.addError(b.LabelRanges[0], "task must be %s or %s, got %q", WatchDiscovery, Summary, t.Name)
		return
	}
	if slices.ContainsFunc(l.Tasks, func(other Task) bool { return other.Name == t.Name }) {
		r.addError(b.LabelRanges[0], "duplicate task %q", t.Name)
	}
	c := r.content(b.Body, attributes)
	if c == nil {
		return
	}
	if t.Name == Summary {
		r.summary(&t, c)
	}
	l.Tasks = append(l.Tasks, t)
}

func (r *reader) summary(t *Task, c *hcl.BodyContent) {
	t.Interval = r.durationOf(c, "every", time.Second, 10*time.Millisecond, time.Hour)
	t.Address, _ = r.addressOf(c, "to")
	var location hcl.Range
	if t.Path, location = r.textOf(c, "path", "/fleet"); !strings.HasPrefix(t.Path, "/") || strings.ContainsAny(t.Path, " \r\n") {
		r.addError(location, "path must begin with a slash and contain no space or line break, got %q", t.Path)
	}
}

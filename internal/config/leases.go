package config

import (
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

// Tasks that there are.
const (
	WatchDiscovery = "watch-discovery"
	Summary        = "summary"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (r *reader) leases(b *hcl.Block) *Leases {
	c := r.content(b.Body, []string{"fleet", "version", "voters", "former", "lasts", "longest", "folder"}, hcl.BlockHeaderSchema{Type: "task", LabelNames: []string{"name"}})
	if c == nil {
		return nil
	}
	l := &Leases{Version: uint32(r.intOf(c, "version", 1, 1, 1<<30))}
	var at hcl.Range
	if l.Fleet, at = r.textOf(c, "fleet", ""); !namePattern.MatchString(l.Fleet) {
		r.addError(at, "fleet is no name of letters, digits, dots and dashes (%q)", l.Fleet)
	}
	l.Voters = r.voters(c, "voters", true)
	l.FormerVoters = r.voters(c, "former", false)
	if l.FormerVoters != nil && l.Version == 1 {
		r.addError(c.Attributes["former"].Expr.Range(), "former is given with the first version")
	}
	l.TTL = r.durationOf(c, "lasts", 5*time.Second, 500*time.Millisecond, time.Minute)
	if l.MaxTTL = r.durationOf(c, "longest", 2*l.TTL, 500*time.Millisecond, 10*time.Minute); l.MaxTTL < l.TTL {
		r.addError(c.Attributes["longest"].Expr.Range(), "longest is under lasts (%v, %v)", l.MaxTTL, l.TTL)
	}
	if l.DataDir, at = r.textOf(c, "folder", ""); l.DataDir != "" && !filepath.IsAbs(l.DataDir) {
		r.addError(at, "folder is no path from the root (%q)", l.DataDir)
	}
	for _, t := range c.Blocks {
		r.task(l, t)
	}
	return l
}

// voters reads three, five or seven names.
func (r *reader) voters(c *hcl.BodyContent, name string, needed bool) (names []string) {
	a := c.Attributes[name]
	if a == nil {
		if needed {
			r.addError(c.MissingItemRange, "%s is missing", name)
		}
		return nil
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	if r.addDiagnostics(diagnostics); diagnostics.HasErrors() {
		return nil
	}
	for _, item := range items {
		v, _ := item.Value(nil)
		if !v.IsKnown() || v.IsNull() || !v.Type().Equals(cty.String) || !namePattern.MatchString(v.AsString()) || slices.Contains(names, v.AsString()) {
			r.addError(item.Range(), "a name that cannot be, or that comes twice (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		names = append(names, v.AsString())
	}
	if n := len(items); n != 3 && n != 5 && n != 7 {
		r.addError(a.Expr.Range(), "%s are neither three nor five nor seven (%d)", name, n)
	}
	return names
}

func (r *reader) task(l *Leases, b *hcl.Block) {
	t := Task{Name: b.Labels[0]}
	attributes := map[string][]string{WatchDiscovery: {}, Summary: {"every", "to", "path"}}[t.Name]
	if attributes == nil {
		r.addError(b.LabelRanges[0], "tasks are %s and %s (%q)", WatchDiscovery, Summary, t.Name)
		return
	}
	if slices.ContainsFunc(l.Tasks, func(o Task) bool { return o.Name == t.Name }) {
		r.addError(b.LabelRanges[0], "a second task of this name (%q)", t.Name)
	}
	c := r.content(b.Body, attributes)
	if c == nil {
		return
	}
	if t.Name == Summary {
		t.Interval = r.durationOf(c, "every", time.Second, 10*time.Millisecond, time.Hour)
		to, at := r.textOf(c, "to", "")
		var err error
		if t.Address, err = netip.ParseAddrPort(to); err != nil {
			r.addError(at, "to is no address with a port (%q)", to)
		}
		if t.Path, at = r.textOf(c, "path", "/fleet"); !strings.HasPrefix(t.Path, "/") || strings.ContainsAny(t.Path, " \r\n") {
			r.addError(at, "path does not begin with a slash, or has a space (%q)", t.Path)
		}
	}
	l.Tasks = append(l.Tasks, t)
}

// view reads how a view of the fleet is kept. Leases are of the same fleet.
func (r *reader) membership(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "every", "connections"})
	if c == nil {
		return
	}
	f.Membership = &Membership{Interval: r.durationOf(c, "every", time.Second, 50*time.Millisecond, time.Minute)}
	f.Membership.MemberConnections = r.intOf(c, "connections", 0, 1, 1<<20)
	var at hcl.Range
	if f.Membership.Fleet, at = r.textOf(c, "fleet", ""); !namePattern.MatchString(f.Membership.Fleet) {
		r.addError(at, "fleet is no name of letters, digits, dots and dashes (%q)", f.Membership.Fleet)
	} else if f.Leases != nil && f.Leases.Fleet != f.Membership.Fleet {
		r.addError(at, "fleet is another than that of the leases (%q, %q)", f.Membership.Fleet, f.Leases.Fleet)
	}
}

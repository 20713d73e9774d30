package operator

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
	SummaryTask    = "summary"
)

var hostNames = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

func (r *reader) leases(b *hcl.Block) *Leases {
	c := r.content(b.Body, []string{"fleet", "version", "voters", "former", "lasts", "longest", "folder"}, hcl.BlockHeaderSchema{Type: "task", LabelNames: []string{"name"}})
	if c == nil {
		return nil
	}
	l := &Leases{Version: uint32(r.count(c, "version", 1, 1, 1<<30))}
	var at hcl.Range
	if l.Fleet, at = r.words(c, "fleet", ""); !hostNames.MatchString(l.Fleet) {
		r.wrong(at, "fleet is no name of letters, digits, dots and dashes (%q)", l.Fleet)
	}
	l.Voters = r.voters(c, "voters", true)
	l.Former = r.voters(c, "former", false)
	if l.Former != nil && l.Version == 1 {
		r.wrong(c.Attributes["former"].Expr.Range(), "former is given with the first version")
	}
	l.Lasts = r.span(c, "lasts", 5*time.Second, 500*time.Millisecond, time.Minute)
	if l.Longest = r.span(c, "longest", 2*l.Lasts, 500*time.Millisecond, 10*time.Minute); l.Longest < l.Lasts {
		r.wrong(c.Attributes["longest"].Expr.Range(), "longest is under lasts (%v, %v)", l.Longest, l.Lasts)
	}
	if l.Folder, at = r.words(c, "folder", ""); l.Folder != "" && !filepath.IsAbs(l.Folder) {
		r.wrong(at, "folder is no path from the root (%q)", l.Folder)
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
			r.wrong(c.MissingItemRange, "%s is missing", name)
		}
		return nil
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	if r.take(diagnostics); diagnostics.HasErrors() {
		return nil
	}
	for _, item := range items {
		v, _ := item.Value(nil)
		if !v.IsKnown() || v.IsNull() || !v.Type().Equals(cty.String) || !hostNames.MatchString(v.AsString()) || slices.Contains(names, v.AsString()) {
			r.wrong(item.Range(), "a name that cannot be, or that comes twice (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		names = append(names, v.AsString())
	}
	if n := len(items); n != 3 && n != 5 && n != 7 {
		r.wrong(a.Expr.Range(), "%s are neither three nor five nor seven (%d)", name, n)
	}
	return names
}

func (r *reader) task(l *Leases, b *hcl.Block) {
	t := Task{Name: b.Labels[0]}
	attributes := map[string][]string{WatchDiscovery: {}, SummaryTask: {"every", "to", "path"}}[t.Name]
	if attributes == nil {
		r.wrong(b.LabelRanges[0], "tasks are %s and %s (%q)", WatchDiscovery, SummaryTask, t.Name)
		return
	}
	if slices.ContainsFunc(l.Tasks, func(o Task) bool { return o.Name == t.Name }) {
		r.wrong(b.LabelRanges[0], "a second task of this name (%q)", t.Name)
	}
	c := r.content(b.Body, attributes)
	if c == nil {
		return
	}
	if t.Name == SummaryTask {
		t.Every = r.span(c, "every", time.Second, 10*time.Millisecond, time.Hour)
		to, at := r.words(c, "to", "")
		var err error
		if t.To, err = netip.ParseAddrPort(to); err != nil {
			r.wrong(at, "to is no address with a port (%q)", to)
		}
		if t.Path, at = r.words(c, "path", "/fleet"); !strings.HasPrefix(t.Path, "/") || strings.ContainsAny(t.Path, " \r\n") {
			r.wrong(at, "path does not begin with a slash, or has a space (%q)", t.Path)
		}
	}
	l.Tasks = append(l.Tasks, t)
}

// view reads how a view of the fleet is kept. Leases are of the same fleet.
func (r *reader) view(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "every", "connections"})
	if c == nil {
		return
	}
	f.View = &View{Every: r.span(c, "every", time.Second, 50*time.Millisecond, time.Minute)}
	f.View.Connections = r.count(c, "connections", 0, 1, 1<<20)
	var at hcl.Range
	if f.View.Fleet, at = r.words(c, "fleet", ""); !hostNames.MatchString(f.View.Fleet) {
		r.wrong(at, "fleet is no name of letters, digits, dots and dashes (%q)", f.View.Fleet)
	} else if f.Leases != nil && f.Leases.Fleet != f.View.Fleet {
		r.wrong(at, "fleet is another than that of the leases (%q, %q)", f.View.Fleet, f.Leases.Fleet)
	}
}

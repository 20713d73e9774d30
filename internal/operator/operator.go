// Package operator reads the operator's own file (HCL): fronts beside the platform's, what they offer and may hold,
// which members speak what, and how much is logged. Everything wrong with it is told at once, each with its file, line,
// column and value.
package operator

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/lease"
	"passtack/internal/odata"
	"passtack/internal/quota"
	"passtack/internal/rollout/server"
)

// Method is what the platform's settings say of one, as far as the file is checked against it.
type Method struct {
	Name        string
	Need        string // any, bounded, session, fresh or write
	Idempotent  bool
	Tokened     bool
	Window      time.Duration
	Soft, Limit time.Duration
}

// Front is one listener.
type Front struct {
	Protocol, Name string
	Listen         netip.AddrPort // invalid for the platform's own
	Share          quota.Config
	OData          *OData // of that protocol
}

// OData is what a front for OData offers and bounds.
type OData struct {
	Root    string
	Model   *odata.Model
	HTTP    httpwire.Limits
	Batch   int // requests
	Abreast int // of them at once
	Repeats Repeats
}

// Repeats bounds what is remembered of repeatable requests.
type Repeats struct {
	Sticky bool
	Kept   time.Duration
	Bytes  int
	Open   int
}

// State is where a driver keeps what it has learned.
type State struct {
	Folder string
	Every  time.Duration // between two commits
	Bytes  int           // that it may take
}

// Leases is this driver's part in work that one driver does for its fleet.
type Leases struct {
	Fleet          string // drivers of another do not talk with these
	Version        uint32 // of the voters
	Voters, Former []string
	Lasts, Longest time.Duration
	Folder         string // where a voter keeps its promises, "": nowhere
	Tasks          []Task
}

// Task is work for the holder of a lease of that name.
type Task struct {
	Name  string
	Every time.Duration
	To    netip.AddrPort // where a summary goes
	Path  string
}

// Set is who votes.
func (l *Leases) Set() lease.VoterSet {
	s := lease.VoterSet{Version: l.Version}
	for _, name := range l.Voters {
		s.Voters = append(s.Voters, lease.NodeOf(name))
	}
	for _, name := range l.Former {
		s.Former = append(s.Former, lease.NodeOf(name))
	}
	return s
}

// View is how a driver keeps one of its fleet.
type View struct {
	Fleet       string
	Every       time.Duration // between two questions
	Connections int           // that one member takes from all drivers, 0: not told
}

// File is what the operator wants.
type File struct {
	View    *View          // nil: the driver keeps none of its fleet
	Leases  *Leases        // nil: the driver has no part in any
	State   *State         // nil: nothing is kept
	Control netip.AddrPort // where operators ask about the driver; invalid: nowhere
	Level   slog.Level
	Sample  int64
	Fronts  []*Front
	Forms   map[driver.Group]driver.Form
	Root    string // under which members that speak OData serve
	Host    string // that they are asked for, "": their address

	Configuration *Configuration        // nil: no control machine is asked
	Machine       *server.MachineConfig // nil: the file is no control machine's

	again func(methods []Method) (*File, error)
}

// Again reads the same text against other methods.
func (f *File) Again(methods []Method) (*File, error) {
	if f.again == nil {
		return f, nil
	}
	return f.again(methods)
}

// Mistakes are all that is wrong with a file, one a line.
type Mistakes []string

func (m Mistakes) Error() string { return strings.Join(m, "\n") }

// None is what holds where no file is given.
func None() *File {
	return &File{Fronts: []*Front{{Protocol: "pg", Name: "platform", Share: quota.Config{Weight: 1}}}}
}

// Read reads and checks the file. The platform listens on its own address and has its methods.
func Read(name string, listen netip.AddrPort, methods []Method) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(text, name, listen, methods)
}

// Parse is Read of a text.
func Parse(text []byte, name string, listen netip.AddrPort, methods []Method) (*File, error) {
	r := &reader{methods: methods, listens: map[netip.AddrPort]string{listen: "the platform's listener"}, text: text}
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r.take(diagnostics)
	if parsed == nil || diagnostics.HasErrors() {
		return nil, r.mistakes
	}
	f := r.file(parsed.Body)
	if len(r.mistakes) > 0 {
		return nil, r.mistakes
	}
	f.again = func(methods []Method) (*File, error) { return Parse(text, name, listen, methods) }
	return f, nil
}

// reader collects mistakes.
type reader struct {
	methods  []Method
	listens  map[netip.AddrPort]string
	mistakes Mistakes
	text     []byte
}

func (r *reader) wrong(at hcl.Range, format string, args ...any) {
	r.mistakes = append(r.mistakes, fmt.Sprintf("%s:%d:%d: %s", at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...)))
}

func (r *reader) take(diagnostics hcl.Diagnostics) {
	for _, d := range diagnostics {
		at := hcl.Range{}
		if d.Subject != nil {
			at = *d.Subject
		}
		value := ""
		if at.CanSliceBytes(r.text) && at.End.Line == at.Start.Line {
			value = fmt.Sprintf(" (%s)", at.SliceBytes(r.text))
		}
		r.wrong(at, "%s%s", strings.ToLower(d.Summary[:1])+d.Summary[1:], value)
	}
}

// content takes the attributes and blocks that a body may have; what else stands there is a mistake.
func (r *reader) content(body hcl.Body, attributes []string, blocks ...hcl.BlockHeaderSchema) *hcl.BodyContent {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, name := range attributes {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	c, diagnostics := body.Content(schema)
	r.take(diagnostics)
	return c
}

func (r *reader) value(c *hcl.BodyContent, name string, want cty.Type, kind string) (v cty.Value, at hcl.Range, ok bool) {
	a := c.Attributes[name]
	if a == nil {
		return v, c.MissingItemRange, false
	}
	at = a.Expr.Range()
	v, diagnostics := a.Expr.Value(nil)
	if r.take(diagnostics); diagnostics.HasErrors() {
		return v, at, false
	}
	if !v.IsKnown() || v.IsNull() || !v.Type().Equals(want) {
		r.wrong(at, "%s is no %s (%s)", name, kind, at.SliceBytes(r.text))
		return v, at, false
	}
	return v, at, true
}

func (r *reader) words(c *hcl.BodyContent, name, otherwise string) (string, hcl.Range) {
	if v, at, ok := r.value(c, name, cty.String, "text"); ok {
		return v.AsString(), at
	} else {
		return otherwise, at
	}
}

func (r *reader) yes(c *hcl.BodyContent, name string, otherwise bool) bool {
	if v, _, ok := r.value(c, name, cty.Bool, "true or false"); ok {
		return v.True()
	}
	return otherwise
}

func (r *reader) number(c *hcl.BodyContent, name string, otherwise, least, most float64) float64 {
	v, at, ok := r.value(c, name, cty.Number, "number")
	if !ok {
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		r.wrong(at, "%s is not from %v to %v (%v)", name, least, most, n)
		return otherwise
	}
	return n
}

func (r *reader) count(c *hcl.BodyContent, name string, otherwise, least, most int) int {
	n := r.number(c, name, float64(otherwise), float64(least), float64(most))
	if n != float64(int(n)) {
		r.wrong(c.Attributes[name].Expr.Range(), "%s is no whole number (%v)", name, n)
	}
	return int(n)
}

func (r *reader) span(c *hcl.BodyContent, name string, otherwise, least, most time.Duration) time.Duration {
	text, at := r.words(c, name, "")
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		r.wrong(at, "%s is no time from %v to %v (%q)", name, least, most, text)
		return otherwise
	}
	return d
}

var levels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

func (r *reader) file(body hcl.Body) *File {
	f := &File{Forms: make(map[driver.Group]driver.Form), Root: "/"}
	c := r.content(body, nil, hcl.BlockHeaderSchema{Type: "log"}, hcl.BlockHeaderSchema{Type: "state"},
		hcl.BlockHeaderSchema{Type: "control"}, hcl.BlockHeaderSchema{Type: "leases"}, hcl.BlockHeaderSchema{Type: "view"},
		hcl.BlockHeaderSchema{Type: "configuration"}, hcl.BlockHeaderSchema{Type: "control_machine", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "front", LabelNames: []string{"protocol", "name"}},
		hcl.BlockHeaderSchema{Type: "members", LabelNames: []string{"protocol"}})
	if c == nil {
		return f
	}
	blocks := c.Blocks.ByType()
	r.once(blocks["log"])
	for _, b := range blocks["log"] {
		in := r.content(b.Body, []string{"level", "sample"})
		level, at := r.words(in, "level", "info")
		var ok bool
		if f.Level, ok = levels[level]; !ok {
			r.wrong(at, "level is none of debug, info, warn and error (%q)", level)
		}
		f.Sample = int64(r.count(in, "sample", 0, 0, 1_000_000))
	}
	r.once(blocks["state"])
	for _, b := range blocks["state"] {
		in := r.content(b.Body, []string{"folder", "every", "most_kb"})
		if in == nil {
			continue
		}
		folder, at := r.words(in, "folder", "")
		if !filepath.IsAbs(folder) {
			r.wrong(at, "folder is no path from the root (%q)", folder)
		}
		f.State = &State{Folder: folder, Every: r.span(in, "every", time.Second, 100*time.Millisecond, time.Hour),
			Bytes: r.count(in, "most_kb", 32<<10, 64, 1<<20) << 10}
	}
	r.once(blocks["control"])
	for _, b := range blocks["control"] {
		r.control(f, b)
	}
	r.once(blocks["leases"])
	for _, b := range blocks["leases"] {
		f.Leases = r.leases(b)
	}
	r.once(blocks["view"])
	for _, b := range blocks["view"] {
		r.view(f, b)
	}
	r.once(blocks["configuration"])
	for _, b := range blocks["configuration"] {
		r.configuration(f, b)
	}
	r.once(blocks["control_machine"])
	for _, b := range blocks["control_machine"] {
		r.machine(f, b)
	}
	for _, b := range blocks["members"] {
		r.members(f, b)
	}
	names := make(map[string]bool)
	platform := false
	for _, b := range blocks["front"] {
		front := r.front(f, b)
		if front == nil {
			continue
		}
		if names[front.Name] {
			r.wrong(b.LabelRanges[1], "two fronts have this name (%q)", front.Name)
		}
		names[front.Name] = true
		if !front.Listen.IsValid() {
			if platform {
				r.wrong(b.DefRange, "a second front without listen (%q): only the platform's own has none", front.Name)
			}
			platform = true
		}
		f.Fronts = append(f.Fronts, front)
	}
	if !platform {
		f.Fronts = append(None().Fronts, f.Fronts...)
	}
	slices.SortStableFunc(f.Fronts, func(a, b *Front) int { // the platform's first
		return map[bool]int{true: 1}[a.Listen.IsValid()] - map[bool]int{true: 1}[b.Listen.IsValid()]
	})
	return f
}

// control reads where operators ask: what is told there is for this machine only.
func (r *reader) control(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"listen"})
	if c == nil {
		return
	}
	text, at := r.words(c, "listen", "")
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		r.wrong(at, "listen is no loopback address with a port (%q)", text)
		return
	}
	r.taken(address, at, "the control address")
	f.Control = address
}

// taken names who listens at an address already.
func (r *reader) taken(address netip.AddrPort, at hcl.Range, whose string) {
	for other, whose := range r.listens {
		if other.Port() == address.Port() && other.Port() != 0 &&
			(other.Addr() == address.Addr() || other.Addr().IsUnspecified() || address.Addr().IsUnspecified()) {
			r.wrong(at, "listen is taken by %s (%q)", whose, address.String())
		}
	}
	r.listens[address] = whose
}

func (r *reader) once(blocks hcl.Blocks) {
	for _, b := range blocks[min(1, len(blocks)):] {
		r.wrong(b.DefRange, "a second block %s", b.Type)
	}
}

func (r *reader) members(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"groups", "root", "host"})
	if c == nil {
		return
	}
	if b.Labels[0] != "odata" {
		r.wrong(b.LabelRanges[0], "members speak odata; those that no block names speak pg (%q)", b.Labels[0])
		return
	}
	var at hcl.Range
	if f.Root, at = r.words(c, "root", "/"); !strings.HasPrefix(f.Root, "/") || !strings.HasSuffix(f.Root, "/") {
		r.wrong(at, "root neither begins nor ends with a slash (%q)", f.Root)
	}
	if f.Host, at = r.words(c, "host", ""); strings.ContainsAny(f.Host, " \t\r\n/") {
		r.wrong(at, "host is no name (%q)", f.Host)
	}
	for _, g := range r.groups(c) {
		f.Forms[g] = driver.Requests
	}
}

func (r *reader) groups(c *hcl.BodyContent) (groups []driver.Group) {
	a := c.Attributes["groups"]
	if a == nil {
		r.wrong(c.MissingItemRange, "groups is missing")
		return nil
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	if r.take(diagnostics); diagnostics.HasErrors() {
		return nil
	}
	for _, item := range items {
		v, _ := item.Value(nil)
		n := -1.0
		if v.IsKnown() && !v.IsNull() && v.Type().Equals(cty.Number) {
			n, _ = v.AsBigFloat().Float64()
		}
		if n < 0 || n > 65535 || n != float64(int(n)) {
			r.wrong(item.Range(), "a group that cannot be (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		groups = append(groups, driver.Group(n))
	}
	if len(groups) == 0 && len(items) == 0 {
		r.wrong(a.Expr.Range(), "groups names none")
	}
	return groups
}

func (r *reader) front(f *File, b *hcl.Block) *Front {
	front := &Front{Protocol: b.Labels[0], Name: b.Labels[1]}
	attributes, blocks := []string{"listen", "weight"}, []hcl.BlockHeaderSchema{{Type: "limits"}}
	switch front.Protocol {
	case "pg":
	case "odata":
		attributes = append(attributes, "root", "namespace")
		blocks = append(blocks, hcl.BlockHeaderSchema{Type: "set", LabelNames: []string{"name"}}, hcl.BlockHeaderSchema{Type: "repeats"})
	default:
		r.wrong(b.LabelRanges[0], "fronts speak pg or odata (%q)", front.Protocol)
		return nil
	}
	c := r.content(b.Body, attributes, blocks...)
	if c == nil {
		return nil
	}
	r.listen(front, c)
	front.Share.Weight = r.number(c, "weight", 1, 0.01, 1000)
	if front.Protocol == "odata" {
		if !front.Listen.IsValid() && c.Attributes["listen"] == nil {
			r.wrong(b.DefRange, "listen is missing (%q)", front.Name)
		}
		front.OData = r.odata(f, c, b)
	}
	r.limits(front, c)
	return front
}

func (r *reader) listen(front *Front, c *hcl.BodyContent) {
	text, at := r.words(c, "listen", "")
	if text == "" {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.wrong(at, "listen is no address with a port (%q)", text)
		return
	}
	r.taken(address, at, fmt.Sprintf("front %q", front.Name))
	front.Listen = address
}

func (r *reader) limits(front *Front, c *hcl.BodyContent) {
	blocks := c.Blocks.OfType("limits")
	r.once(blocks)
	attributes := []string{"connections", "rpcs", "memory_kb"}
	if front.OData != nil {
		attributes = append(attributes, "target_bytes", "head_bytes", "fields", "body_bytes", "batch", "abreast")
	}
	for _, b := range blocks {
		in := r.content(b.Body, attributes)
		front.Share.Limits[quota.Connections] = r.count(in, "connections", 0, 1, 1<<20)
		front.Share.Limits[quota.RPCs] = r.count(in, "rpcs", 0, 1, 1<<20)
		front.Share.Limits[quota.Bytes] = r.count(in, "memory_kb", 0, 1, 1<<20) << 10
		if o := front.OData; o != nil {
			o.HTTP.Target = r.count(in, "target_bytes", o.HTTP.Target, 64, 64<<10)
			o.HTTP.Head = r.count(in, "head_bytes", o.HTTP.Head, 256, 64<<10)
			o.HTTP.Fields = r.count(in, "fields", o.HTTP.Fields, 4, 1000)
			o.HTTP.Body = r.count(in, "body_bytes", o.HTTP.Body, 256, 1<<20)
			o.Batch = r.count(in, "batch", o.Batch, 1, 1000)
			o.Abreast = r.count(in, "abreast", o.Abreast, 1, 100)
		}
	}
}

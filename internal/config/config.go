// Package config reads the operator's own file (HCL): fronts beside the platform's, what they offer and may hold,
// which members speak what, and how much is logged. Everything wrong with it is told at once, each with its file, line,
// column and value.
package config

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
	"passtack/internal/rollout/server"
	"passtack/internal/share"
)

// Method is what the platform's settings say of one, as far as the file is checked against it.
type Method struct {
	Name                      string
	Need                      string // any, bounded, session, fresh or write
	Idempotent                bool
	HasToken                  bool
	Window                    time.Duration
	SoftDeadline, MaxDeadline time.Duration
}

// Front is one listener.
type Listener struct {
	Protocol, Name string
	Listen         netip.AddrPort // invalid for the platform's own
	Quota          share.Terms
	OData          *OData // of that protocol
}

// OData is what a front for OData offers and bounds.
type OData struct {
	Root          string
	Model         *odata.Model
	HTTP          httpwire.Limits
	MaxBatch      int // requests
	MaxConcurrent int // of them at once
	Idempotency   IdempotencyCache
}

// Repeats bounds what is remembered of repeatable requests.
type IdempotencyCache struct {
	Sticky     bool
	TTL        time.Duration
	MaxBytes   int
	MaxPending int
}

// State is where a driver keeps what it has learned.
type State struct {
	DataDir      string
	SaveInterval time.Duration // between two commits
	MaxBytes     int           // that it may take
}

// Leases is this driver's part in work that one driver does for its fleet.
type Leases struct {
	Fleet                string // drivers of another do not talk with these
	Version              uint32 // of the voters
	Voters, FormerVoters []string
	TTL, MaxTTL          time.Duration
	DataDir              string // where a voter keeps its promises, "": nowhere
	Tasks                []Task
}

// Task is work for the holder of a lease of that name.
type Task struct {
	Name     string
	Interval time.Duration
	Address  netip.AddrPort // where a summary goes
	Path     string
}

// Set is who votes.
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

// View is how a driver keeps one of its fleet.
type Membership struct {
	Fleet             string
	Interval          time.Duration // between two questions
	MemberConnections int           // that one member takes from all drivers, 0: not told
}

// File is what the operator wants.
type File struct {
	Membership *Membership    // nil: the driver keeps none of its fleet
	Leases     *Leases        // nil: the driver has no part in any
	State      *State         // nil: nothing is kept
	Control    netip.AddrPort // where operators ask about the driver; invalid: nowhere
	LogLevel   slog.Level
	LogSample  int64
	Listeners  []*Listener
	Forms      map[driver.Group]driver.Form
	MemberRoot string // under which members that speak OData serve
	MemberHost string // that they are asked for, "": their address

	Configuration  *Configuration        // nil: no control machine is asked
	ControlMachine *server.MachineConfig // nil: the file is no control machine's

	recheck func(methods []Method) (*File, error)
}

// Again reads the same text against other methods.
func (f *File) Recheck(methods []Method) (*File, error) {
	if f.recheck == nil {
		return f, nil
	}
	return f.recheck(methods)
}

// Mistakes are all that is wrong with a file, one a line.
type ValidationErrors []string

func (m ValidationErrors) Error() string { return strings.Join(m, "\n") }

// None is what holds where no file is given.
func Default() *File {
	return &File{Listeners: []*Listener{{Protocol: "pg", Name: "platform", Quota: share.Terms{Weight: 1}}}}
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
	r := &reader{methods: methods, addresses: map[netip.AddrPort]string{listen: "the platform's listener"}, text: text}
	parsed, diagnostics := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r.addDiagnostics(diagnostics)
	if parsed == nil || diagnostics.HasErrors() {
		return nil, r.errors
	}
	f := r.file(parsed.Body)
	if len(r.errors) > 0 {
		return nil, r.errors
	}
	f.recheck = func(methods []Method) (*File, error) { return Parse(text, name, listen, methods) }
	return f, nil
}

// reader collects mistakes.
type reader struct {
	methods   []Method
	addresses map[netip.AddrPort]string
	errors    ValidationErrors
	text      []byte
}

func (r *reader) addError(at hcl.Range, format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf("%s:%d:%d: %s", at.Filename, at.Start.Line, at.Start.Column, fmt.Sprintf(format, args...)))
}

func (r *reader) addDiagnostics(diagnostics hcl.Diagnostics) {
	for _, d := range diagnostics {
		at := hcl.Range{}
		if d.Subject != nil {
			at = *d.Subject
		}
		value := ""
		if at.CanSliceBytes(r.text) && at.End.Line == at.Start.Line {
			value = fmt.Sprintf(" (%s)", at.SliceBytes(r.text))
		}
		r.addError(at, "%s%s", strings.ToLower(d.Summary[:1])+d.Summary[1:], value)
	}
}

// content takes the attributes and blocks that a body may have; what else stands there is a mistake.
func (r *reader) content(body hcl.Body, attributes []string, blocks ...hcl.BlockHeaderSchema) *hcl.BodyContent {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, name := range attributes {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	c, diagnostics := body.Content(schema)
	r.addDiagnostics(diagnostics)
	return c
}

func (r *reader) value(c *hcl.BodyContent, name string, want cty.Type, kind string) (v cty.Value, at hcl.Range, ok bool) {
	a := c.Attributes[name]
	if a == nil {
		return v, c.MissingItemRange, false
	}
	at = a.Expr.Range()
	v, diagnostics := a.Expr.Value(nil)
	if r.addDiagnostics(diagnostics); diagnostics.HasErrors() {
		return v, at, false
	}
	if !v.IsKnown() || v.IsNull() || !v.Type().Equals(want) {
		r.addError(at, "%s is no %s (%s)", name, kind, at.SliceBytes(r.text))
		return v, at, false
	}
	return v, at, true
}

func (r *reader) textOf(c *hcl.BodyContent, name, otherwise string) (string, hcl.Range) {
	if v, at, ok := r.value(c, name, cty.String, "text"); ok {
		return v.AsString(), at
	} else {
		return otherwise, at
	}
}

func (r *reader) boolOf(c *hcl.BodyContent, name string, otherwise bool) bool {
	if v, _, ok := r.value(c, name, cty.Bool, "true or false"); ok {
		return v.True()
	}
	return otherwise
}

func (r *reader) numberOf(c *hcl.BodyContent, name string, otherwise, least, most float64) float64 {
	v, at, ok := r.value(c, name, cty.Number, "number")
	if !ok {
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		r.addError(at, "%s is not from %v to %v (%v)", name, least, most, n)
		return otherwise
	}
	return n
}

func (r *reader) intOf(c *hcl.BodyContent, name string, otherwise, least, most int) int {
	n := r.numberOf(c, name, float64(otherwise), float64(least), float64(most))
	if n != float64(int(n)) {
		r.addError(c.Attributes[name].Expr.Range(), "%s is no whole number (%v)", name, n)
	}
	return int(n)
}

func (r *reader) durationOf(c *hcl.BodyContent, name string, otherwise, least, most time.Duration) time.Duration {
	text, at := r.textOf(c, name, "")
	if text == "" {
		return otherwise
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < least || d > most {
		r.addError(at, "%s is no time from %v to %v (%q)", name, least, most, text)
		return otherwise
	}
	return d
}

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

func (r *reader) file(body hcl.Body) *File {
	f := &File{Forms: make(map[driver.Group]driver.Form), MemberRoot: "/"}
	c := r.content(body, nil, hcl.BlockHeaderSchema{Type: "log"}, hcl.BlockHeaderSchema{Type: "state"},
		hcl.BlockHeaderSchema{Type: "control"}, hcl.BlockHeaderSchema{Type: "leases"}, hcl.BlockHeaderSchema{Type: "view"},
		hcl.BlockHeaderSchema{Type: "configuration"}, hcl.BlockHeaderSchema{Type: "control_machine", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "front", LabelNames: []string{"protocol", "name"}},
		hcl.BlockHeaderSchema{Type: "members", LabelNames: []string{"protocol"}})
	if c == nil {
		return f
	}
	blocks := c.Blocks.ByType()
	r.atMostOne(blocks["log"])
	for _, b := range blocks["log"] {
		in := r.content(b.Body, []string{"level", "sample"})
		level, at := r.textOf(in, "level", "info")
		var ok bool
		if f.LogLevel, ok = logLevels[level]; !ok {
			r.addError(at, "level is none of debug, info, warn and error (%q)", level)
		}
		f.LogSample = int64(r.intOf(in, "sample", 0, 0, 1_000_000))
	}
	r.atMostOne(blocks["state"])
	for _, b := range blocks["state"] {
		in := r.content(b.Body, []string{"folder", "every", "most_kb"})
		if in == nil {
			continue
		}
		folder, at := r.textOf(in, "folder", "")
		if !filepath.IsAbs(folder) {
			r.addError(at, "folder is no path from the root (%q)", folder)
		}
		f.State = &State{DataDir: folder, SaveInterval: r.durationOf(in, "every", time.Second, 100*time.Millisecond, time.Hour),
			MaxBytes: r.intOf(in, "most_kb", 32<<10, 64, 1<<20) << 10}
	}
	r.atMostOne(blocks["control"])
	for _, b := range blocks["control"] {
		r.control(f, b)
	}
	r.atMostOne(blocks["leases"])
	for _, b := range blocks["leases"] {
		f.Leases = r.leases(b)
	}
	r.atMostOne(blocks["view"])
	for _, b := range blocks["view"] {
		r.membership(f, b)
	}
	r.atMostOne(blocks["configuration"])
	for _, b := range blocks["configuration"] {
		r.configuration(f, b)
	}
	r.atMostOne(blocks["control_machine"])
	for _, b := range blocks["control_machine"] {
		r.controlMachine(f, b)
	}
	for _, b := range blocks["members"] {
		r.members(f, b)
	}
	names := make(map[string]bool)
	platform := false
	for _, b := range blocks["front"] {
		front := r.listener(f, b)
		if front == nil {
			continue
		}
		if names[front.Name] {
			r.addError(b.LabelRanges[1], "two fronts have this name (%q)", front.Name)
		}
		names[front.Name] = true
		if !front.Listen.IsValid() {
			if platform {
				r.addError(b.DefRange, "a second front without listen (%q): only the platform's own has none", front.Name)
			}
			platform = true
		}
		f.Listeners = append(f.Listeners, front)
	}
	if !platform {
		f.Listeners = append(Default().Listeners, f.Listeners...)
	}
	slices.SortStableFunc(f.Listeners, func(a, b *Listener) int { // the platform's first
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
	text, at := r.textOf(c, "listen", "")
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().IsLoopback() {
		r.addError(at, "listen is no loopback address with a port (%q)", text)
		return
	}
	r.reserveAddress(address, at, "the control address")
	f.Control = address
}

// taken names who listens at an address already.
func (r *reader) reserveAddress(address netip.AddrPort, at hcl.Range, whose string) {
	for other, whose := range r.addresses {
		if other.Port() == address.Port() && other.Port() != 0 &&
			(other.Addr() == address.Addr() || other.Addr().IsUnspecified() || address.Addr().IsUnspecified()) {
			r.addError(at, "listen is taken by %s (%q)", whose, address.String())
		}
	}
	r.addresses[address] = whose
}

func (r *reader) atMostOne(blocks hcl.Blocks) {
	for _, b := range blocks[min(1, len(blocks)):] {
		r.addError(b.DefRange, "a second block %s", b.Type)
	}
}

func (r *reader) members(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"groups", "root", "host"})
	if c == nil {
		return
	}
	if b.Labels[0] != "odata" {
		r.addError(b.LabelRanges[0], "members speak odata; those that no block names speak pg (%q)", b.Labels[0])
		return
	}
	var at hcl.Range
	if f.MemberRoot, at = r.textOf(c, "root", "/"); !strings.HasPrefix(f.MemberRoot, "/") || !strings.HasSuffix(f.MemberRoot, "/") {
		r.addError(at, "root neither begins nor ends with a slash (%q)", f.MemberRoot)
	}
	if f.MemberHost, at = r.textOf(c, "host", ""); strings.ContainsAny(f.MemberHost, " \t\r\n/") {
		r.addError(at, "host is no name (%q)", f.MemberHost)
	}
	for _, g := range r.groups(c) {
		f.Forms[g] = driver.Requests
	}
}

func (r *reader) groups(c *hcl.BodyContent) (groups []driver.Group) {
	a := c.Attributes["groups"]
	if a == nil {
		r.addError(c.MissingItemRange, "groups is missing")
		return nil
	}
	items, diagnostics := hcl.ExprList(a.Expr)
	if r.addDiagnostics(diagnostics); diagnostics.HasErrors() {
		return nil
	}
	for _, item := range items {
		v, _ := item.Value(nil)
		n := -1.0
		if v.IsKnown() && !v.IsNull() && v.Type().Equals(cty.Number) {
			n, _ = v.AsBigFloat().Float64()
		}
		if n < 0 || n > 65535 || n != float64(int(n)) {
			r.addError(item.Range(), "a group that cannot be (%s)", item.Range().SliceBytes(r.text))
			continue
		}
		groups = append(groups, driver.Group(n))
	}
	if len(groups) == 0 && len(items) == 0 {
		r.addError(a.Expr.Range(), "groups names none")
	}
	return groups
}

func (r *reader) listener(f *File, b *hcl.Block) *Listener {
	front := &Listener{Protocol: b.Labels[0], Name: b.Labels[1]}
	attributes, blocks := []string{"listen", "weight"}, []hcl.BlockHeaderSchema{{Type: "limits"}}
	switch front.Protocol {
	case "pg":
	case "odata":
		attributes = append(attributes, "root", "namespace")
		blocks = append(blocks, hcl.BlockHeaderSchema{Type: "set", LabelNames: []string{"name"}}, hcl.BlockHeaderSchema{Type: "repeats"})
	default:
		r.addError(b.LabelRanges[0], "fronts speak pg or odata (%q)", front.Protocol)
		return nil
	}
	c := r.content(b.Body, attributes, blocks...)
	if c == nil {
		return nil
	}
	r.listen(front, c)
	front.Quota.Weight = r.numberOf(c, "weight", 1, 0.01, 1000)
	if front.Protocol == "odata" {
		if !front.Listen.IsValid() && c.Attributes["listen"] == nil {
			r.addError(b.DefRange, "listen is missing (%q)", front.Name)
		}
		front.OData = r.odata(f, c, b)
	}
	r.limits(front, c)
	return front
}

func (r *reader) listen(front *Listener, c *hcl.BodyContent) {
	text, at := r.textOf(c, "listen", "")
	if text == "" {
		return
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(at, "listen is no address with a port (%q)", text)
		return
	}
	r.reserveAddress(address, at, fmt.Sprintf("front %q", front.Name))
	front.Listen = address
}

func (r *reader) limits(front *Listener, c *hcl.BodyContent) {
	blocks := c.Blocks.OfType("limits")
	r.atMostOne(blocks)
	attributes := []string{"connections", "rpcs", "memory_kb"}
	if front.OData != nil {
		attributes = append(attributes, "target_bytes", "head_bytes", "fields", "body_bytes", "batch", "abreast")
	}
	for _, b := range blocks {
		in := r.content(b.Body, attributes)
		front.Quota.Limits[share.Connections] = r.intOf(in, "connections", 0, 1, 1<<20)
		front.Quota.Limits[share.RPCs] = r.intOf(in, "rpcs", 0, 1, 1<<20)
		front.Quota.Limits[share.Bytes] = r.intOf(in, "memory_kb", 0, 1, 1<<20) << 10
		if o := front.OData; o != nil {
			o.HTTP.Target = r.intOf(in, "target_bytes", o.HTTP.Target, 64, 64<<10)
			o.HTTP.Head = r.intOf(in, "head_bytes", o.HTTP.Head, 256, 64<<10)
			o.HTTP.Fields = r.intOf(in, "fields", o.HTTP.Fields, 4, 1000)
			o.HTTP.Body = r.intOf(in, "body_bytes", o.HTTP.Body, 256, 1<<20)
			o.MaxBatch = r.intOf(in, "batch", o.MaxBatch, 1, 1000)
			o.MaxConcurrent = r.intOf(in, "abreast", o.MaxConcurrent, 1, 100)
		}
	}
}

package config

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"passtack/driver"
)

// reader reads one file and collects the errors in it. A value that is missing or wrong is read as its default.
type reader struct {
	methods   []Method
	addresses map[netip.AddrPort]string // that are listened on, and by whom
	errors    ValidationErrors
	text      []byte
}

// namePattern is what names of fleets, drivers and machines look like.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// file reads the blocks of a file.
func (r *reader) file(body hcl.Body) *File {
	f := &File{Forms: make(map[driver.Group]driver.Form), MemberRoot: "/"}
	single := []struct {
		block  string
		labels []string
		read   func(*File, *hcl.Block)
	}{
		{"log", nil, r.log},
		{"state", nil, r.state},
		{"control", nil, r.control},
		{"leases", nil, r.leases},
		{"view", nil, r.membership},
		{"configuration", nil, r.configuration},
		{"control_machine", []string{"name"}, r.controlMachine},
	}
	schema := []hcl.BlockHeaderSchema{
		{Type: "front", LabelNames: []string{"protocol", "name"}},
		{Type: "members", LabelNames: []string{"protocol"}},
	}
	for _, s := range single {
		schema = append(schema, hcl.BlockHeaderSchema{Type: s.block, LabelNames: s.labels})
	}
	c := r.content(body, nil, schema...)
	if c == nil {
		return f
	}
	blocks := c.Blocks.ByType()
	for _, s := range single {
		r.atMostOne(blocks[s.block])
		for _, b := range blocks[s.block] {
			s.read(f, b)
		}
	}
	for _, b := range blocks["members"] {
		r.members(f, b)
	}
	r.listeners(f, blocks["front"])
	return f
}

func (r *reader) addError(at hcl.Range, format string, args ...any) {
	r.errors = append(r.errors, &ValidationError{
		File: at.Filename, Line: at.Start.Line, Column: at.Start.Column, Message: fmt.Sprintf(format, args...),
	})
}

// addDiagnostics adds the errors of the HCL parser, with the value where it stands on one line.
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

// content returns the attributes and blocks that a body may have. Whatever else it has is an error.
func (r *reader) content(body hcl.Body, attributes []string, blocks ...hcl.BlockHeaderSchema) *hcl.BodyContent {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, name := range attributes {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	c, diagnostics := body.Content(schema)
	r.addDiagnostics(diagnostics)
	return c
}

// atMostOne reports each block but the first.
func (r *reader) atMostOne(blocks hcl.Blocks) {
	for _, b := range blocks[min(1, len(blocks)):] {
		r.addError(b.DefRange, "a second block %s", b.Type)
	}
}

// value returns an attribute of a type, and where it stands. It is not ok if it is missing or wrong.
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

func (r *reader) textOf(c *hcl.BodyContent, name, byDefault string) (string, hcl.Range) {
	v, at, ok := r.value(c, name, cty.String, "text")
	if !ok {
		return byDefault, at
	}
	return v.AsString(), at
}

func (r *reader) boolOf(c *hcl.BodyContent, name string, byDefault bool) bool {
	v, _, ok := r.value(c, name, cty.Bool, "true or false")
	if !ok {
		return byDefault
	}
	return v.True()
}

func (r *reader) numberOf(c *hcl.BodyContent, name string, byDefault, minimum, maximum float64) float64 {
	v, at, ok := r.value(c, name, cty.Number, "number")
	if !ok {
		return byDefault
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		r.addError(at, "%s is not from %v to %v (%v)", name, minimum, maximum, n)
		return byDefault
	}
	return n
}

func (r *reader) intOf(c *hcl.BodyContent, name string, byDefault, minimum, maximum int) int {
	n := r.numberOf(c, name, float64(byDefault), float64(minimum), float64(maximum))
	if n != float64(int(n)) {
		r.addError(c.Attributes[name].Expr.Range(), "%s is no whole number (%v)", name, n)
	}
	return int(n)
}

func (r *reader) durationOf(c *hcl.BodyContent, name string, byDefault, minimum, maximum time.Duration) time.Duration {
	text, at := r.textOf(c, name, "")
	if text == "" {
		return byDefault
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum || d > maximum {
		r.addError(at, "%s is no time from %v to %v (%q)", name, minimum, maximum, text)
		return byDefault
	}
	return d
}

// addressOf reads an address with a port. One that is missing is an error.
func (r *reader) addressOf(c *hcl.BodyContent, name string) (address netip.AddrPort, at hcl.Range) {
	text, at := r.textOf(c, name, "")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(at, "%s is no address with a port (%q)", name, text)
	}
	return address, at
}

// reserveAddress notes who listens on an address, which is an error if another does already.
func (r *reader) reserveAddress(address netip.AddrPort, at hcl.Range, owner string) {
	for other, otherOwner := range r.addresses {
		if other.Port() == address.Port() && other.Port() != 0 &&
			(other.Addr() == address.Addr() || other.Addr().IsUnspecified() || address.Addr().IsUnspecified()) {
			r.addError(at, "listen is taken by %s (%q)", otherOwner, address.String())
		}
	}
	r.addresses[address] = owner
}

// fleet reads the name of a fleet.
func (r *reader) fleet(c *hcl.BodyContent) (name string, at hcl.Range) {
	name, at = r.textOf(c, "fleet", "")
	if !namePattern.MatchString(name) {
		r.addError(at, "fleet is no name of letters, digits, dots and dashes (%q)", name)
	}
	return name, at
}

// dataDir reads a data directory. If it is not required, it may be missing or empty.
func (r *reader) dataDir(c *hcl.BodyContent, required bool) string {
	path, at := r.textOf(c, "folder", "")
	if (path != "" || required) && !filepath.IsAbs(path) {
		r.addError(at, "folder is no path from the root (%q)", path)
	}
	return path
}

// items returns the expressions of a list. It is not ok if the attribute is none.
func (r *reader) items(a *hcl.Attribute) (items []hcl.Expression, ok bool) {
	items, diagnostics := hcl.ExprList(a.Expr)
	r.addDiagnostics(diagnostics)
	return items, !diagnostics.HasErrors()
}

// textItem returns an item of a list if it is a text, and "" otherwise.
func textItem(item hcl.Expression) string {
	v, _ := item.Value(nil)
	if !v.IsKnown() || v.IsNull() || !v.Type().Equals(cty.String) {
		return ""
	}
	return v.AsString()
}

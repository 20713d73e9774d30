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

// reader reads one file and collects its errors. A missing or invalid value is replaced by its default.
type reader struct {
	methods   []Method
	addresses map[netip.AddrPort]string // listen addresses and their owners
	errors    ValidationErrors
	text      []byte
}

// namePattern matches valid names of fleets, drivers and control machines.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// file reads the blocks of a file.
func (r *reader) file(body hcl.Body) *File {
	f := &File{Forms: make(map[driver.Group]driver.Form), MemberRoot: "/"}
	uniqueBlocks := []struct {
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
	for _, s := range uniqueBlocks {
		schema = append(schema, hcl.BlockHeaderSchema{Type: s.block, LabelNames: s.labels})
	}
	c := r.content(body, nil, schema...)
	if c == nil {
		return f
	}
	blocks := c.Blocks.ByType()
	for _, s := range uniqueBlocks {
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

func (r *reader) addError(location hcl.Range, format string, args ...any) {
	r.errors = append(r.errors, &ValidationError{
		File: location.Filename, Line: location.Start.Line, Column: location.Start.Column, Message: fmt.Sprintf(format, args...),
	})
}

// addDiagnostics adds the errors of the HCL parser, each with its value unless the value spans several lines.
func (r *reader) addDiagnostics(diagnostics hcl.Diagnostics) {
	for _, d := range diagnostics {
		location := hcl.Range{}
		if d.Subject != nil {
			location = *d.Subject
		}
		value := ""
		if location.CanSliceBytes(r.text) && location.End.Line == location.Start.Line {
			value = fmt.Sprintf(" (%s)", location.SliceBytes(r.text))
		}
		r.addError(location, "%s%s", strings.ToLower(d.Summary[:1])+d.Summary[1:], value)
	}
}

// content returns the attributes and blocks of a body. Attributes and blocks that are not listed are errors.
func (r *reader) content(body hcl.Body, attributes []string, blocks ...hcl.BlockHeaderSchema) *hcl.BodyContent {
	schema := &hcl.BodySchema{Blocks: blocks}
	for _, name := range attributes {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: name})
	}
	c, diagnostics := body.Content(schema)
	r.addDiagnostics(diagnostics)
	return c
}

// atMostOne reports each block after the first as an error.
func (r *reader) atMostOne(blocks hcl.Blocks) {
	for _, b := range blocks[min(1, len(blocks)):] {
		r.addError(b.DefRange, "duplicate block %s", b.Type)
	}
}

// value returns the value of an attribute and its location. ok is false if the attribute is missing or not of the wanted type.
func (r *reader) value(c *hcl.BodyContent, name string, want cty.Type, expected string) (v cty.Value, location hcl.Range, ok bool) {
	a := c.Attributes[name]
	if a == nil {
		return v, c.MissingItemRange, false
	}
	location = a.Expr.Range()
	v, diagnostics := a.Expr.Value(nil)
	if r.addDiagnostics(diagnostics); diagnostics.HasErrors() {
		return v, location, false
	}
	if !v.IsKnown() || v.IsNull() || !v.Type().Equals(want) {
		r.addError(location, "%s must be %s, got %s", name, expected, location.SliceBytes(r.text))
		return v, location, false
	}
	return v, location, true
}

func (r *reader) textOf(c *hcl.BodyContent, name, defaultValue string) (string, hcl.Range) {
	v, location, ok := r.value(c, name, cty.String, "a string")
	if !ok {
		return defaultValue, location
	}
	return v.AsString(), location
}

func (r *reader) boolOf(c *hcl.BodyContent, name string, defaultValue bool) bool {
	v, _, ok := r.value(c, name, cty.Bool, "true or false")
	if !ok {
		return defaultValue
	}
	return v.True()
}

func (r *reader) numberOf(c *hcl.BodyContent, name string, defaultValue, minimum, maximum float64) float64 {
	v, location, ok := r.value(c, name, cty.Number, "a number")
	if !ok {
		return defaultValue
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		r.addError(location, "%s must be from %v to %v, got %v", name, minimum, maximum, n)
		return defaultValue
	}
	return n
}

func (r *reader) intOf(c *hcl.BodyContent, name string, defaultValue, minimum, maximum int) int {
	n := r.numberOf(c, name, float64(defaultValue), float64(minimum), float64(maximum))
	if n != float64(int(n)) {
		r.addError(c.Attributes[name].Expr.Range(), "%s must be a whole number, got %v", name, n)
	}
	return int(n)
}

func (r *reader) durationOf(c *hcl.BodyContent, name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	text, location := r.textOf(c, name, "")
	if text == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < minimum || d > maximum {
		r.addError(location, "%s must be a duration from %v to %v, got %q", name, minimum, maximum, text)
		return defaultValue
	}
	return d
}

// addressOf reads an address with a port. A missing address is an error.
func (r *reader) addressOf(c *hcl.BodyContent, name string) (address netip.AddrPort, location hcl.Range) {
	text, location := r.textOf(c, name, "")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		r.addError(location, "%s must be an IP address with a port, got %q", name, text)
	}
	return address, location
}

// reserveAddress records the owner of a listen address. It is an error if another owner already uses the address.
func (r *reader) reserveAddress(address netip.AddrPort, location hcl.Range, owner string) {
	for other, otherOwner := range r.addresses {
		if other.Port() == address.Port() && other.Port() != 0 &&
			(other.Addr() == address.Addr() || other.Addr().IsUnspecified() || address.Addr().IsUnspecified()) {
			r.addError(location, "listen is already used by %s, got %q", otherOwner, address.String())
		}
	}
	r.addresses[address] = owner
}

// fleet reads a fleet name.
func (r *reader) fleet(c *hcl.BodyContent) (name string, location hcl.Range) {
	name, location = r.textOf(c, "fleet", "")
	if !namePattern.MatchString(name) {
		r.addError(location, "fleet must be 1 to 64 letters, digits, dots, dashes or underscores, got %q", name)
	}
	return name, location
}

// dataDir reads the path of a data directory. A directory that is not required may be missing or empty.
func (r *reader) dataDir(c *hcl.BodyContent, required bool) string {
	path, location := r.textOf(c, "folder", "")
	if (path != "" || required) && !filepath.IsAbs(path) {
		r.addError(location, "folder must be an absolute path, got %q", path)
	}
	return path
}

// items returns the expressions of a list. ok is false if the attribute is not a list.
func (r *reader) items(a *hcl.Attribute) (items []hcl.Expression, ok bool) {
	items, diagnostics := hcl.ExprList(a.Expr)
	r.addDiagnostics(diagnostics)
	return items, !diagnostics.HasErrors()
}

// textItem returns the value of a list item, or "" if it is not a string.
func textItem(item hcl.Expression) string {
	v, _ := item.Value(nil)
	if !v.IsKnown() || v.IsNull() || !v.Type().Equals(cty.String) {
		return ""
	}
	return v.AsString()
}

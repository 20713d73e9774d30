package config

import (
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"passtack/driver"
)

// maxGroup is the highest group number.
const maxGroup = 1<<16 - 1

// members reads the block that lists the groups whose members speak OData.
func (r *reader) members(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"groups", "root", "host"})
	if c == nil {
		return
	}
	if b.Labels[0] != "odata" {
		r.addError(b.LabelRanges[0], "protocol of a members block must be odata, got %q: groups without a block use pg", b.Labels[0])
		return
	}
	var location hcl.Range
	if f.MemberRoot, location = r.textOf(c, "root", "/"); !strings.HasPrefix(f.MemberRoot, "/") || !strings.HasSuffix(f.MemberRoot, "/") {
		r.addError(location, "root must begin and end with a slash, got %q", f.MemberRoot)
	}
	if f.MemberHost, location = r.textOf(c, "host", ""); strings.ContainsAny(f.MemberHost, " \t\r\n/") {
		r.addError(location, "host must contain no white space or slash, got %q", f.MemberHost)
	}
	for _, g := range r.groups(c) {
		f.Forms[g] = driver.Requests
	}
}

// groups reads a list of group numbers.
func (r *reader) groups(c *hcl.BodyContent) (groups []driver.Group) {
	a := c.Attributes["groups"]
	if a == nil {
		r.addError(c.MissingItemRange, "groups is missing")
		return nil
	}
	items, ok := r.items(a)
	if !ok {
		return nil
	}
	for _, item := range items {
		v, _ := item.Value(nil)
		n := -1.0
		if v.IsKnown() && !v.IsNull() && v.Type().Equals(cty.Number) {
			n, _ = v.AsBigFloat().Float64()
		}
		if n < 0 || n > maxGroup || n != float64(int(n)) {
			r.addError(item.Range(), "a group must be a whole number from 0 to 65535, got %s", item.Range().SliceBytes(r.text))
			continue
		}
		groups = append(groups, driver.Group(n))
	}
	if len(groups) == 0 && len(items) == 0 {
		r.addError(a.Expr.Range(), "groups must not be empty")
	}
	return groups
}

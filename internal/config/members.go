package config

import (
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"

	"passtack/driver"
)

const maxGroup = 1<<16 - 1

// members reads which groups have members that speak OData.
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

// groups reads numbers of groups.
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

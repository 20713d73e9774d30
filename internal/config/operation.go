package config

import (
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"passtack/driver"
	"passtack/internal/odata"
)

// requiredPlaceholders lists the placeholders that the statement of an operation must contain.
var requiredPlaceholders = map[odata.OperationKind][]string{
	odata.Read:    {"key"},
	odata.List:    {"top", "skip", "order"},
	odata.Update:  {"key"},
	odata.Replace: {"key", "body"},
	odata.Upsert:  {"key", "body"},
	odata.Delete:  {"key"},
}

// operation reads one operation of an entity set. The form is the protocol of the set's members.
func (r *reader) operation(s *odata.Set, b *hcl.Block, form driver.Form) {
	c := r.content(b.Body, []string{"method", "after_write", "statement"})
	name := b.Labels[0]
	i := slices.Index(odata.OperationNames[:], name)
	if i < 0 {
		r.addError(b.LabelRanges[0], "operation must be one of %s, got %q", strings.Join(odata.OperationNames[:], ", "), name)
		return
	}
	kind := odata.OperationKind(i)
	if s.Operations[kind] != nil {
		r.addError(b.LabelRanges[0], "set %q has two operations %q", s.Name, name)
	}
	o := &odata.Operation{}
	s.Operations[kind] = o
	if number, m, ok := r.method(c, "method", kind.Writes()); ok {
		o.Method, o.HasIdempotencyKey, o.Idempotent, o.Window, o.SoftDeadline, o.MaxDeadline = number, m.HasIdempotencyKey, m.Idempotent, m.Window, m.SoftDeadline, m.MaxDeadline
	}
	o.AfterWrite = o.Method
	if c.Attributes["after_write"] != nil {
		r.afterWrite(o, kind, c, name)
	}
	r.statement(o, kind, s, form, c, name)
}

// method reads the name of a method. It must be a method for writes if writes is true, else one for reads.
func (r *reader) method(c *hcl.BodyContent, attribute string, writes bool) (driver.Method, Method, bool) {
	name, location := r.textOf(c, attribute, "")
	i := slices.IndexFunc(r.methods, func(m Method) bool { return m.Name == name })
	switch {
	case i < 0 && c.Attributes[attribute] == nil:
		r.addError(location, "%s is missing", attribute)
	case i < 0:
		r.addError(location, "%s is none of the settings (%q)", attribute, name)
	case r.methods[i].writes() != writes:
		use := "reads"
		if !writes {
			use = "writes"
		}
		r.addError(location, "%s must not be a method for %s, got %q", attribute, use, name)
	default:
		return driver.Method(i), r.methods[i], true
	}
	return 0, Method{}, false
}

// writes reports whether the method is used for writes.
func (m Method) writes() bool { return m.Need == "write" }

// seesOwnWrites reports whether a read with this method sees the earlier writes of its session.
func (m Method) seesOwnWrites() bool { return m.Need == "session" || m.Need == "fresh" }

// mayBeStale reports whether a read with this method may return data older than the writes of its session.
func (m Method) mayBeStale() bool { return m.Need == "any" || m.Need == "bounded" }

// afterWrite reads the method used for a read that follows a write in the same batch.
func (r *reader) afterWrite(o *odata.Operation, kind odata.OperationKind, c *hcl.BodyContent, name string) {
	if kind.Writes() {
		r.addError(c.Attributes["after_write"].NameRange, "after_write is only allowed for reads, operation %q writes", name)
		return
	}
	number, m, ok := r.method(c, "after_write", false)
	if !ok {
		return
	}
	o.AfterWrite = number
	if !m.seesOwnWrites() {
		r.addError(c.Attributes["after_write"].Expr.Range(), "after_write must be a method that sees the writes of its session, got %q", m.Name)
	}
}

// statement reads the statement of an operation. Operations on members that speak OData must not have one.
func (r *reader) statement(o *odata.Operation, kind odata.OperationKind, s *odata.Set, form driver.Form, c *hcl.BodyContent, name string) {
	text, location := r.textOf(c, "statement", "")
	switch {
	case form == driver.Requests && text != "":
		r.addError(location, "members of set %q speak odata and accept no statement", s.Name)
		return
	case form == driver.Statements && text == "":
		r.addError(location, "operation %q has no statement", name)
		return
	case form != driver.Statements:
		return
	}
	template, err := odata.NewTemplate(text, s)
	if err != nil {
		r.addError(location, "statement: %v", err)
		return
	}
	for _, placeholder := range requiredPlaceholders[kind] {
		if !template.Has(placeholder) {
			r.addError(location, "statement of %q must contain {%s}", name, placeholder)
		}
	}
	o.Statement = template
}

// checkAfterWrites reports each read without after_write whose method may miss a write of the same batch.
func (r *reader) checkAfterWrites(s *odata.Set, blocks hcl.Blocks) {
	if !hasWrites(s) {
		return
	}
	for _, b := range blocks {
		i := slices.Index(odata.OperationNames[:], b.Labels[0])
		if i < 0 || odata.OperationKind(i).Writes() || s.Operations[i] == nil || s.Operations[i].AfterWrite != s.Operations[i].Method {
			continue
		}
		if m := int(s.Operations[i].Method); m < len(r.methods) && r.methods[m].mayBeStale() {
			r.addError(b.DefRange, "operation %q of set %q needs after_write: its method may miss a write of the same batch (%q)",
				b.Labels[0], s.Name, r.methods[m].Name)
		}
	}
}

func hasWrites(s *odata.Set) bool {
	for kind, o := range s.Operations {
		if o != nil && odata.OperationKind(kind).Writes() {
			return true
		}
	}
	return false
}

package config

import (
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

func (r *reader) odata(f *File, c *hcl.BodyContent, b *hcl.Block) *OData {
	o := &OData{
		HTTP: httpwire.Limits{Target: 4 << 10, Head: 16 << 10, Fields: 64, Body: 256 << 10}, MaxBatch: 50, MaxConcurrent: 4,
		Idempotency: IdempotencyCache{TTL: 5 * time.Minute, MaxBytes: 1 << 20, MaxPending: 1000},
		Model:       &odata.Model{},
	}
	var at hcl.Range
	if o.Root, at = r.textOf(c, "root", "/"); !strings.HasPrefix(o.Root, "/") || !strings.HasSuffix(o.Root, "/") || strings.ContainsAny(o.Root, " ?#%") {
		r.addError(at, "root is no path that begins and ends with a slash (%q)", o.Root)
	}
	if o.Model.Namespace, at = r.textOf(c, "namespace", "Service"); !isIdentifier(strings.ReplaceAll(o.Model.Namespace, ".", "")) {
		r.addError(at, "namespace is no name (%q)", o.Model.Namespace)
	}
	blocks := c.Blocks.ByType()
	r.atMostOne(blocks["repeats"])
	for _, b := range blocks["repeats"] {
		in := r.content(b.Body, []string{"sticky", "kept", "memory_kb", "open"})
		o.Idempotency.Sticky = r.boolOf(in, "sticky", false)
		o.Idempotency.TTL = r.durationOf(in, "kept", o.Idempotency.TTL, time.Second, 24*time.Hour)
		o.Idempotency.MaxBytes = r.intOf(in, "memory_kb", o.Idempotency.MaxBytes>>10, 1, 1<<20) << 10
		o.Idempotency.MaxPending = r.intOf(in, "open", o.Idempotency.MaxPending, 1, 1<<16)
	}
	if len(blocks["set"]) == 0 {
		r.addError(b.DefRange, "front %q offers no set", b.Labels[1])
	}
	for _, b := range blocks["set"] {
		s := r.entitySet(f, b)
		if o.Model.Set(s.Name) != nil {
			r.addError(b.LabelRanges[0], "two sets have this name (%q)", s.Name)
		}
		for _, other := range o.Model.Sets {
			if other.Type == s.Type {
				r.addError(b.DefRange, "two sets have entities of one type (%q)", s.Type)
			}
		}
		o.Model.Sets = append(o.Model.Sets, s)
	}
	return o
}

// identifier tells whether a name may stand in metadata and paths.
func isIdentifier(name string) bool {
	for i, b := range []byte(name) {
		if b != '_' && (b|0x20 < 'a' || b|0x20 > 'z') && (i == 0 || b < '0' || b > '9') {
			return false
		}
	}
	return name != "" && len(name) <= 128
}

func (r *reader) entitySet(f *File, b *hcl.Block) *odata.Set {
	s := &odata.Set{Name: b.Labels[0]}
	if !isIdentifier(s.Name) {
		r.addError(b.LabelRanges[0], "a set's name that cannot be (%q)", s.Name)
	}
	c := r.content(b.Body, []string{"type", "key", "etag", "page", "groups"}, hcl.BlockHeaderSchema{Type: "property", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "operation", LabelNames: []string{"name"}})
	if c == nil {
		return s
	}
	var at hcl.Range
	if s.Type, at = r.textOf(c, "type", strings.TrimSuffix(s.Name, "s")); !isIdentifier(s.Type) {
		r.addError(at, "type is no name (%q)", s.Type)
	}
	s.Page = r.intOf(c, "page", 100, 1, 10_000)
	s.Groups = r.groups(c)
	blocks := c.Blocks.ByType()
	for _, p := range blocks["property"] {
		r.property(s, p)
	}
	key, at := r.textOf(c, "key", "")
	if s.Key = s.Property(key); s.Key == nil {
		r.addError(at, "key names no property of set %q (%q)", s.Name, key)
		s.Key = &odata.Property{Type: odata.String}
	} else if s.Key.Nullable {
		r.addError(at, "the key may be null (%q)", key)
	}
	if name, at := r.textOf(c, "etag", ""); name != "" {
		if s.ETag = s.Property(name); s.ETag == nil {
			r.addError(at, "etag names no property of set %q (%q)", s.Name, name)
		}
	}
	form := driver.Statements
	for i, g := range s.Groups {
		if i == 0 {
			form = f.Forms[g]
		} else if f.Forms[g] != form {
			r.addError(c.Attributes["groups"].Expr.Range(), "groups of set %q speak two protocols", s.Name)
			break
		}
	}
	for _, o := range blocks["operation"] {
		r.operation(s, o, form)
	}
	if len(blocks["operation"]) == 0 {
		r.addError(b.DefRange, "set %q has no operation", s.Name)
	}
	r.checkAfterWrites(s, blocks["operation"])
	return s
}

func (r *reader) property(s *odata.Set, b *hcl.Block) {
	c := r.content(b.Body, []string{"type", "column", "nullable", "max_length"})
	p := &odata.Property{Name: b.Labels[0]}
	if !isIdentifier(p.Name) || slices.Contains(odata.Blanks, p.Name) {
		r.addError(b.LabelRanges[0], "a property's name that cannot be (%q)", p.Name)
	}
	if s.Property(p.Name) != nil {
		r.addError(b.LabelRanges[0], "two properties of set %q have this name (%q)", s.Name, p.Name)
	}
	kind, at := r.textOf(c, "type", string(odata.String))
	if p.Type = odata.Type(kind); !slices.Contains(odata.Types, p.Type) {
		r.addError(at, "type is none of %v (%q)", odata.Types, kind)
	}
	if p.Column, at = r.textOf(c, "column", p.Name); p.Column == "" || strings.ContainsRune(p.Column, 0) {
		r.addError(at, "column is no name (%q)", p.Column)
	}
	p.Nullable = r.boolOf(c, "nullable", false)
	p.Length = r.intOf(c, "max_length", 0, 1, 1<<20)
	s.Properties = append(s.Properties, p)
}

func (r *reader) method(c *hcl.BodyContent, name string, writes bool) (driver.Method, Method, bool) {
	text, at := r.textOf(c, name, "")
	i := slices.IndexFunc(r.methods, func(m Method) bool { return m.Name == text })
	switch {
	case i < 0 && c.Attributes[name] == nil:
		r.addError(at, "%s is missing", name)
	case i < 0:
		r.addError(at, "%s is none of the settings (%q)", name, text)
	case writes != (r.methods[i].Need == "write"):
		r.addError(at, "%s is for %s, not for this (%q)", name, map[bool]string{true: "reads", false: "writes"}[writes], text)
	default:
		return driver.Method(i), r.methods[i], true
	}
	return 0, Method{}, false
}

// wants tells which blanks an operation's statement cannot do without.
var requiredPlaceholders = map[odata.Act][]string{
	odata.Read: {"key"}, odata.List: {"top", "skip", "order"}, odata.Update: {"key"}, odata.Replace: {"key", "body"},
	odata.Upsert: {"key", "body"}, odata.Delete: {"key"},
}

func (r *reader) operation(s *odata.Set, b *hcl.Block, form driver.Form) {
	c := r.content(b.Body, []string{"method", "after_write", "statement"})
	i := slices.Index(odata.Names[:], b.Labels[0])
	if i < 0 {
		r.addError(b.LabelRanges[0], "an operation is one of %s (%q)", strings.Join(odata.Names[:], ", "), b.Labels[0])
		return
	}
	act := odata.Act(i)
	if s.Operations[act] != nil {
		r.addError(b.LabelRanges[0], "set %q has this operation twice (%q)", s.Name, b.Labels[0])
	}
	o := &odata.Operation{}
	s.Operations[act] = o
	var m Method
	var ok bool
	if o.Method, m, ok = r.method(c, "method", act.Writes()); ok {
		o.Tokened, o.Repeats, o.Window, o.Soft, o.Most = m.HasToken, m.Idempotent, m.Window, m.SoftDeadline, m.MaxDeadline
	}
	o.AfterWrite = o.Method
	if c.Attributes["after_write"] != nil {
		if act.Writes() {
			r.addError(c.Attributes["after_write"].NameRange, "after_write is for reads (%q)", b.Labels[0])
		} else if number, m, ok := r.method(c, "after_write", false); ok {
			o.AfterWrite = number
			if m.Need != "session" && m.Need != "fresh" {
				r.addError(c.Attributes["after_write"].Expr.Range(), "after_write sees no write of its session (%q)", m.Name)
			}
		}
	}
	text, at := r.textOf(c, "statement", "")
	switch {
	case form == driver.Requests && text != "":
		r.addError(at, "members of set %q speak odata and take no statement", s.Name)
	case form == driver.Statements && text == "":
		r.addError(at, "statement is missing (%q)", b.Labels[0])
	case form == driver.Statements:
		template, err := odata.NewTemplate(text, s)
		if err != nil {
			r.addError(at, "statement: %v", err)
			return
		}
		for _, blank := range requiredPlaceholders[act] {
			if !template.Has(blank) {
				r.addError(at, "statement of %q leaves {%s} open nowhere", b.Labels[0], blank)
			}
		}
		o.Statement = template
	}
}

// afterWrites wants to know by which method a read behind a write of the same batch goes: one that may be answered from
// older data would miss it.
func (r *reader) checkAfterWrites(s *odata.Set, blocks hcl.Blocks) {
	writes := false
	for act, o := range s.Operations {
		writes = writes || o != nil && odata.Act(act).Writes()
	}
	for _, b := range blocks {
		i := slices.Index(odata.Names[:], b.Labels[0])
		if i < 0 || odata.Act(i).Writes() || !writes || s.Operations[i] == nil || s.Operations[i].AfterWrite != s.Operations[i].Method {
			continue
		}
		if m := int(s.Operations[i].Method); m < len(r.methods) && (r.methods[m].Need == "any" || r.methods[m].Need == "bounded") {
			r.addError(b.DefRange, "operation %q of set %q needs after_write: its method may miss a write of the same batch (%q)",
				b.Labels[0], s.Name, r.methods[m].Name)
		}
	}
}

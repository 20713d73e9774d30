package operator

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
		HTTP: httpwire.Limits{Target: 4 << 10, Head: 16 << 10, Fields: 64, Body: 256 << 10}, Batch: 50, Abreast: 4,
		Repeats: Repeats{Kept: 5 * time.Minute, Bytes: 1 << 20, Open: 1000},
		Model:   &odata.Model{},
	}
	var at hcl.Range
	if o.Root, at = r.words(c, "root", "/"); !strings.HasPrefix(o.Root, "/") || !strings.HasSuffix(o.Root, "/") || strings.ContainsAny(o.Root, " ?#%") {
		r.wrong(at, "root is no path that begins and ends with a slash (%q)", o.Root)
	}
	if o.Model.Namespace, at = r.words(c, "namespace", "Service"); !identifier(strings.ReplaceAll(o.Model.Namespace, ".", "")) {
		r.wrong(at, "namespace is no name (%q)", o.Model.Namespace)
	}
	blocks := c.Blocks.ByType()
	r.once(blocks["repeats"])
	for _, b := range blocks["repeats"] {
		in := r.content(b.Body, []string{"sticky", "kept", "memory_kb", "open"})
		o.Repeats.Sticky = r.yes(in, "sticky", false)
		o.Repeats.Kept = r.span(in, "kept", o.Repeats.Kept, time.Second, 24*time.Hour)
		o.Repeats.Bytes = r.count(in, "memory_kb", o.Repeats.Bytes>>10, 1, 1<<20) << 10
		o.Repeats.Open = r.count(in, "open", o.Repeats.Open, 1, 1<<16)
	}
	if len(blocks["set"]) == 0 {
		r.wrong(b.DefRange, "front %q offers no set", b.Labels[1])
	}
	for _, b := range blocks["set"] {
		s := r.set(f, b)
		if o.Model.Set(s.Name) != nil {
			r.wrong(b.LabelRanges[0], "two sets have this name (%q)", s.Name)
		}
		for _, other := range o.Model.Sets {
			if other.Type == s.Type {
				r.wrong(b.DefRange, "two sets have entities of one type (%q)", s.Type)
			}
		}
		o.Model.Sets = append(o.Model.Sets, s)
	}
	return o
}

// identifier tells whether a name may stand in metadata and paths.
func identifier(name string) bool {
	for i, b := range []byte(name) {
		if b != '_' && (b|0x20 < 'a' || b|0x20 > 'z') && (i == 0 || b < '0' || b > '9') {
			return false
		}
	}
	return name != "" && len(name) <= 128
}

func (r *reader) set(f *File, b *hcl.Block) *odata.Set {
	s := &odata.Set{Name: b.Labels[0]}
	if !identifier(s.Name) {
		r.wrong(b.LabelRanges[0], "a set's name that cannot be (%q)", s.Name)
	}
	c := r.content(b.Body, []string{"type", "key", "etag", "page", "groups"}, hcl.BlockHeaderSchema{Type: "property", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "operation", LabelNames: []string{"name"}})
	if c == nil {
		return s
	}
	var at hcl.Range
	if s.Type, at = r.words(c, "type", strings.TrimSuffix(s.Name, "s")); !identifier(s.Type) {
		r.wrong(at, "type is no name (%q)", s.Type)
	}
	s.Page = r.count(c, "page", 100, 1, 10_000)
	s.Groups = r.groups(c)
	blocks := c.Blocks.ByType()
	for _, p := range blocks["property"] {
		r.property(s, p)
	}
	key, at := r.words(c, "key", "")
	if s.Key = s.Property(key); s.Key == nil {
		r.wrong(at, "key names no property of set %q (%q)", s.Name, key)
		s.Key = &odata.Property{Type: odata.String}
	} else if s.Key.Nullable {
		r.wrong(at, "the key may be null (%q)", key)
	}
	if name, at := r.words(c, "etag", ""); name != "" {
		if s.ETag = s.Property(name); s.ETag == nil {
			r.wrong(at, "etag names no property of set %q (%q)", s.Name, name)
		}
	}
	form := driver.Statements
	for i, g := range s.Groups {
		if i == 0 {
			form = f.Forms[g]
		} else if f.Forms[g] != form {
			r.wrong(c.Attributes["groups"].Expr.Range(), "groups of set %q speak two protocols", s.Name)
			break
		}
	}
	for _, o := range blocks["operation"] {
		r.operation(s, o, form)
	}
	if len(blocks["operation"]) == 0 {
		r.wrong(b.DefRange, "set %q has no operation", s.Name)
	}
	r.afterWrites(s, blocks["operation"])
	return s
}

func (r *reader) property(s *odata.Set, b *hcl.Block) {
	c := r.content(b.Body, []string{"type", "column", "nullable", "max_length"})
	p := &odata.Property{Name: b.Labels[0]}
	if !identifier(p.Name) || slices.Contains(odata.Blanks, p.Name) {
		r.wrong(b.LabelRanges[0], "a property's name that cannot be (%q)", p.Name)
	}
	if s.Property(p.Name) != nil {
		r.wrong(b.LabelRanges[0], "two properties of set %q have this name (%q)", s.Name, p.Name)
	}
	kind, at := r.words(c, "type", string(odata.String))
	if p.Type = odata.Type(kind); !slices.Contains(odata.Types, p.Type) {
		r.wrong(at, "type is none of %v (%q)", odata.Types, kind)
	}
	if p.Column, at = r.words(c, "column", p.Name); p.Column == "" || strings.ContainsRune(p.Column, 0) {
		r.wrong(at, "column is no name (%q)", p.Column)
	}
	p.Nullable = r.yes(c, "nullable", false)
	p.Length = r.count(c, "max_length", 0, 1, 1<<20)
	s.Properties = append(s.Properties, p)
}

func (r *reader) method(c *hcl.BodyContent, name string, writes bool) (driver.Method, Method, bool) {
	text, at := r.words(c, name, "")
	i := slices.IndexFunc(r.methods, func(m Method) bool { return m.Name == text })
	switch {
	case i < 0 && c.Attributes[name] == nil:
		r.wrong(at, "%s is missing", name)
	case i < 0:
		r.wrong(at, "%s is none of the settings (%q)", name, text)
	case writes != (r.methods[i].Need == "write"):
		r.wrong(at, "%s is for %s, not for this (%q)", name, map[bool]string{true: "reads", false: "writes"}[writes], text)
	default:
		return driver.Method(i), r.methods[i], true
	}
	return 0, Method{}, false
}

// wants tells which blanks an operation's statement cannot do without.
var wants = map[odata.Act][]string{
	odata.Read: {"key"}, odata.List: {"top", "skip", "order"}, odata.Update: {"key"}, odata.Replace: {"key", "body"},
	odata.Upsert: {"key", "body"}, odata.Delete: {"key"},
}

func (r *reader) operation(s *odata.Set, b *hcl.Block, form driver.Form) {
	c := r.content(b.Body, []string{"method", "after_write", "statement"})
	i := slices.Index(odata.Names[:], b.Labels[0])
	if i < 0 {
		r.wrong(b.LabelRanges[0], "an operation is one of %s (%q)", strings.Join(odata.Names[:], ", "), b.Labels[0])
		return
	}
	act := odata.Act(i)
	if s.Operations[act] != nil {
		r.wrong(b.LabelRanges[0], "set %q has this operation twice (%q)", s.Name, b.Labels[0])
	}
	o := &odata.Operation{}
	s.Operations[act] = o
	var m Method
	var ok bool
	if o.Method, m, ok = r.method(c, "method", act.Writes()); ok {
		o.Tokened, o.Repeats, o.Window, o.Soft, o.Most = m.Tokened, m.Idempotent, m.Window, m.Soft, m.Limit
	}
	o.AfterWrite = o.Method
	if c.Attributes["after_write"] != nil {
		if act.Writes() {
			r.wrong(c.Attributes["after_write"].NameRange, "after_write is for reads (%q)", b.Labels[0])
		} else if number, m, ok := r.method(c, "after_write", false); ok {
			o.AfterWrite = number
			if m.Need != "session" && m.Need != "fresh" {
				r.wrong(c.Attributes["after_write"].Expr.Range(), "after_write sees no write of its session (%q)", m.Name)
			}
		}
	}
	text, at := r.words(c, "statement", "")
	switch {
	case form == driver.Requests && text != "":
		r.wrong(at, "members of set %q speak odata and take no statement", s.Name)
	case form == driver.Statements && text == "":
		r.wrong(at, "statement is missing (%q)", b.Labels[0])
	case form == driver.Statements:
		template, err := odata.NewTemplate(text, s)
		if err != nil {
			r.wrong(at, "statement: %v", err)
			return
		}
		for _, blank := range wants[act] {
			if !template.Has(blank) {
				r.wrong(at, "statement of %q leaves {%s} open nowhere", b.Labels[0], blank)
			}
		}
		o.Statement = template
	}
}

// afterWrites wants to know by which method a read behind a write of the same batch goes: one that may be answered from
// older data would miss it.
func (r *reader) afterWrites(s *odata.Set, blocks hcl.Blocks) {
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
			r.wrong(b.DefRange, "operation %q of set %q needs after_write: its method may miss a write of the same batch (%q)",
				b.Labels[0], s.Name, r.methods[m].Name)
		}
	}
}

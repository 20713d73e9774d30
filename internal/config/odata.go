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

// maxIdentifier is the maximum length of an identifier in bytes, from the OData standard.
const maxIdentifier = 128

// OData configures the service and the limits of a listener for OData.
type OData struct {
	Root          string // path of the service root
	Model         *odata.Model
	HTTP          httpwire.Limits
	MaxBatch      int // maximum requests in one batch
	MaxConcurrent int // maximum requests of one batch processed concurrently
	Idempotency   IdempotencyCache
}

// IdempotencyCache configures the cache of answers to repeatable requests.
type IdempotencyCache struct {
	Sticky     bool // all repeats of a client arrive at this driver
	TTL        time.Duration
	MaxBytes   int
	MaxPending int // maximum requests without an answer yet
}

func defaultOData() *OData {
	return &OData{
		HTTP:          httpwire.Limits{Target: 4 << 10, Head: 16 << 10, Fields: 64, Body: 256 << 10},
		MaxBatch:      50,
		MaxConcurrent: 4,
		Idempotency:   IdempotencyCache{TTL: 5 * time.Minute, MaxBytes: 1 << 20, MaxPending: 1000},
		Model:         &odata.Model{},
	}
}

// odata reads the service that a listener for OData offers. Its limits are read by limits.
func (r *reader) odata(f *File, c *hcl.BodyContent, b *hcl.Block) *OData {
	o := defaultOData()
	var location hcl.Range
	if o.Root, location = r.textOf(c, "root", "/"); !strings.HasPrefix(o.Root, "/") || !strings.HasSuffix(o.Root, "/") || strings.ContainsAny(o.Root, " ?#%") {
		r.addError(location, "root must begin and end with a slash and contain no space, ?, # or %%, got %q", o.Root)
	}
	if o.Model.Namespace, location = r.textOf(c, "namespace", "Service"); !isIdentifier(strings.ReplaceAll(o.Model.Namespace, ".", "")) {
		r.addError(location, "namespace must be an OData identifier, which may contain dots, got %q", o.Model.Namespace)
	}
	blocks := c.Blocks.ByType()
	r.atMostOne(blocks["repeats"])
	for _, repeats := range blocks["repeats"] {
		r.idempotency(&o.Idempotency, repeats)
	}
	if len(blocks["set"]) == 0 {
		r.addError(b.DefRange, "front %q has no set", b.Labels[1])
	}
	for _, set := range blocks["set"] {
		r.addSet(o.Model, r.entitySet(f, set), set)
	}
	return o
}

func (r *reader) idempotency(cache *IdempotencyCache, b *hcl.Block) {
	c := r.content(b.Body, []string{"sticky", "kept", "memory_kb", "open"})
	cache.Sticky = r.boolOf(c, "sticky", false)
	cache.TTL = r.durationOf(c, "kept", cache.TTL, time.Second, 24*time.Hour)
	cache.MaxBytes = r.intOf(c, "memory_kb", cache.MaxBytes>>10, 1, 1<<20) << 10
	cache.MaxPending = r.intOf(c, "open", cache.MaxPending, 1, 1<<16)
}

func (r *reader) addSet(model *odata.Model, s *odata.Set, b *hcl.Block) {
	if model.Set(s.Name) != nil {
		r.addError(b.LabelRanges[0], "duplicate set name %q", s.Name)
	}
	for _, other := range model.Sets {
		if other.Type == s.Type {
			r.addError(b.DefRange, "two sets have the entity type %q", s.Type)
		}
	}
	model.Sets = append(model.Sets, s)
}

// isIdentifier reports whether a name is valid in metadata and paths.
func isIdentifier(name string) bool {
	for i, b := range []byte(name) {
		if b != '_' && (b|0x20 < 'a' || b|0x20 > 'z') && (i == 0 || b < '0' || b > '9') {
			return false
		}
	}
	return name != "" && len(name) <= maxIdentifier
}

// entitySet reads an entity set.
func (r *reader) entitySet(f *File, b *hcl.Block) *odata.Set {
	s := &odata.Set{Name: b.Labels[0]}
	if !isIdentifier(s.Name) {
		r.addError(b.LabelRanges[0], "set name must be an OData identifier, got %q", s.Name)
	}
	c := r.content(b.Body, []string{"type", "key", "etag", "page", "groups"}, hcl.BlockHeaderSchema{Type: "property", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "operation", LabelNames: []string{"name"}})
	if c == nil {
		return s
	}
	var location hcl.Range
	if s.Type, location = r.textOf(c, "type", strings.TrimSuffix(s.Name, "s")); !isIdentifier(s.Type) {
		r.addError(location, "type must be an OData identifier, got %q", s.Type)
	}
	s.PageSize = r.intOf(c, "page", 100, 1, 10_000)
	s.Groups = r.groups(c)
	blocks := c.Blocks.ByType()
	for _, p := range blocks["property"] {
		r.property(s, p)
	}
	r.keyAndETag(s, c)
	form := r.formOf(f, s, c)
	for _, o := range blocks["operation"] {
		r.operation(s, o, form)
	}
	if len(blocks["operation"]) == 0 {
		r.addError(b.DefRange, "set %q has no operation", s.Name)
	}
	r.checkAfterWrites(s, blocks["operation"])
	return s
}

func (r *reader) keyAndETag(s *odata.Set, c *hcl.BodyContent) {
	key, location := r.textOf(c, "key", "")
	if s.Key = s.Property(key); s.Key == nil {
		r.addError(location, "key must be a property of set %q, got %q", s.Name, key)
		s.Key = &odata.Property{Type: odata.String}
	} else if s.Key.Nullable {
		r.addError(location, "key property %q must not be nullable", key)
	}
	if name, location := r.textOf(c, "etag", ""); name != "" {
		if s.ETag = s.Property(name); s.ETag == nil {
			r.addError(location, "etag must be a property of set %q, got %q", s.Name, name)
		}
	}
}

// formOf returns the protocol of the members of a set's groups. All groups of a set must have the same protocol.
func (r *reader) formOf(f *File, s *odata.Set, c *hcl.BodyContent) driver.Form {
	if len(s.Groups) == 0 {
		return driver.Statements
	}
	form := f.Forms[s.Groups[0]]
	for _, g := range s.Groups[1:] {
		if f.Forms[g] != form {
			r.addError(c.Attributes["groups"].Expr.Range(), "groups of set %q must not use two protocols", s.Name)
			break
		}
	}
	return form
}

func (r *reader) property(s *odata.Set, b *hcl.Block) {
	c := r.content(b.Body, []string{"type", "column", "nullable", "max_length"})
	p := &odata.Property{Name: b.Labels[0]}
	if !isIdentifier(p.Name) || slices.Contains(odata.Placeholders, p.Name) {
		r.addError(b.LabelRanges[0], "property name must be an OData identifier and not a reserved placeholder, got %q", p.Name)
	}
	if s.Property(p.Name) != nil {
		r.addError(b.LabelRanges[0], "set %q has two properties named %q", s.Name, p.Name)
	}
	typeName, location := r.textOf(c, "type", string(odata.String))
	if p.Type = odata.Type(typeName); !slices.Contains(odata.Types, p.Type) {
		r.addError(location, "type must be one of %v, got %q", odata.Types, typeName)
	}
	if p.Column, location = r.textOf(c, "column", p.Name); p.Column == "" || strings.ContainsRune(p.Column, 0) {
		r.addError(location, "column must not be empty or contain a null character, got %q", p.Column)
	}
	p.Nullable = r.boolOf(c, "nullable", false)
	p.MaxLength = r.intOf(c, "max_length", 0, 1, 1<<20)
	s.Properties = append(s.Properties, p)
}

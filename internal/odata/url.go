package odata

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// Kind is the kind of resource that a path addresses.
type Kind uint8

const (
	// ServiceDocument is the root, which lists the entity sets.
	ServiceDocument Kind = iota
	// Metadata is the $metadata document.
	Metadata
	// BatchResource is the $batch resource.
	BatchResource
	// Collection is an entity set.
	Collection
	// CountResource is the $count of an entity set.
	CountResource
	// Entity is one entity by its key.
	Entity
	// PropertyResource is one property of an entity.
	PropertyResource
	ValueResource // plain text of a property
)

// Order is one item of $orderby.
type Order struct {
	Property   *Property
	Descending bool
}

// Resource is the resource that a target addresses, with the query options.
type Resource struct {
	Kind     Kind
	Set      *Set
	Key      Value
	KeyText  string // the key as written in a path, not percent-encoded
	Property *Property
	Filter   *Node
	Select   []*Property
	Order    []Order
	Top      int // -1: not given
	Skip     int
	Count    bool
	Format   string
}

// decode decodes percent encoding. ok is false unless the result is valid UTF-8 without zero bytes.
func decode(text string) (string, bool) {
	if strings.IndexByte(text, '%') >= 0 {
		var b strings.Builder
		for i := 0; i < len(text); i++ {
			if text[i] != '%' {
				b.WriteByte(text[i])
				continue
			}
			if i+2 >= len(text) {
				return "", false
			}
			n, err := strconv.ParseUint(text[i+1:i+3], 16, 8)
			if err != nil {
				return "", false
			}
			b.WriteByte(byte(n))
			i += 2
		}
		text = b.String()
	}
	return text, utf8.ValidString(text) && strings.IndexByte(text, 0) < 0
}

// Encode percent-encodes a key for use in a path.
func Encode(text string) string {
	var b strings.Builder
	for i := range len(text) {
		if c := text[i]; c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z' || strings.IndexByte("-._~'(),=:@!$*;", c) >= 0 {
			b.WriteByte(c)
		} else {
			b.WriteString("%" + string("0123456789ABCDEF"[c>>4]) + string("0123456789ABCDEF"[c&15]))
		}
	}
	return b.String()
}

// KeyOf returns a value in the syntax of a key in a path, without percent encoding.
func KeyOf(v Value) string {
	if v.Type == String {
		return "'" + strings.ReplaceAll(v.Text, "'", "''") + "'"
	}
	return v.Text
}

// Parse parses a target, which starts with root or is relative to it.
func (m *Model) Parse(target, root string) (r Resource, err *Error) {
	r.Top = -1
	if _, rest, found := strings.Cut(target, "://"); found && !strings.HasPrefix(target, "/") {
		slash := strings.IndexByte(rest, '/')
		if slash < 0 {
			return r, badRequest("", "a target without a path")
		}
		target = rest[slash:]
	}
	if strings.HasPrefix(target, "/") {
		path, _, _ := strings.Cut(target, "?")
		if path+"/" == root {
			target = root + target[len(path):]
		}
		if !strings.HasPrefix(target, root) {
			return r, &Error{404, "NotFound", "nothing is served here", ""}
		}
		target = target[len(root):]
	}
	path, query, _ := strings.Cut(target, "?")
	if err := m.parsePath(&r, path); err != nil {
		return r, err
	}
	return r, r.parseOptions(query)
}

// parsePath parses the path of a target into r.
func (m *Model) parsePath(r *Resource, path string) *Error {
	segments := strings.Split(path, "/")
	if n := len(segments); n > 1 && segments[n-1] == "" {
		segments = segments[:n-1]
	}
	for i, s := range segments {
		text, ok := decode(s)
		if !ok {
			return badRequest("", "a path that cannot be read")
		}
		segments[i] = text
	}
	first := segments[0]
	switch first {
	case "", "$metadata", "$batch":
		if len(segments) > 1 {
			return &Error{404, "NotFound", "nothing is served here", ""}
		}
		r.Kind = map[string]Kind{"": ServiceDocument, "$metadata": Metadata, "$batch": BatchResource}[first]
		return nil
	case "$entity", "$all", "$crossjoin":
		return NotOffered("", first)
	}
	name, key, keyed := strings.Cut(first, "(")
	if r.Set = m.Set(name); r.Set == nil {
		return &Error{404, "NotFound", "there is no entity set " + name, ""}
	}
	r.Kind = Collection
	if keyed {
		key, ended := strings.CutSuffix(key, ")")
		if !ended {
			return badRequest("", "a key without its end")
		}
		if key != "" { // empty parentheses address the whole collection
			if err := r.parseKey(key); err != nil {
				return err
			}
		}
	}
	return r.parseSubpath(segments[1:])
}

func (r *Resource) parseKey(text string) *Error {
	if name, value, found := strings.Cut(text, "="); found && name == r.Set.Key.Name {
		text = value
	}
	v, ok := literal(text)
	if !ok || v.Type == null || !v.assignableTo(r.Set.Key.Type) {
		return badRequest("", "the key of %s is no %s", r.Set.Name, r.Set.Key.Type)
	}
	r.Kind, r.Key, r.KeyText = Entity, v, KeyOf(v)
	return nil
}

// parseSubpath parses the path segments after the entity set.
func (r *Resource) parseSubpath(segments []string) *Error {
	if len(segments) == 0 {
		return nil
	}
	switch first := segments[0]; {
	case first == "$count" && r.Kind == Collection && len(segments) == 1:
		r.Kind = CountResource
		return nil
	case strings.HasPrefix(first, "$"):
		return NotOffered("", first+" behind "+r.Set.Name)
	case r.Kind == Collection:
		return NotOffered("", "a path behind the collection "+r.Set.Name)
	}
	if r.Property = r.Set.Property(segments[0]); r.Property == nil {
		return &Error{404, "NotFound", r.Set.Name + " has no property " + segments[0], ""}
	}
	switch {
	case len(segments) == 1:
		r.Kind = PropertyResource
	case len(segments) == 2 && segments[1] == "$value":
		r.Kind = ValueResource
	default:
		return NotOffered("", "a path behind the property "+segments[0])
	}
	return nil
}

func (r *Resource) parseOptions(query string) *Error {
	seen := make(map[string]bool)
	for part := range strings.SplitSeq(query, "&") {
		if part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		name, nameOK := decode(name)
		value, valueOK := decode(value)
		if !nameOK || !valueOK {
			return badRequest("", "an option that cannot be read")
		}
		system := strings.TrimPrefix(name, "$")
		switch system { // OData 4.01 allows omitting the $
		case "filter", "select", "orderby", "top", "skip", "count", "format", "expand", "search", "apply", "compute",
			"levels", "skiptoken", "deltatoken", "index", "id", "schemaversion":
			name = "$" + system
		default:
			if strings.HasPrefix(name, "$") {
				return badRequest(name, "there is no option %s", name)
			}
			continue // custom options are ignored
		}
		if seen[name] {
			return badRequest(name, "%s is given twice", name)
		}
		seen[name] = true
		if err := r.parseOption(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (r *Resource) parseOption(name, value string) (err *Error) {
	isCollection := r.Kind == Collection
	allowed := isCollection || name == "$format" || name == "$select" && r.Kind == Entity ||
		(name == "$filter") && r.Kind == CountResource
	switch name {
	case "$filter", "$select", "$orderby", "$top", "$skip", "$count", "$format":
		if !allowed {
			return badRequest(name, "%s does not fit this resource", name)
		}
	}
	switch name {
	case "$filter":
		r.Filter, err = ParseFilter(value, r.Set)
	case "$select":
		err = r.parseSelect(value)
	case "$orderby":
		err = r.parseOrderBy(value)
	case "$top":
		r.Top, err = parseCount(name, value)
	case "$skip":
		r.Skip, err = parseCount(name, value)
	case "$count":
		if value != "true" && value != "false" {
			return badRequest(name, "$count is true or false")
		}
		r.Count = value == "true"
	case "$format":
		r.Format = value
	default:
		return NotOffered(name, name)
	}
	return err
}

const maxSkip = 1 << 30

func parseCount(name, value string) (int, *Error) {
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil || n > maxSkip {
		return 0, badRequest(name, "%s is no count", name)
	}
	return int(n), nil
}

func (r *Resource) parseSelect(value string) *Error {
	for item := range strings.SplitSeq(value, ",") {
		item = strings.TrimSpace(item)
		if item == "*" {
			r.Select = r.Set.Properties
			return nil
		}
		if strings.ContainsAny(item, "/(") {
			return NotOffered("$select", "a path in $select")
		}
		p := r.Set.Property(item)
		if p == nil {
			return badRequest("$select", "%s has no property %s", r.Set.Name, item)
		}
		r.Select = append(r.Select, p)
	}
	return nil
}

func (r *Resource) parseOrderBy(value string) *Error {
	for item := range strings.SplitSeq(value, ",") {
		words := strings.Fields(item)
		if len(words) == 0 || len(words) > 2 || len(words) == 2 && words[1] != "asc" && words[1] != "desc" {
			return badRequest("$orderby", "%q is no order", item)
		}
		if strings.ContainsAny(words[0], "/(") {
			return NotOffered("$orderby", "an expression in $orderby")
		}
		p := r.Set.Property(words[0])
		if p == nil {
			return badRequest("$orderby", "%s has no property %s", r.Set.Name, words[0])
		}
		r.Order = append(r.Order, Order{p, len(words) == 2 && words[1] == "desc"})
	}
	return nil
}

package odata

import (
	"bytes"
	"encoding/json"
	"strings"
)

// member is one name and value of an object, as it stands.
type member struct {
	name  string
	value json.RawMessage
}

// object reads the members of an object in their order; the values stay as they are.
func object(text []byte) (members []member, ok bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, false
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, false
		}
		var m member
		if m.name, ok = t.(string); !ok || d.Decode(&m.value) != nil {
			return nil, false
		}
		members = append(members, m)
	}
	_, err := d.Token()
	return members, err == nil && len(bytes.TrimSpace(text[d.InputOffset():])) == 0
}

func find(members []member, name string) json.RawMessage {
	for _, m := range members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// Body reads the entity that a request brings: the values of its properties by name. What the type does not have, or
// stands twice, is refused; control information is passed over. Where whole is true, what may not be null must be there.
func (s *Set) Body(text []byte, whole bool) (values map[string]Value, err *Error) {
	if !json.Valid(text) {
		return nil, bad("", "the body is no JSON")
	}
	members, ok := object(text)
	if !ok {
		return nil, bad("", "the body is no object")
	}
	values = make(map[string]Value)
	for _, m := range members {
		if strings.Contains(m.name, "@") {
			continue
		}
		p := s.Property(m.name)
		if p == nil {
			return nil, bad(m.name, "%s has no property %s", s.Name, m.name)
		}
		if _, twice := values[m.name]; twice {
			return nil, bad(m.name, "%s stands there twice", m.name)
		}
		if values[m.name], err = fromJSON(m.value, p); err != nil {
			return nil, err
		}
	}
	for _, p := range s.Properties {
		if _, there := values[p.Name]; whole && !there && !p.Nullable {
			return nil, bad(p.Name, "%s is missing", p.Name)
		}
	}
	return values, nil
}

// ETagOf returns the version tag of an entity, "" where it has none.
func (s *Set) ETagOf(entity []byte) string {
	if s.ETag == nil {
		return ""
	}
	members, _ := object(entity)
	value := find(members, s.ETag.Name)
	if value == nil {
		return ""
	}
	text := string(value)
	var plain string
	if json.Unmarshal(value, &plain) == nil {
		text = plain
	}
	return `W/"` + Encode(text) + `"`
}

// VersionOf undoes ETagOf.
func VersionOf(tag string) (version string, ok bool) {
	inner, found := strings.CutPrefix(tag, `W/"`)
	inner, ended := strings.CutSuffix(inner, `"`)
	if !found || !ended {
		return "", false
	}
	return decode(inner)
}

// KeyIn reads the key out of an entity.
func (s *Set) KeyIn(entity []byte) (v Value, ok bool) {
	members, fine := object(entity)
	value := find(members, s.Key.Name)
	if !fine || value == nil {
		return v, false
	}
	v, err := fromJSON(value, s.Key)
	return v, err == nil && v.Type != null
}

// selected leaves of an entity only what was asked for.
func selected(entity []byte, wanted []*Property) ([]byte, bool) {
	members, ok := object(entity)
	if !ok {
		return nil, false
	}
	out := []byte{'{'}
	for _, m := range members {
		keep := strings.Contains(m.name, "@")
		for _, p := range wanted {
			keep = keep || p.Name == m.name
		}
		if keep {
			if len(out) > 1 {
				out = append(out, ',')
			}
			name, _ := json.Marshal(m.name)
			out = append(append(append(out, name...), ':'), m.value...)
		}
	}
	return append(out, '}'), true
}

func appendText(out []byte, name, value string) []byte {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetEscapeHTML(false) // targets stay readable
	e.Encode(value)
	return append(append(append(append(out, '"'), name...), '"', ':'), bytes.TrimSuffix(text.Bytes(), []byte("\n"))...)
}

// context names what a body is, by the metadata.
func (r *Resource) context(root string) string {
	text := root + "$metadata#" + r.Set.Name
	if len(r.Select) > 0 {
		names := make([]string, len(r.Select))
		for i, p := range r.Select {
			names[i] = p.Name
		}
		text += "(" + strings.Join(names, ",") + ")"
	}
	return text
}

// Nothing tells whether a value stands for no entity.
func Nothing(value []byte) bool {
	value = bytes.TrimSpace(value)
	return len(value) == 0 || string(value) == "null"
}

// EntityBody wraps an entity; ok is false where the value is none.
func (r *Resource) EntityBody(value []byte, root string, minimal bool) (body []byte, ok bool) {
	value = bytes.TrimSpace(value)
	if !json.Valid(value) || value[0] != '{' {
		return nil, false
	}
	if len(r.Select) > 0 {
		if value, ok = selected(value, r.Select); !ok {
			return nil, false
		}
	}
	out := []byte{'{'}
	if minimal {
		out = append(appendText(out, "@odata.context", r.context(root)+"/$entity"), ',')
	}
	if tag := r.Set.ETagOf(value); tag != "" && minimal {
		out = append(appendText(out, "@odata.etag", tag), ',')
	}
	rest := bytes.TrimLeft(value[1:], " \t\r\n")
	if rest[0] == '}' && out[len(out)-1] == ',' {
		out = out[:len(out)-1]
	}
	return append(out, rest...), true
}

// PropertyBody wraps one property of an entity; bare gives its plain text. A null value gives no body.
func (r *Resource) PropertyBody(value []byte, root string, minimal, bare bool) (body []byte, null, ok bool) {
	members, ok := object(value)
	if !ok {
		return nil, false, false
	}
	raw := find(members, r.Property.Name)
	if raw == nil || string(raw) == "null" {
		return nil, true, true
	}
	if bare {
		var text string
		if json.Unmarshal(raw, &text) == nil {
			return []byte(text), false, true
		}
		return raw, false, true
	}
	out := []byte{'{'}
	if minimal {
		out = append(appendText(out, "@odata.context", root+"$metadata#"+r.Set.Name+"("+Encode(r.KeyText)+")/"+r.Property.Name), ',')
	}
	out = append(append(out, `"value":`...), raw...)
	return append(out, '}'), false, true
}

// CollectionBody wraps a collection: an array, or where it was counted an object with count and value. It asks for one
// item more than a page, by which it tells whether there is a next one.
func (r *Resource) CollectionBody(value []byte, root string, limit int, minimal bool, next string) (body []byte, ok bool) {
	value = bytes.TrimSpace(value)
	count := json.RawMessage(nil)
	if Nothing(value) {
		value = []byte("[]")
	}
	if value[0] == '{' {
		members, fine := object(value)
		if !fine {
			return nil, false
		}
		count, value = find(members, "count"), find(members, "value")
		if n, isNumber := literal(string(count)); !isNumber || n.Type != Int32 && n.Type != Int64 {
			return nil, false
		}
	}
	if r.Count != (count != nil) {
		return nil, false
	}
	var items []json.RawMessage
	if json.Unmarshal(value, &items) != nil {
		return nil, false
	}
	more := len(items) > limit
	if more {
		items = items[:limit]
	}
	out := []byte{'{'}
	if minimal {
		out = append(appendText(out, "@odata.context", r.context(root)), ',')
	}
	if r.Count {
		out = append(append(append(out, `"@odata.count":`...), count...), ',')
	}
	out = append(out, `"value":[`...)
	for i, item := range items {
		if i > 0 {
			out = append(out, ',')
		}
		if item = bytes.TrimSpace(item); len(item) == 0 || item[0] != '{' {
			return nil, false
		}
		if len(r.Select) > 0 {
			if item, ok = selected(item, r.Select); !ok {
				return nil, false
			}
		}
		out = append(out, item...)
	}
	out = append(out, ']')
	if more && next != "" {
		out = appendText(append(out, ','), "@odata.nextLink", next)
	}
	return append(out, '}'), true
}

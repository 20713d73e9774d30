package odata

import (
	"bytes"
	"encoding/json"
	"strings"
)

// jsonMember is one name and its undecoded value in a JSON object.
type jsonMember struct {
	name  string
	value json.RawMessage
}

// parseObject returns the members of a JSON object in order. The values are not decoded.
func parseObject(text []byte) (members []jsonMember, ok bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, false
	}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, false
		}
		var m jsonMember
		if m.name, ok = t.(string); !ok || d.Decode(&m.value) != nil {
			return nil, false
		}
		members = append(members, m)
	}
	_, err := d.Token()
	return members, err == nil && len(bytes.TrimSpace(text[d.InputOffset():])) == 0
}

func findValue(members []jsonMember, name string) json.RawMessage {
	for _, m := range members {
		if m.name == name {
			return m.value
		}
	}
	return nil
}

// Body parses the entity in a request's body and returns the values of its properties by name. Unknown and duplicate
// properties are rejected; control information is skipped. With requireAll, every non-nullable property must be present.
func (s *Set) Body(text []byte, requireAll bool) (values map[string]Value, err *Error) {
	if !json.Valid(text) {
		return nil, badRequest("", "the body is no JSON")
	}
	members, ok := parseObject(text)
	if !ok {
		return nil, badRequest("", "the body is no object")
	}
	values = make(map[string]Value)
	for _, m := range members {
		if strings.Contains(m.name, "@") {
			continue
		}
		p := s.Property(m.name)
		if p == nil {
			return nil, badRequest(m.name, "%s has no property %s", s.Name, m.name)
		}
		if _, duplicate := values[m.name]; duplicate {
			return nil, badRequest(m.name, "%s stands there twice", m.name)
		}
		if values[m.name], err = fromJSON(m.value, p); err != nil {
			return nil, err
		}
	}
	for _, p := range s.Properties {
		if _, present := values[p.Name]; requireAll && !present && !p.Nullable {
			return nil, badRequest(p.Name, "%s is missing", p.Name)
		}
	}
	return values, nil
}

// ETagOf returns the entity tag of an entity, "" if it has none.
func (s *Set) ETagOf(entity []byte) string {
	if s.ETag == nil {
		return ""
	}
	members, _ := parseObject(entity)
	value := findValue(members, s.ETag.Name)
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

// VersionOf returns the version in an entity tag made by ETagOf.
func VersionOf(tag string) (version string, ok bool) {
	inner, found := strings.CutPrefix(tag, `W/"`)
	inner, ended := strings.CutSuffix(inner, `"`)
	if !found || !ended {
		return "", false
	}
	return decode(inner)
}

// KeyOfEntity returns the value of the entity's key property.
func (s *Set) KeyOfEntity(entity []byte) (v Value, ok bool) {
	members, isObject := parseObject(entity)
	value := findValue(members, s.Key.Name)
	if !isObject || value == nil {
		return v, false
	}
	v, err := fromJSON(value, s.Key)
	return v, err == nil && v.Type != null
}

// selectProperties returns the entity with only the wanted properties and its control information.
func selectProperties(entity []byte, wanted []*Property) ([]byte, bool) {
	members, ok := parseObject(entity)
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

// appendText appends a JSON string as the member of an object with the given name.
func appendText(out []byte, name, value string) []byte {
	var text bytes.Buffer
	e := json.NewEncoder(&text)
	e.SetEscapeHTML(false) // keeps & in URLs readable
	e.Encode(value)
	return append(append(append(append(out, '"'), name...), '"', ':'), bytes.TrimSuffix(text.Bytes(), []byte("\n"))...)
}

// context returns the context URL of a body.
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

// IsNoEntity reports whether a value from a member means that there is no entity: it is empty or null.
func IsNoEntity(value []byte) bool {
	value = bytes.TrimSpace(value)
	return len(value) == 0 || string(value) == "null"
}

// EntityBody builds the body for an entity. minimal adds the control information of odata.metadata=minimal. ok is
// false if the value is not a JSON object.
func (r *Resource) EntityBody(value []byte, root string, minimal bool) (body []byte, ok bool) {
	value = bytes.TrimSpace(value)
	if !json.Valid(value) || value[0] != '{' {
		return nil, false
	}
	if len(r.Select) > 0 {
		if value, ok = selectProperties(value, r.Select); !ok {
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

// PropertyBody builds the body for one property of an entity, or its plain text if bare is set. A null value has no body.
func (r *Resource) PropertyBody(value []byte, root string, minimal, bare bool) (body []byte, null, ok bool) {
	members, ok := parseObject(value)
	if !ok {
		return nil, false, false
	}
	raw := findValue(members, r.Property.Name)
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

// CollectionBody builds the body for a collection. The value is an array or, if a count was requested, an object with count
// and value. The statement requests limit+1 items: an extra item means that there is a next page.
func (r *Resource) CollectionBody(value []byte, root string, limit int, minimal bool, next string) (body []byte, ok bool) {
	value = bytes.TrimSpace(value)
	count := json.RawMessage(nil)
	if IsNoEntity(value) {
		value = []byte("[]")
	}
	if value[0] == '{' {
		members, isObject := parseObject(value)
		if !isObject {
			return nil, false
		}
		count, value = findValue(members, "count"), findValue(members, "value")
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
			if item, ok = selectProperties(item, r.Select); !ok {
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

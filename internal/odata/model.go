// Package odata parses and encodes OData 4.01 in JSON: paths, options, filters, batches, metadata and errors. It does no I/O
// and does not decide where RPCs are sent.
package odata

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
)

// Error is an error that is sent to the client in the standard's format.
type Error struct {
	Status int
	Code   string
	Text   string
	Target string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d %s: %s", e.Status, e.Code, e.Text) }

// Body returns the error as JSON.
func (e *Error) Body() []byte {
	body, _ := json.Marshal(map[string]any{"error": struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Target  string `json:"target,omitempty"`
	}{e.Code, e.Text, e.Target}})
	return body
}

func badRequest(target, format string, args ...any) *Error {
	return &Error{400, "BadRequest", fmt.Sprintf(format, args...), target}
}

// NotOffered returns the error for a feature that is not implemented.
func NotOffered(target, feature string) *Error {
	return &Error{501, "NotImplemented", feature + " is not offered", target}
}

// Type is a primitive type of a property.
type Type string

const (
	// String is UTF-8 text.
	String Type = "Edm.String"
	// Int32 is a signed 32-bit integer.
	Int32 Type = "Edm.Int32"
	// Int64 is a signed 64-bit integer.
	Int64 Type = "Edm.Int64"
	// Decimal is a decimal number of any precision.
	Decimal Type = "Edm.Decimal"
	// Double is a 64-bit floating point number.
	Double Type = "Edm.Double"
	// Boolean is true or false.
	Boolean Type = "Edm.Boolean"
	// GUID is a 128-bit identifier.
	GUID Type = "Edm.Guid"
	// Date is a calendar day.
	Date Type = "Edm.Date"
	// Instant is a point in time with its offset from UTC.
	Instant       Type = "Edm.DateTimeOffset"
	null          Type = ""
	dateOrInstant Type = "?" // argument of a function that accepts both
)

// Types lists the types that a property may have.
var Types = []Type{String, Int32, Int64, Decimal, Double, Boolean, GUID, Date, Instant}

// Property is a property of an entity, stored in one column.
type Property struct {
	Name, Column string
	Type         Type
	Nullable     bool
	MaxLength    int // maximum length of a string in characters, 0: unlimited
}

// OperationKind is a kind of operation on an entity set.
type OperationKind uint8

const (
	// Read returns one entity by its key.
	Read OperationKind = iota
	// List returns a page of a collection.
	List
	// Count returns the number of entities in a collection.
	Count
	// Create adds an entity (POST).
	Create
	Update  // PATCH of an existing entity
	Replace // PUT of an existing entity
	Upsert  // PATCH or PUT that creates the entity if it does not exist
	// Delete removes an entity.
	Delete
	// OperationKinds is the number of kinds of operations.
	OperationKinds
)

// OperationNames are the names of the operations in the operator's file.
var OperationNames = [OperationKinds]string{"read", "list", "count", "create", "update", "replace", "upsert", "delete"}

// Writes reports whether the operation modifies data.
func (k OperationKind) Writes() bool { return k >= Create }

// Operation configures how an operation on an entity set is run.
type Operation struct {
	Method                    driver.Method
	AfterWrite                driver.Method // method of a read after a write in the same batch
	Statement                 Template
	HasIdempotencyKey         bool
	Idempotent                bool          // safe to run twice
	Window                    time.Duration // period during which the group drops a repeat
	SoftDeadline, MaxDeadline time.Duration
}

// Set is an entity set.
type Set struct {
	Name, Type string
	Key        *Property
	Properties []*Property
	ETag       *Property // property with the version of an entity; nil: versions are unknown
	PageSize   int
	Groups     []driver.Group
	Operations [OperationKinds]*Operation
}

// Property returns the property with the name, nil if there is none.
func (s *Set) Property(name string) *Property {
	for _, p := range s.Properties {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Model holds the entity sets that a front serves.
type Model struct {
	Namespace string
	Sets      []*Set
}

// Set returns the entity set with the name, nil if there is none.
func (m *Model) Set(name string) *Set {
	for _, s := range m.Sets {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Service returns the service document.
func (m *Model) Service(root string) []byte {
	type entry struct {
		Name string `json:"name"`
		Kind string `json:"kind"`
		URL  string `json:"url"`
	}
	sets := []entry{}
	for _, s := range m.Sets {
		sets = append(sets, entry{s.Name, "EntitySet", s.Name})
	}
	body, _ := json.Marshal(struct {
		Context string  `json:"@odata.context"`
		Value   []entry `json:"value"`
	}{root + "$metadata", sets})
	return body
}

func escapeXML(text string) string {
	var b bytes.Buffer
	xml.EscapeText(&b, []byte(text))
	return b.String()
}

// XML returns the metadata document as CSDL XML.
func (m *Model) XML() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<?xml version="1.0" encoding="UTF-8"?>
<edmx:Edmx xmlns:edmx="http://docs.oasis-open.org/odata/ns/edmx" Version="4.01">
 <edmx:DataServices>
  <Schema xmlns="http://docs.oasis-open.org/odata/ns/edm" Namespace="%s">
`, escapeXML(m.Namespace))
	for _, s := range m.Sets {
		fmt.Fprintf(&b, "   <EntityType Name=\"%s\">\n    <Key><PropertyRef Name=\"%s\"/></Key>\n", escapeXML(s.Type), escapeXML(s.Key.Name))
		for _, p := range s.Properties {
			fmt.Fprintf(&b, "    <Property Name=\"%s\" Type=\"%s\" Nullable=\"%t\"", escapeXML(p.Name), p.Type, p.Nullable)
			if p.MaxLength > 0 {
				fmt.Fprintf(&b, " MaxLength=\"%d\"", p.MaxLength)
			}
			b.WriteString("/>\n")
		}
		b.WriteString("   </EntityType>\n")
	}
	b.WriteString("   <EntityContainer Name=\"Container\">\n")
	for _, s := range m.Sets {
		fmt.Fprintf(&b, "    <EntitySet Name=\"%s\" EntityType=\"%s.%s\"/>\n", escapeXML(s.Name), escapeXML(m.Namespace), escapeXML(s.Type))
	}
	b.WriteString("   </EntityContainer>\n  </Schema>\n </edmx:DataServices>\n</edmx:Edmx>\n")
	return b.Bytes()
}

// JSON returns the metadata document as CSDL JSON.
func (m *Model) JSON() []byte {
	types, container := map[string]any{}, map[string]any{"$Kind": "EntityContainer"}
	for _, s := range m.Sets {
		entity := map[string]any{"$Kind": "EntityType", "$Key": []string{s.Key.Name}}
		for _, p := range s.Properties {
			property := map[string]any{}
			if p.Type != String {
				property["$Type"] = p.Type
			}
			if p.Nullable {
				property["$Nullable"] = true
			}
			if p.MaxLength > 0 {
				property["$MaxLength"] = p.MaxLength
			}
			entity[p.Name] = property
		}
		types[s.Type] = entity
		container[s.Name] = map[string]any{"$Collection": true, "$Type": m.Namespace + "." + s.Type}
	}
	types["Container"] = container
	body, _ := json.Marshal(map[string]any{"$Version": "4.01", "$EntityContainer": m.Namespace + ".Container", m.Namespace: types})
	return body
}

// Value is a literal with its type.
type Value struct {
	Type Type
	Text string // without quotes
}

// assignableTo reports whether the literal may be used where type t is required.
func (v Value) assignableTo(t Type) bool {
	switch {
	case v.Type == t, v.Type == null, t == dateOrInstant:
		return true
	case v.Type == Int32:
		return t == Int64 || t == Decimal || t == Double
	case v.Type == Int64:
		return t == Decimal || t == Double
	case v.Type == Decimal:
		return t == Double
	}
	return false
}

func numeric(t Type) bool { return t == Int32 || t == Int64 || t == Decimal || t == Double }

// literal parses text as exactly one literal.
func literal(text string) (v Value, ok bool) {
	switch {
	case text == "null":
		return Value{null, ""}, true
	case text == "true" || text == "false":
		return Value{Boolean, text}, true
	case len(text) >= 2 && text[0] == '\'' && text[len(text)-1] == '\'':
		inner := text[1 : len(text)-1]
		plain := strings.ReplaceAll(inner, "''", "")
		if strings.Contains(plain, "'") || strings.ContainsRune(inner, 0) {
			return v, false
		}
		return Value{String, strings.ReplaceAll(inner, "''", "'")}, true
	}
	return bareLiteral(text)
}

// bareLiteral parses a literal that is written without quotes in a URL.
func bareLiteral(text string) (v Value, ok bool) {
	if n, err := strconv.ParseInt(text, 10, 64); err == nil && text[0] != '+' {
		if n == int64(int32(n)) {
			return Value{Int32, text}, true
		}
		return Value{Int64, text}, true
	}
	if isGUID(text) {
		return Value{GUID, text}, true
	}
	if _, err := time.Parse("2006-01-02", text); err == nil {
		return Value{Date, text}, true
	}
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return Value{Instant, t.Format(time.RFC3339Nano)}, true
	}
	if f, err := strconv.ParseFloat(text, 64); err == nil && isDecimal(text) {
		if strings.ContainsAny(text, "eE") {
			return Value{Double, strconv.FormatFloat(f, 'g', -1, 64)}, true
		}
		return Value{Decimal, text}, true
	}
	return v, false
}

func isGUID(text string) bool {
	if len(text) != 36 {
		return false
	}
	for i := range len(text) {
		b := text[i]
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if b != '-' {
				return false
			}
		} else if (b < '0' || b > '9') && (b|0x20 < 'a' || b|0x20 > 'f') {
			return false
		}
	}
	return true
}

func isDecimal(text string) bool {
	for i := range len(text) {
		if b := text[i]; (b < '0' || b > '9') && !strings.ContainsRune(".-eE", rune(b)) && !(b == '+' && i > 0) {
			return false
		}
	}
	return text[0] != '.' && text[0] != 'e' && text[0] != 'E'
}

// fromJSON parses the value of a property in a body.
func fromJSON(raw json.RawMessage, p *Property) (v Value, err *Error) {
	text := string(bytes.TrimSpace(raw))
	if text == "null" {
		if !p.Nullable {
			return v, badRequest(p.Name, "%s may not be null", p.Name)
		}
		return Value{null, ""}, nil
	}
	if text[0] == '"' {
		var s string
		if json.Unmarshal(raw, &s) != nil || strings.ContainsRune(s, 0) {
			return v, badRequest(p.Name, "%s holds a text that cannot be", p.Name)
		}
		if p.Type == String {
			if p.MaxLength > 0 && len([]rune(s)) > p.MaxLength {
				return v, badRequest(p.Name, "%s is longer than %d", p.Name, p.MaxLength)
			}
			return Value{String, s}, nil
		}
		if s == "" {
			return v, badRequest(p.Name, "%s is no %s", p.Name, p.Type)
		}
		if v, ok := bareLiteral(s); ok && v.assignableTo(p.Type) && !numeric(v.Type) {
			return v, nil
		}
	} else if v, ok := literal(text); ok && v.Type != String && v.assignableTo(p.Type) {
		return v, nil
	}
	return v, badRequest(p.Name, "%s is no %s", p.Name, p.Type)
}

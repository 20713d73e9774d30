package odata

import (
	"fmt"
	"strconv"
	"strings"
)

// AppendText appends text as an SQL string literal. Quotes are doubled; backslashes need no escape with
// standard_conforming_strings. The text must not contain a zero byte.
func AppendText(out []byte, text string) []byte {
	out = append(out, '\'')
	for i := range len(text) {
		if text[i] == '\'' {
			out = append(out, '\'')
		}
		out = append(out, text[i])
	}
	return append(out, '\'')
}

// AppendName appends a name as a quoted identifier.
func AppendName(out []byte, name string) []byte {
	out = append(out, '"')
	for i := range len(name) {
		if name[i] == '"' {
			out = append(out, '"')
		}
		out = append(out, name[i])
	}
	return append(out, '"')
}

// appendValue appends an SQL literal of the value's type. Only values parsed as numbers, booleans or null are written
// without quotes.
func appendValue(out []byte, v Value) []byte {
	switch v.Type {
	case null:
		return append(out, "NULL"...)
	case Boolean, Int32, Int64, Decimal, Double:
		return append(out, v.Text...)
	case GUID:
		return append(AppendText(out, v.Text), "::uuid"...)
	case Date:
		return append(AppendText(out, v.Text), "::date"...)
	case Instant:
		return append(AppendText(out, v.Text), "::timestamptz"...)
	}
	return AppendText(out, v.Text)
}

// Placeholders are the names that a statement may use in braces besides the properties of its set.
var Placeholders = []string{"key", "body", "where", "order", "top", "skip", "match", "counted"}

// segment is a piece of a statement that ends with a placeholder.
type segment struct {
	text     string // text before the placeholder
	name     string // from Placeholders, or "" for the text after the last one
	property *Property
}

// Template is a statement with placeholders in braces: those in Placeholders and the names of the set's properties.
type Template []segment

// NewTemplate parses a statement. A property is replaced by its value in the body, or by NULL if the body has none.
func NewTemplate(text string, s *Set) (t Template, err error) {
	for rest := text; ; {
		open := strings.IndexAny(rest, "{}")
		if open < 0 {
			return append(t, segment{text: rest}), nil
		}
		if rest[open] == '}' {
			return nil, fmt.Errorf("closing brace without an opening brace")
		}
		end := strings.IndexByte(rest[open:], '}')
		if end < 0 {
			return nil, fmt.Errorf("opening brace without a closing brace")
		}
		seg := segment{text: rest[:open], name: rest[open+1 : open+end]}
		known := false
		for _, name := range Placeholders {
			known = known || seg.name == name
		}
		if !known {
			if seg.property = s.Property(seg.name); seg.property == nil {
				return nil, fmt.Errorf("no blank or property %q", seg.name)
			}
		}
		t = append(t, seg)
		rest = rest[open+end+1:]
	}
}

// Has reports whether the statement contains the placeholder.
func (t Template) Has(name string) bool {
	for _, seg := range t {
		if seg.name == name {
			return true
		}
	}
	return false
}

// Arguments holds the values of a statement's placeholders.
type Arguments struct {
	Key    Value
	Body   []byte
	Values map[string]Value // by property name
	Filter *Node
	Order  []Order
	Top    int
	Skip   int
	Match  string // version that the entity must have
	Count  bool   // the total number of items is requested too
	Set    *Set
}

// Append appends the statement with its placeholders replaced.
func (t Template) Append(out []byte, arguments *Arguments) []byte {
	for _, seg := range t {
		out = append(out, seg.text...)
		switch {
		case seg.property != nil:
			out = appendValue(out, arguments.Values[seg.name])
		case seg.name == "key":
			out = appendValue(out, arguments.Key)
		case seg.name == "body":
			out = AppendText(out, string(arguments.Body))
		case seg.name == "where":
			if arguments.Filter == nil {
				out = append(out, "TRUE"...)
			} else {
				out = arguments.Filter.append(out)
			}
		case seg.name == "order":
			out = appendOrder(out, arguments)
		case seg.name == "top":
			out = strconv.AppendInt(out, int64(arguments.Top), 10)
		case seg.name == "skip":
			out = strconv.AppendInt(out, int64(arguments.Skip), 10)
		case seg.name == "counted":
			out = append(out, strings.ToUpper(strconv.FormatBool(arguments.Count))...)
		case seg.name == "match":
			out = AppendText(out, arguments.Match)
		}
	}
	return out
}

// appendOrder appends the sort columns. The key is the last one, so that the order is total and pages neither skip nor repeat
// entities.
func appendOrder(out []byte, arguments *Arguments) []byte {
	byKey := false
	for _, o := range arguments.Order {
		out = AppendName(out, o.Property.Column)
		if o.Descending {
			out = append(out, " DESC"...)
		}
		out = append(out, ", "...)
		byKey = byKey || o.Property == arguments.Set.Key
	}
	if byKey {
		return out[:len(out)-2]
	}
	return AppendName(out, arguments.Set.Key.Column)
}

package odata

import (
	"fmt"
	"strconv"
	"strings"
)

// AppendText writes a text as a literal of SQL in which nothing can end it early: quotes are doubled, and backslashes
// mean themselves (standard_conforming_strings). It must hold no zero byte.
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

// AppendName writes a name as a quoted identifier.
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

// appendValue writes a literal of its type. Only what was read as a number, truth value or null stands bare.
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

// Blanks are what a statement may leave open.
var Blanks = []string{"key", "body", "where", "order", "top", "skip", "match", "counted"}

type blank struct {
	before string // text in front of it
	name   string // of Blanks, or "" at the end
	column *Property
}

// Template is a statement with blanks in braces: those of Blanks, and the set's properties by name.
type Template []blank

// NewTemplate reads a statement. A property is its value in the body, or NULL where it is missing there.
func NewTemplate(text string, s *Set) (t Template, err error) {
	for rest := text; ; {
		open := strings.IndexAny(rest, "{}")
		if open < 0 {
			return append(t, blank{before: rest}), nil
		}
		if rest[open] == '}' {
			return nil, fmt.Errorf("a closing brace without its blank")
		}
		end := strings.IndexByte(rest[open:], '}')
		if end < 0 {
			return nil, fmt.Errorf("a blank without its end")
		}
		b := blank{before: rest[:open], name: rest[open+1 : open+end]}
		known := false
		for _, name := range Blanks {
			known = known || b.name == name
		}
		if !known {
			if b.column = s.Property(b.name); b.column == nil {
				return nil, fmt.Errorf("no blank or property %q", b.name)
			}
		}
		t = append(t, b)
		rest = rest[open+end+1:]
	}
}

// Has tells whether the statement leaves the blank open.
func (t Template) Has(name string) bool {
	for _, b := range t {
		if b.name == name {
			return true
		}
	}
	return false
}

// Fill is what stands in the blanks.
type Fill struct {
	Key    Value
	Body   []byte
	Values map[string]Value // by property
	Filter *Node
	Order  []Order
	Top    int
	Skip   int
	Match  string // the version that must be there
	Count  bool   // the number of all items is wanted too
	Set    *Set
}

// Append writes the statement.
func (t Template) Append(out []byte, f *Fill) []byte {
	for _, b := range t {
		out = append(out, b.before...)
		switch {
		case b.column != nil:
			out = appendValue(out, f.Values[b.name])
		case b.name == "key":
			out = appendValue(out, f.Key)
		case b.name == "body":
			out = AppendText(out, string(f.Body))
		case b.name == "where":
			if f.Filter == nil {
				out = append(out, "TRUE"...)
			} else {
				out = f.Filter.append(out)
			}
		case b.name == "order":
			out = appendOrder(out, f)
		case b.name == "top":
			out = strconv.AppendInt(out, int64(f.Top), 10)
		case b.name == "skip":
			out = strconv.AppendInt(out, int64(f.Skip), 10)
		case b.name == "counted":
			out = append(out, strings.ToUpper(strconv.FormatBool(f.Count))...)
		case b.name == "match":
			out = AppendText(out, f.Match)
		}
	}
	return out
}

// appendOrder ends with the key, so that pages neither miss nor repeat anything.
func appendOrder(out []byte, f *Fill) []byte {
	byKey := false
	for _, o := range f.Order {
		out = AppendName(out, o.Property.Column)
		if o.Down {
			out = append(out, " DESC"...)
		}
		out = append(out, ", "...)
		byKey = byKey || o.Property == f.Set.Key
	}
	if byKey {
		return out[:len(out)-2]
	}
	return AppendName(out, f.Set.Key.Column)
}

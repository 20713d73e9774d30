package odata

import (
	"strings"
)

// Node is a node of a filter's syntax tree: a property, a literal, or an operator or function with its arguments.
type Node struct {
	op       string // operator or function, "" for a property or literal
	property *Property
	value    Value
	args     []*Node
	typ      Type
}

const (
	maxDepth = 32  // nesting of a filter
	maxNodes = 256 // nodes of a filter's syntax tree
)

type parser struct {
	text      string
	pos       int // index in text of the next byte
	entitySet *Set
	nodes     int // number of nodes so far
}

// ParseFilter parses a $filter on the set. Features of the standard that are not implemented give a NotOffered error.
func ParseFilter(text string, set *Set) (*Node, *Error) {
	p := &parser{text: text, entitySet: set}
	n, err := p.parseOr(0)
	if err != nil {
		return nil, err
	}
	if p.skipSpace(); p.pos < len(p.text) {
		return nil, p.fault("nothing is understood from %q on", p.excerpt())
	}
	if n.typ != Boolean {
		return nil, p.fault("the filter is not true or false")
	}
	return n, nil
}

func (p *parser) fault(format string, args ...any) *Error {
	return badRequest("$filter", format, args...)
}

func (p *parser) excerpt() string {
	if len(p.text)-p.pos > 20 {
		return p.text[p.pos:p.pos+20] + "..."
	}
	return p.text[p.pos:]
}

func (p *parser) skipSpace() {
	for p.pos < len(p.text) && (p.text[p.pos] == ' ' || p.text[p.pos] == '\t') {
		p.pos++
	}
}

// acceptWord consumes the word if it is the next complete word of the input.
func (p *parser) acceptWord(word string) bool {
	p.skipSpace()
	rest := p.text[p.pos:]
	if !strings.HasPrefix(rest, word) || len(rest) > len(word) && isWordByte(rest[len(word)]) {
		return false
	}
	p.pos += len(word)
	return true
}

func (p *parser) acceptByte(b byte) bool {
	p.skipSpace()
	if p.pos < len(p.text) && p.text[p.pos] == b {
		p.pos++
		return true
	}
	return false
}

func isWordByte(b byte) bool {
	return b == '_' || b == '$' || b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z' || b >= 0x80
}

// countNode returns the node, or an error if the filter has more than maxNodes nodes.
func (p *parser) countNode(n *Node) (*Node, *Error) {
	if p.nodes++; p.nodes > maxNodes {
		return nil, p.fault("the filter is too long")
	}
	return n, nil
}

// parseBinary parses operands joined by the operator op.
func (p *parser) parseBinary(depth int, op string, operand func(int) (*Node, *Error)) (*Node, *Error) {
	left, err := operand(depth)
	for err == nil && p.acceptWord(op) {
		var right *Node
		if right, err = operand(depth); err != nil {
			break
		}
		if left.typ != Boolean || right.typ != Boolean {
			return nil, p.fault("%s joins what is not true or false", op)
		}
		left, err = p.countNode(&Node{op: op, args: []*Node{left, right}, typ: Boolean})
	}
	return left, err
}

func (p *parser) parseOr(depth int) (*Node, *Error) {
	if depth > maxDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	return p.parseBinary(depth, "or", p.parseAnd)
}

func (p *parser) parseAnd(depth int) (*Node, *Error) { return p.parseBinary(depth, "and", p.parseNot) }

func (p *parser) parseNot(depth int) (*Node, *Error) {
	if depth > maxDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	if !p.acceptWord("not") {
		return p.parseComparison(depth)
	}
	n, err := p.parseNot(depth + 1)
	if err != nil {
		return nil, err
	}
	if n.typ != Boolean {
		return nil, p.fault("not stands before what is not true or false")
	}
	return p.countNode(&Node{op: "not", args: []*Node{n}, typ: Boolean})
}

// comparisons maps the comparison operators to those of SQL.
var comparisons = map[string]string{"eq": " = ", "ne": " <> ", "gt": " > ", "ge": " >= ", "lt": " < ", "le": " <= "}

func (p *parser) parseComparison(depth int) (*Node, *Error) {
	left, err := p.parseOperand(depth)
	if err != nil {
		return nil, err
	}
	for op := range comparisons {
		if p.acceptWord(op) {
			right, err := p.parseOperand(depth)
			if err != nil {
				return nil, err
			}
			if !comparableTypes(left, right) {
				return nil, p.fault("%s compares %s with %s", op, typeName(left.typ), typeName(right.typ))
			}
			if (left.typ == null || right.typ == null) && op != "eq" && op != "ne" {
				return nil, p.fault("%s compares with null", op)
			}
			return p.countNode(&Node{op: op, args: []*Node{left, right}, typ: Boolean})
		}
	}
	if p.acceptWord("in") {
		return p.parseInList(left)
	}
	for _, op := range []string{"has", "add", "sub", "mul", "div", "divby", "mod"} {
		if p.acceptWord(op) {
			return nil, NotOffered("$filter", "the operator "+op)
		}
	}
	return left, nil
}

func typeName(t Type) string {
	if t == null {
		return "null"
	}
	return string(t)
}

func comparableTypes(a, b *Node) bool {
	return a.typ == b.typ || a.typ == null || b.typ == null || numeric(a.typ) && numeric(b.typ)
}

func (p *parser) parseInList(left *Node) (*Node, *Error) {
	if !p.acceptByte('(') {
		return nil, p.fault("in without its list")
	}
	n := &Node{op: "in", args: []*Node{left}, typ: Boolean}
	for {
		item, err := p.parseOperand(maxDepth)
		if err != nil {
			return nil, err
		}
		if item.op != "" || item.property != nil || !comparableTypes(left, item) {
			return nil, p.fault("in lists what is no %s", typeName(left.typ))
		}
		if n.args = append(n.args, item); p.acceptByte(')') {
			return p.countNode(n)
		}
		if !p.acceptByte(',') {
			return nil, p.fault("the list of in does not end")
		}
	}
}

// functions holds the types of the arguments and of the result of each supported function.
var functions = map[string]struct {
	args []Type
	typ  Type
}{
	"contains": {[]Type{String, String}, Boolean}, "startswith": {[]Type{String, String}, Boolean},
	"endswith": {[]Type{String, String}, Boolean}, "length": {[]Type{String}, Int32},
	"tolower": {[]Type{String}, String}, "toupper": {[]Type{String}, String}, "trim": {[]Type{String}, String},
	"concat": {[]Type{String, String}, String}, "indexof": {[]Type{String, String}, Int32},
	"year": {[]Type{dateOrInstant}, Int32}, "month": {[]Type{dateOrInstant}, Int32}, "day": {[]Type{dateOrInstant}, Int32},
}

func (p *parser) parseOperand(depth int) (*Node, *Error) {
	p.skipSpace()
	if p.pos == len(p.text) {
		return nil, p.fault("the filter ends too early")
	}
	if p.acceptByte('(') {
		n, err := p.parseOr(depth + 1)
		if err == nil && !p.acceptByte(')') {
			err = p.fault("a parenthesis without its end")
		}
		return n, err
	}
	from := p.pos
	if p.text[p.pos] == '\'' {
		for p.pos++; p.pos < len(p.text); p.pos++ {
			if p.text[p.pos] != '\'' {
				continue
			}
			if p.pos+1 < len(p.text) && p.text[p.pos+1] == '\'' {
				p.pos++
				continue
			}
			p.pos++
			v, ok := literal(p.text[from:p.pos])
			if !ok {
				return nil, p.fault("a text that cannot be")
			}
			return p.countNode(&Node{value: v, typ: v.Type})
		}
		return nil, p.fault("a text without its end")
	}
	for p.pos < len(p.text) && (isWordByte(p.text[p.pos]) || strings.IndexByte(".:-+", p.text[p.pos]) >= 0) {
		p.pos++
	}
	word := p.text[from:p.pos]
	if word == "" {
		return nil, p.fault("nothing is understood from %q on", p.excerpt())
	}
	if p.pos < len(p.text) && p.text[p.pos] == '(' {
		p.pos++
		return p.parseCall(depth, word)
	}
	if property := p.entitySet.Property(word); property != nil {
		if p.pos < len(p.text) && p.text[p.pos] == '/' {
			return nil, NotOffered("$filter", "a path behind "+word)
		}
		return p.countNode(&Node{property: property, typ: property.Type})
	}
	if v, ok := literal(word); ok {
		return p.countNode(&Node{value: v, typ: v.Type})
	}
	return nil, p.fault("%s is no property of %s and no literal", word, p.entitySet.Name)
}

func (p *parser) parseCall(depth int, word string) (*Node, *Error) {
	f, ok := functions[word]
	if !ok {
		return nil, NotOffered("$filter", "the function "+word)
	}
	if depth >= maxDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	n := &Node{op: word, typ: f.typ}
	for i, want := range f.args {
		if i > 0 && !p.acceptByte(',') {
			return nil, p.fault("%s has too few arguments", word)
		}
		arg, err := p.parseOperand(depth + 1)
		if err != nil {
			return nil, err
		}
		if want == dateOrInstant && arg.typ != Date && arg.typ != Instant || want != dateOrInstant && arg.typ != want {
			return nil, p.fault("%s is given %s", word, typeName(arg.typ))
		}
		n.args = append(n.args, arg)
	}
	if !p.acceptByte(')') {
		return nil, p.fault("%s has too many arguments", word)
	}
	return p.countNode(n)
}

// append appends the filter as an SQL condition.
func (n *Node) append(out []byte) []byte {
	call := func(before string, args ...any) []byte {
		out = append(out, before...)
		for _, a := range args {
			switch a := a.(type) {
			case string:
				out = append(out, a...)
			case *Node:
				out = a.append(out)
			}
		}
		return out
	}
	switch n.op {
	case "":
		if n.property != nil {
			return AppendName(out, n.property.Column)
		}
		return appendValue(out, n.value)
	case "and", "or":
		return call("(", n.args[0], " "+strings.ToUpper(n.op)+" ", n.args[1], ")")
	case "not":
		return call("(NOT ", n.args[0], ")")
	case "in":
		call("(", n.args[0], " IN (")
		for i, item := range n.args[1:] {
			if i > 0 {
				out = append(out, ", "...)
			}
			out = item.append(out)
		}
		return append(out, "))"...)
	case "contains":
		return call("(strpos(", n.args[0], ", ", n.args[1], ") > 0)")
	case "startswith":
		return call("starts_with(", n.args[0], ", ", n.args[1], ")")
	case "endswith":
		return call("(right(", n.args[0], ", length(", n.args[1], ")) = ", n.args[1], ")")
	case "length":
		return call("length(", n.args[0], ")")
	case "tolower":
		return call("lower(", n.args[0], ")")
	case "toupper":
		return call("upper(", n.args[0], ")")
	case "trim":
		return call("btrim(", n.args[0], ")")
	case "concat":
		return call("(", n.args[0], " || ", n.args[1], ")")
	case "indexof":
		return call("(strpos(", n.args[0], ", ", n.args[1], ") - 1)")
	case "year", "month", "day":
		return call("CAST(extract("+n.op+" from ", n.args[0], ") AS int)")
	}
	left, right := n.args[0], n.args[1]
	if right.typ == null || left.typ == null {
		if left.typ == null {
			left, right = right, left
		}
		if n.op == "eq" {
			return call("(", left, " IS NULL)")
		}
		return call("(", left, " IS NOT NULL)")
	}
	if n.op == "ne" { // in OData, null ne any other value is true
		return call("(", left, " IS DISTINCT FROM ", right, ")")
	}
	return call("(", left, comparisons[n.op], right, ")")
}

// SQL returns the filter as an SQL condition.
func (n *Node) SQL() string { return string(n.append(nil)) }

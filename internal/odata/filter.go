package odata

import (
	"strings"
)

// Node is a part of a filter: a property, a literal, or an operator or function over others.
type Node struct {
	op       string // "" of a leaf
	property *Property
	value    Value
	args     []*Node
	typ      Type
}

const (
	mostDepth = 32
	mostNodes = 256
)

type parser struct {
	text  string
	at    int
	set   *Set
	nodes int
}

// ParseFilter reads a $filter over the set. What the standard has and this does not is named as not offered.
func ParseFilter(text string, set *Set) (*Node, *Error) {
	p := &parser{text: text, set: set}
	n, err := p.or(0)
	if err != nil {
		return nil, err
	}
	if p.space(); p.at < len(p.text) {
		return nil, p.fault("nothing is understood from %q on", p.rest())
	}
	if n.typ != Boolean {
		return nil, p.fault("the filter is not true or false")
	}
	return n, nil
}

func (p *parser) fault(format string, args ...any) *Error { return bad("$filter", format, args...) }

func (p *parser) rest() string {
	if len(p.text)-p.at > 20 {
		return p.text[p.at:p.at+20] + "..."
	}
	return p.text[p.at:]
}

func (p *parser) space() {
	for p.at < len(p.text) && (p.text[p.at] == ' ' || p.text[p.at] == '\t') {
		p.at++
	}
}

// word takes the word if it is next and ends there.
func (p *parser) word(word string) bool {
	p.space()
	rest := p.text[p.at:]
	if !strings.HasPrefix(rest, word) || len(rest) > len(word) && isWord(rest[len(word)]) {
		return false
	}
	p.at += len(word)
	return true
}

func (p *parser) sign(b byte) bool {
	p.space()
	if p.at < len(p.text) && p.text[p.at] == b {
		p.at++
		return true
	}
	return false
}

func isWord(b byte) bool {
	return b == '_' || b == '$' || b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z' || b >= 0x80
}

func (p *parser) node(n *Node) (*Node, *Error) {
	if p.nodes++; p.nodes > mostNodes {
		return nil, p.fault("the filter is too long")
	}
	return n, nil
}

// binary reads operands that one operator joins.
func (p *parser) binary(depth int, op string, operand func(int) (*Node, *Error)) (*Node, *Error) {
	left, err := operand(depth)
	for err == nil && p.word(op) {
		var right *Node
		if right, err = operand(depth); err != nil {
			break
		}
		if left.typ != Boolean || right.typ != Boolean {
			return nil, p.fault("%s joins what is not true or false", op)
		}
		left, err = p.node(&Node{op: op, args: []*Node{left, right}, typ: Boolean})
	}
	return left, err
}

func (p *parser) or(depth int) (*Node, *Error) {
	if depth > mostDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	return p.binary(depth, "or", p.and)
}

func (p *parser) and(depth int) (*Node, *Error) { return p.binary(depth, "and", p.not) }

func (p *parser) not(depth int) (*Node, *Error) {
	if depth > mostDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	if !p.word("not") {
		return p.compare(depth)
	}
	n, err := p.not(depth + 1)
	if err != nil {
		return nil, err
	}
	if n.typ != Boolean {
		return nil, p.fault("not stands before what is not true or false")
	}
	return p.node(&Node{op: "not", args: []*Node{n}, typ: Boolean})
}

var comparisons = map[string]string{"eq": " = ", "ne": " <> ", "gt": " > ", "ge": " >= ", "lt": " < ", "le": " <= "}

func (p *parser) compare(depth int) (*Node, *Error) {
	left, err := p.operand(depth)
	if err != nil {
		return nil, err
	}
	for op := range comparisons {
		if p.word(op) {
			right, err := p.operand(depth)
			if err != nil {
				return nil, err
			}
			if !comparable(left, right) {
				return nil, p.fault("%s compares %s with %s", op, name(left.typ), name(right.typ))
			}
			if (left.typ == null || right.typ == null) && op != "eq" && op != "ne" {
				return nil, p.fault("%s compares with null", op)
			}
			return p.node(&Node{op: op, args: []*Node{left, right}, typ: Boolean})
		}
	}
	if p.word("in") {
		return p.list(left)
	}
	for _, op := range []string{"has", "add", "sub", "mul", "div", "divby", "mod"} {
		if p.word(op) {
			return nil, Missing("$filter", "the operator "+op)
		}
	}
	return left, nil
}

func name(t Type) string {
	if t == null {
		return "null"
	}
	return string(t)
}

func comparable(a, b *Node) bool {
	return a.typ == b.typ || a.typ == null || b.typ == null || numeric(a.typ) && numeric(b.typ)
}

func (p *parser) list(left *Node) (*Node, *Error) {
	if !p.sign('(') {
		return nil, p.fault("in without its list")
	}
	n := &Node{op: "in", args: []*Node{left}, typ: Boolean}
	for {
		item, err := p.operand(mostDepth)
		if err != nil {
			return nil, err
		}
		if item.op != "" || item.property != nil || !comparable(left, item) {
			return nil, p.fault("in lists what is no %s", name(left.typ))
		}
		if n.args = append(n.args, item); p.sign(')') {
			return p.node(n)
		}
		if !p.sign(',') {
			return nil, p.fault("the list of in does not end")
		}
	}
}

// functions gives the types of their arguments and of what they give.
var functions = map[string]struct {
	args []Type
	typ  Type
}{
	"contains": {[]Type{String, String}, Boolean}, "startswith": {[]Type{String, String}, Boolean},
	"endswith": {[]Type{String, String}, Boolean}, "length": {[]Type{String}, Int32},
	"tolower": {[]Type{String}, String}, "toupper": {[]Type{String}, String}, "trim": {[]Type{String}, String},
	"concat": {[]Type{String, String}, String}, "indexof": {[]Type{String, String}, Int32},
	"year": {[]Type{anyThing}, Int32}, "month": {[]Type{anyThing}, Int32}, "day": {[]Type{anyThing}, Int32},
}

func (p *parser) operand(depth int) (*Node, *Error) {
	p.space()
	if p.at == len(p.text) {
		return nil, p.fault("the filter ends too early")
	}
	if p.sign('(') {
		n, err := p.or(depth + 1)
		if err == nil && !p.sign(')') {
			err = p.fault("a parenthesis without its end")
		}
		return n, err
	}
	from := p.at
	if p.text[p.at] == '\'' {
		for p.at++; p.at < len(p.text); p.at++ {
			if p.text[p.at] != '\'' {
				continue
			}
			if p.at+1 < len(p.text) && p.text[p.at+1] == '\'' {
				p.at++
				continue
			}
			p.at++
			v, ok := literal(p.text[from:p.at])
			if !ok {
				return nil, p.fault("a text that cannot be")
			}
			return p.node(&Node{value: v, typ: v.Type})
		}
		return nil, p.fault("a text without its end")
	}
	for p.at < len(p.text) && (isWord(p.text[p.at]) || strings.IndexByte(".:-+", p.text[p.at]) >= 0) {
		p.at++
	}
	word := p.text[from:p.at]
	if word == "" {
		return nil, p.fault("nothing is understood from %q on", p.rest())
	}
	if p.at < len(p.text) && p.text[p.at] == '(' {
		p.at++
		return p.call(depth, word)
	}
	if property := p.set.Property(word); property != nil {
		if p.at < len(p.text) && p.text[p.at] == '/' {
			return nil, Missing("$filter", "a path behind "+word)
		}
		return p.node(&Node{property: property, typ: property.Type})
	}
	if v, ok := literal(word); ok {
		return p.node(&Node{value: v, typ: v.Type})
	}
	return nil, p.fault("%s is no property of %s and no literal", word, p.set.Name)
}

func (p *parser) call(depth int, word string) (*Node, *Error) {
	f, ok := functions[word]
	if !ok {
		return nil, Missing("$filter", "the function "+word)
	}
	if depth >= mostDepth {
		return nil, p.fault("the filter is nested too deeply")
	}
	n := &Node{op: word, typ: f.typ}
	for i, want := range f.args {
		if i > 0 && !p.sign(',') {
			return nil, p.fault("%s has too few arguments", word)
		}
		arg, err := p.operand(depth + 1)
		if err != nil {
			return nil, err
		}
		if want == anyThing && arg.typ != Date && arg.typ != Instant || want != anyThing && arg.typ != want {
			return nil, p.fault("%s is given %s", word, name(arg.typ))
		}
		n.args = append(n.args, arg)
	}
	if !p.sign(')') {
		return nil, p.fault("%s has too many arguments", word)
	}
	return p.node(n)
}

// append writes the filter as a condition of SQL.
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
	if n.op == "ne" { // in OData null differs from every value
		return call("(", left, " IS DISTINCT FROM ", right, ")")
	}
	return call("(", left, comparisons[n.op], right, ")")
}

// SQL is the filter as a condition.
func (n *Node) SQL() string { return string(n.append(nil)) }

package httpwire

import (
	"bytes"
	"strconv"
)

// token tells which bytes names and methods are made of (RFC 9110, 5.6.2).
var token = func() (is [256]bool) {
	for _, b := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		is[b] = true
	}
	return is
}()

func isToken(text []byte) bool {
	for _, b := range text {
		if !token[b] {
			return false
		}
	}
	return len(text) > 0
}

// Fields are the lines of a head, each with its end, as they were read. They have been checked.
type Fields []byte

// Each gives the lines in their order, without white space around the values, until call wants no more.
func (f Fields) Each(call func(name, value []byte) (more bool)) {
	for len(f) > 0 {
		line, rest, _ := bytes.Cut(f, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		if f = rest; !call(name, bytes.Trim(value, " \t")) {
			return
		}
	}
}

// Get gives the first value of a name, nil where there is none, and how many lines have it.
func (f Fields) Get(wanted string) (value []byte, count int) {
	f.Each(func(name, v []byte) bool {
		if len(name) == len(wanted) && bytes.EqualFold(name, []byte(wanted)) {
			if count++; count == 1 {
				value = v[:len(v):len(v)]
			}
		}
		return true
	})
	return value, count
}

// Text is Get where a missing value and an empty one are the same.
func (f Fields) Text(wanted string) string {
	value, _ := f.Get(wanted)
	return string(value)
}

// Has tells whether a value of the name, which holds a list, has the item.
func (f Fields) Has(wanted, item string) (has bool) {
	f.Each(func(name, v []byte) bool {
		if bytes.EqualFold(name, []byte(wanted)) {
			for part := range bytes.SplitSeq(v, []byte(",")) {
				has = has || bytes.EqualFold(bytes.Trim(part, " \t"), []byte(item))
			}
		}
		return !has
	})
	return has
}

// lines checks the lines of a head up to its empty line: names are tokens with nothing behind them, no line is folded
// or holds a lone CR, LF or NUL. It gives the fields and how many bytes the head takes.
func lines(in []byte, mostFields int) (fields Fields, size int, fault *Fault) {
	for count := 0; ; count++ {
		end := bytes.IndexByte(in[size:], '\n')
		if end < 0 {
			return nil, 0, nil
		}
		line := in[size : size+end]
		if end == 0 || line[end-1] != '\r' {
			return nil, 0, &Fault{400, "a line without CR"}
		}
		if line = line[:end-1]; len(line) == 0 {
			return Fields(in[:size]), size + 2, nil
		}
		if count >= mostFields {
			return nil, 0, &Fault{431, "too many fields"}
		}
		colon := bytes.IndexByte(line, ':')
		if colon < 0 || !isToken(line[:colon]) {
			return nil, 0, &Fault{400, "a field without a proper name"}
		}
		for _, b := range line[colon+1:] {
			if b < ' ' && b != '\t' || b == 0x7f {
				return nil, 0, &Fault{400, "a field with a control character"}
			}
		}
		size += end + 1
	}
}

// number reads digits only, as lengths are written.
func number(text []byte) (n int64, ok bool) {
	if len(text) == 0 || len(text) > 18 {
		return 0, false
	}
	for _, b := range text {
		if b < '0' || b > '9' {
			return 0, false
		}
		n = n*10 + int64(b-'0')
	}
	return n, true
}

// AppendField writes one line of a head. What could end the line early is left out of the value.
func AppendField(out []byte, name, value string) []byte {
	out = append(append(out, name...), ": "...)
	for i := range len(value) {
		if b := value[i]; b >= ' ' && b != 0x7f || b == '\t' {
			out = append(out, b)
		}
	}
	return append(out, "\r\n"...)
}

// AppendLength tells how long the body behind a head is, and ends the head.
func AppendLength(out []byte, length int) []byte {
	out = strconv.AppendInt(append(out, "Content-Length: "...), int64(length), 10)
	return append(out, "\r\n\r\n"...)
}

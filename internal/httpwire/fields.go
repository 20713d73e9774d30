package httpwire

import (
	"bytes"
	"strconv"
)

// isTokenByte holds the bytes allowed in field names and methods (RFC 9110, section 5.6.2).
var isTokenByte = func() (is [256]bool) {
	for _, b := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		is[b] = true
	}
	return is
}()

func isToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(text) > 0
}

// Fields are the header lines as they were received, each with its CRLF. They have been validated.
type Fields []byte

// Each calls call for each field in order, with white space around the value removed, until call returns false.
func (f Fields) Each(call func(name, value []byte) (more bool)) {
	for len(f) > 0 {
		line, rest, _ := bytes.Cut(f, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		if f = rest; !call(name, bytes.Trim(value, " \t")) {
			return
		}
	}
}

// Get returns the first value of the field, nil if there is none, and the number of lines with that name.
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

// Text returns the first value of the field, or "" if it is missing or empty.
func (f Fields) Text(wanted string) string {
	value, _ := f.Get(wanted)
	return string(value)
}

// Has reports whether the field, a comma-separated list, contains the item.
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

// parseFields validates the header lines up to the empty line: names are tokens directly followed by a colon, no line is
// folded or contains a lone CR, LF or NUL. It returns the fields and the bytes consumed; size 0: the header is incomplete.
func parseFields(in []byte, maxFields int) (fields Fields, size int, fault *Fault) {
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
		if count >= maxFields {
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

// parseLength parses a decimal length. Only digits are allowed, no sign or white space.
func parseLength(text []byte) (n int64, ok bool) {
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

// AppendField appends one header line. Control characters are dropped from the value, so that it cannot end the line early.
func AppendField(out []byte, name, value string) []byte {
	out = append(append(out, name...), ": "...)
	for i := range len(value) {
		if b := value[i]; b >= ' ' && b != 0x7f || b == '\t' {
			out = append(out, b)
		}
	}
	return append(out, "\r\n"...)
}

// AppendLength appends the Content-Length field and the empty line that ends the header.
func AppendLength(out []byte, length int) []byte {
	out = strconv.AppendInt(append(out, "Content-Length: "...), int64(length), 10)
	return append(out, "\r\n\r\n"...)
}

// Package pgwire reads and writes messages of version 3 of PostgreSQL's protocol. It holds no sockets.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// What a first message may ask for.
const (
	Version3 = 3 << 16
	Cancel   = 80877102
	TLS      = 80877103
	GSS      = 80877104
)

// Most is the longest message that is read: a value of 512 KiB, written in hex within a statement.
const Most = 1088 << 10

// ErrLength tells of a message whose length cannot be.
var ErrLength = errors.New("impossible length of a message")

// First reads the message that starts a connection. A size of 0 asks for more bytes.
func First(in []byte) (code uint32, size int, err error) {
	if len(in) < 4 {
		return 0, 0, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length < 8 || length > 10000 {
		return 0, 0, ErrLength
	}
	if len(in) < int(length) {
		return 0, 0, nil
	}
	return binary.BigEndian.Uint32(in[4:]), int(length), nil
}

// Next reads the head of a message and cuts its body. A size of 0 asks for more bytes.
func Next(in []byte) (kind byte, body []byte, size int, err error) {
	if len(in) < 5 {
		return 0, nil, 0, nil
	}
	length := binary.BigEndian.Uint32(in[1:])
	if length < 4 || length > Most {
		return 0, nil, 0, ErrLength
	}
	if size = 1 + int(length); len(in) < size {
		return in[0], nil, 0, nil
	}
	return in[0], in[5:size], size, nil
}

// Text cuts the zero byte from the end of a query's body; ok is false where there is none or one too many.
func Text(body []byte) (text []byte, ok bool) {
	if n := bytes.IndexByte(body, 0); n < 0 || n != len(body)-1 {
		return nil, false
	}
	return body[:len(body)-1], true
}

// Comment reads the names and values of the comment that opens a statement, and tells where each value
// starts and ends in the text. The rest is what follows the comment.
func Comment(text []byte, each func(name, value []byte, from, to int)) (rest []byte, ok bool) {
	if !bytes.HasPrefix(text, []byte("/*")) {
		return nil, false
	}
	end := bytes.Index(text, []byte("*/"))
	if end < 2 {
		return nil, false
	}
	for at := 2; at < end; {
		stop := at + bytes.IndexByte(text[at:end], ',')
		if stop < at {
			stop = end
		}
		name, value, found := bytes.Cut(text[at:stop], []byte("="))
		if found {
			from := stop - len(value)
			value = bytes.TrimRight(value, " ")
			each(bytes.Trim(name, " "), value, from, from+len(value))
		}
		at = stop + 1
	}
	return bytes.TrimLeft(text[end+2:], " \t\r\n"), true
}

// Quoted finds the first quoted literal.
func Quoted(text []byte) []byte {
	_, after, found := bytes.Cut(text, []byte("'"))
	if end := bytes.IndexByte(after, '\''); found && end >= 0 {
		return after[:end]
	}
	return nil
}

// Fields reads the fields of an error; ok is false where they do not fit into each other.
func Fields(body []byte, each func(code byte, value []byte)) (ok bool) {
	for len(body) > 1 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return false
		}
		each(body[0], body[1:1+end])
		body = body[end+2:]
	}
	return len(body) == 1 && body[0] == 0
}

// Parameter reads a parameter's name and value.
func Parameter(body []byte) (name, value []byte, ok bool) {
	name, rest, found := bytes.Cut(body, []byte{0})
	value, rest, ended := bytes.Cut(rest, []byte{0})
	return name, value, found && ended && len(rest) == 0
}

const column = 18 // bytes that describe a column, behind its name

// Described tells whether a body describes rows of one column.
func Described(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	return bytes.IndexByte(body[2:], 0) == len(body)-2-1-column
}

// Row tells whether a body is a row of one column.
func Row(body []byte) bool {
	return len(body) >= 6 && binary.BigEndian.Uint16(body) == 1 && int64(binary.BigEndian.Uint32(body[2:])) == int64(len(body)-6)
}

// Tag tells whether a body is what ends a command.
func Tag(body []byte) bool {
	text, ok := Text(body)
	for _, b := range text {
		ok = ok && (b == ' ' || b >= '0' && b <= '9' || b >= 'A' && b <= 'Z')
	}
	return ok && len(text) > 0
}

// Ready tells whether a body says that the next query may come.
func Ready(body []byte) bool { return len(body) == 1 && bytes.IndexByte([]byte("ITE"), body[0]) >= 0 }

// AppendFirst asks for a connection as the user to the database.
func AppendFirst(out []byte, user, database string) []byte {
	at := len(out)
	out = binary.BigEndian.AppendUint32(out, 0)
	out = binary.BigEndian.AppendUint32(out, Version3)
	for _, text := range []string{"user", user, "database", database} {
		out = append(append(out, text...), 0)
	}
	out = append(out, 0)
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at))
	return out
}

// AppendHead writes the head of a message whose body has so many bytes.
func AppendHead(out []byte, kind byte, body int) []byte {
	return binary.BigEndian.AppendUint32(append(out, kind), uint32(body)+4)
}

// AppendWelcome lets a client in, which may name the process and its secret to cancel.
func AppendWelcome(out []byte, process, secret uint32) []byte {
	out = binary.BigEndian.AppendUint32(AppendHead(out, 'R', 4), 0)
	for _, p := range [][2]string{
		{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"},
	} {
		out = AppendParameter(out, p[0], p[1])
	}
	out = binary.BigEndian.AppendUint32(AppendHead(out, 'K', 8), process)
	return AppendReady(binary.BigEndian.AppendUint32(out, secret))
}

// Cancelled reads whom the message that asks for a cancel names.
func Cancelled(in []byte) (process, secret uint32, ok bool) {
	if len(in) != 16 {
		return 0, 0, false
	}
	return binary.BigEndian.Uint32(in[8:]), binary.BigEndian.Uint32(in[12:]), true
}

// AppendParameter appends a ParameterStatus message.
func AppendParameter(out []byte, name, value string) []byte {
	out = append(AppendHead(out, 'S', len(name)+len(value)+2), name...)
	return append(append(append(out, 0), value...), 0)
}

// AppendReady tells that the next query may come.
func AppendReady(out []byte) []byte { return append(AppendHead(out, 'Z', 1), 'I') }

// AppendEmpty answers an empty query.
func AppendEmpty(out []byte) []byte { return AppendReady(AppendHead(out, 'I', 0)) }

// AppendDone answers a command that gives no rows.
func AppendDone(out []byte, tag string) []byte {
	out = append(AppendHead(out, 'C', len(tag)+1), tag...)
	return AppendReady(append(out, 0))
}

// AppendError writes an error. A fatal one ends the connection; detail is left out where it is negative.
func AppendError(out []byte, fatal bool, code, message string, detail int) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	at := len(out)
	out = AppendHead(out, 'E', 0)
	for _, field := range [][2]string{{"S", severity}, {"V", severity}, {"C", code}, {"M", message}} {
		out = append(append(append(out, field[0]...), field[1]...), 0)
	}
	if detail >= 0 {
		out = append(strconv.AppendInt(append(out, 'D'), int64(detail), 10), 0)
	}
	out = append(out, 0)
	binary.BigEndian.PutUint32(out[at+1:], uint32(len(out)-at-1))
	return out
}

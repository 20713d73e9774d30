// Package pgwire parses and encodes messages of version 3 of the PostgreSQL protocol. It does no I/O.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// Request codes of the first message of a connection.
const (
	Version3 = 3 << 16
	Cancel   = 80877102
	TLS      = 80877103
	GSS      = 80877104
)

// MaxMessageLength is the longest message accepted, in bytes: a value of 512 KiB, hex-encoded within a statement, fits.
const MaxMessageLength = 1088 << 10

// ErrLength is returned for a message whose length field is out of range.
var ErrLength = errors.New("impossible length of a message")

// First parses the first message of a connection. It returns size 0 while the message is incomplete.
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

// Next parses the header of a message and returns its body. It returns size 0 while the message is incomplete.
func Next(in []byte) (kind byte, body []byte, size int, err error) {
	if len(in) < 5 {
		return 0, nil, 0, nil
	}
	length := binary.BigEndian.Uint32(in[1:])
	if length < 4 || length > MaxMessageLength {
		return 0, nil, 0, ErrLength
	}
	if size = 1 + int(length); len(in) < size {
		return in[0], nil, 0, nil
	}
	return in[0], in[5:size], size, nil
}

// QueryText returns the body of a query without its terminating zero byte. ok is false unless the body contains exactly one
// zero byte, at its end.
func QueryText(body []byte) (text []byte, ok bool) {
	if n := bytes.IndexByte(body, 0); n < 0 || n != len(body)-1 {
		return nil, false
	}
	return body[:len(body)-1], true
}

// Comment parses the names and values of the comment at the start of a statement. It calls each with the offsets in text at
// which the value starts and ends. The rest is the statement after the comment.
func Comment(text []byte, each func(name, value []byte, from, to int)) (rest []byte, ok bool) {
	if !bytes.HasPrefix(text, []byte("/*")) {
		return nil, false
	}
	end := bytes.Index(text, []byte("*/"))
	if end < 2 {
		return nil, false
	}
	for pos := 2; pos < end; {
		stop := pos + bytes.IndexByte(text[pos:end], ',')
		if stop < pos {
			stop = end
		}
		name, value, found := bytes.Cut(text[pos:stop], []byte("="))
		if found {
			from := stop - len(value)
			value = bytes.TrimRight(value, " ")
			each(bytes.Trim(name, " "), value, from, from+len(value))
		}
		pos = stop + 1
	}
	return bytes.TrimLeft(text[end+2:], " \t\r\n"), true
}

// FirstLiteral returns the content of the first quoted literal, nil if there is none.
func FirstLiteral(text []byte) []byte {
	_, after, found := bytes.Cut(text, []byte("'"))
	if end := bytes.IndexByte(after, '\''); found && end >= 0 {
		return after[:end]
	}
	return nil
}

// Fields parses the fields of an ErrorResponse. ok is false if a field is not terminated or bytes follow the last one.
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

// Parameter parses the name and the value of a ParameterStatus message.
func Parameter(body []byte) (name, value []byte, ok bool) {
	name, rest, found := bytes.Cut(body, []byte{0})
	value, rest, ended := bytes.Cut(rest, []byte{0})
	return name, value, found && ended && len(rest) == 0
}

const columnDescription = 18 // bytes of a column's description after its name

// IsRowDescription reports whether body is a RowDescription with exactly one column.
func IsRowDescription(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	return bytes.IndexByte(body[2:], 0) == len(body)-2-1-columnDescription
}

// IsDataRow reports whether body is a DataRow with exactly one column, which is not null.
func IsDataRow(body []byte) bool {
	return len(body) >= 6 && binary.BigEndian.Uint16(body) == 1 && int64(binary.BigEndian.Uint32(body[2:])) == int64(len(body)-6)
}

// IsCommandComplete reports whether body is a valid CommandComplete message.
func IsCommandComplete(body []byte) bool {
	text, ok := QueryText(body)
	for _, b := range text {
		ok = ok && (b == ' ' || b >= '0' && b <= '9' || b >= 'A' && b <= 'Z')
	}
	return ok && len(text) > 0
}

// IsReadyForQuery reports whether body is a valid ReadyForQuery message.
func IsReadyForQuery(body []byte) bool {
	return len(body) == 1 && bytes.IndexByte([]byte("ITE"), body[0]) >= 0
}

// AppendStartup appends a StartupMessage for the user and the database.
func AppendStartup(out []byte, user, database string) []byte {
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

// AppendHead appends the header of a message whose body has the given length in bytes.
func AppendHead(out []byte, kind byte, body int) []byte {
	return binary.BigEndian.AppendUint32(append(out, kind), uint32(body)+4)
}

// AppendAuthenticationOK appends the messages that complete the startup of a connection: AuthenticationOk, the parameters,
// BackendKeyData with the process and the secret for cancel requests, and ReadyForQuery.
func AppendAuthenticationOK(out []byte, process, secret uint32) []byte {
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

// ParseCancelRequest returns the process and the secret that a CancelRequest names.
func ParseCancelRequest(in []byte) (process, secret uint32, ok bool) {
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

// AppendReady appends a ReadyForQuery message.
func AppendReady(out []byte) []byte { return append(AppendHead(out, 'Z', 1), 'I') }

// AppendEmptyQueryResponse appends the response to an empty query: EmptyQueryResponse and ReadyForQuery.
func AppendEmptyQueryResponse(out []byte) []byte { return AppendReady(AppendHead(out, 'I', 0)) }

// AppendCommandComplete appends the response to a command that returns no rows: CommandComplete and ReadyForQuery.
func AppendCommandComplete(out []byte, tag string) []byte {
	out = append(AppendHead(out, 'C', len(tag)+1), tag...)
	return AppendReady(append(out, 0))
}

// AppendError appends an ErrorResponse. A fatal one tells the client that the connection ends. A negative detail is omitted.
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

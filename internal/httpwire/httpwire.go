// Package httpwire parses and encodes HTTP/1.1 requests and answers. It does no I/O.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
)

// ErrAnswer is returned for an answer that is not HTTP/1.x or whose framing is invalid.
var ErrAnswer = errors.New("malformed HTTP answer")

var lineEnd = []byte("\r\n")

// AppendGet appends a GET request for the path.
func AppendGet(out []byte, host, path string) []byte {
	for _, part := range []string{"GET ", path, " HTTP/1.1\r\nHost: ", host, "\r\nAccept: application/json\r\n\r\n"} {
		out = append(out, part...)
	}
	return out
}

// Answer parses an answer. It returns size 0 while the answer is incomplete. ended means that the peer has closed the
// connection, which ends a body of unknown length. If last is true, the connection cannot be reused.
func Answer(in []byte, ended bool) (status int, body []byte, size int, last bool, err error) {
	skipped := 0
	for range maxInterim + 1 {
		status, body, size, last, err = answer(in[skipped:], ended)
		if err != nil || size == 0 {
			return status, nil, 0, last, err
		}
		if skipped += size; status >= 200 {
			return status, body, skipped, last, nil
		}
	}
	return 0, nil, 0, false, ErrAnswer
}

// answer parses one answer, which may be an interim one.
func answer(in []byte, ended bool) (status int, body []byte, size int, last bool, err error) {
	head := bytes.Index(in, []byte("\r\n\r\n"))
	if head < 0 {
		return 0, nil, 0, false, nil
	}
	first, fields, _ := bytes.Cut(in[:head], lineEnd)
	if len(first) < 12 || !bytes.HasPrefix(first, []byte("HTTP/1.")) || first[8] != ' ' {
		return 0, nil, 0, false, ErrAnswer
	}
	if status, err = strconv.Atoi(string(first[9:12])); err != nil || status < 100 {
		return 0, nil, 0, false, ErrAnswer
	}
	head += 4
	length, chunked := -1, false
	for len(fields) > 0 {
		var line []byte
		line, fields, _ = bytes.Cut(fields, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			if length, err = strconv.Atoi(string(value)); err != nil || length < 0 {
				return 0, nil, 0, false, ErrAnswer
			}
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			chunked = bytes.EqualFold(value, []byte("chunked"))
		case bytes.EqualFold(name, []byte("connection")):
			last = bytes.EqualFold(value, []byte("close"))
		}
	}
	switch {
	case status < 200:
		return status, nil, head, false, nil
	case chunked:
		body, size, err = decodeAnswerChunks(in[head:])
		if size > 0 {
			size += head
		}
		return status, body, size, last, err
	case status == 204 || status == 304:
		return status, nil, head, last, nil
	case length >= 0:
		if len(in)-head < length {
			return status, nil, 0, last, nil
		}
		return status, in[head : head+length], head + length, last, nil
	case ended:
		return status, in[head:], len(in), true, nil
	}
	return status, nil, 0, true, nil
}

// decodeAnswerChunks joins the chunks of a chunked body. It is less strict than decodeChunked.
func decodeAnswerChunks(in []byte) (body []byte, size int, err error) {
	for {
		end := bytes.Index(in[size:], lineEnd)
		if end < 0 {
			return nil, 0, nil
		}
		digits, _, _ := bytes.Cut(in[size:size+end], []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(digits)), 16, 31)
		if err != nil {
			return nil, 0, ErrAnswer
		}
		size += end + 2
		if n == 0 {
			break
		}
		if len(in)-size < int(n)+2 {
			return nil, 0, nil
		}
		body = append(body, in[size:size+int(n)]...)
		if size += int(n); !bytes.HasPrefix(in[size:], lineEnd) {
			return nil, 0, ErrAnswer
		}
		size += 2
	}
	for { // trailer, up to the empty line
		end := bytes.Index(in[size:], lineEnd)
		if end < 0 {
			return nil, 0, nil
		}
		if size += end + 2; end == 0 {
			return body, size, nil
		}
	}
}

package httpwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Fault is the reason why a message is malformed, with the status to answer with. The reason is sent to the client.
type Fault struct {
	Status int
	Reason string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Reason) }

// Limits bound the size of a message.
type Limits struct {
	Target int // bytes
	Head   int // bytes, the request line and all fields
	Fields int // header lines
	Body   int // bytes
}

// Request is one request. Its parts are slices of the input, except for a chunked body.
type Request struct {
	Verb, Target []byte
	Fields       Fields
	Body         []byte
	Continue     bool // the client waits for 100 Continue before it sends the body
	CloseAfter   bool // the connection ends after the answer
	Size         int  // bytes of header and body; 0 while the body is incomplete
}

// Next parses a request. Size is 0 while the request is incomplete; Fields are set as soon as the header is complete.
func Next(in []byte, limits Limits) (r Request, fault *Fault) {
	var p Parser
	return p.Next(in, limits)
}

// parse parses a request of which the chunks that were scanned before are known.
func (p *Parser) parse(in []byte, limits Limits) (r Request, fault *Fault) {
	skipped := 0
	for bytes.HasPrefix(in[skipped:], lineEnd) && skipped < 4 { // some clients send an empty line after a body
		skipped += 2
	}
	rest := in[skipped:]
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		if line := rest[:min(len(rest), limits.Target+32)]; len(rest) > limits.Target+32 {
			return r, lineTooLong(line)
		}
		return r, checkPartialLine(rest)
	}
	if end == 0 || rest[end-1] != '\r' {
		return r, &Fault{400, "a line without CR"}
	}
	var minor byte
	if r.Verb, r.Target, minor, fault = parseRequestLine(rest[:end-1], limits); fault != nil {
		return r, fault
	}
	p.inHead = true
	fields, size, fault := parseFields(rest[end+1:], limits.Fields)
	if fault != nil {
		return r, fault
	}
	if size == 0 {
		if len(rest) > limits.Head {
			return r, &Fault{431, "the head is too long"}
		}
		return r, nil
	}
	head := end + 1 + size
	if head > limits.Head {
		return r, &Fault{431, "the head is too long"}
	}
	r.Fields, p.inHead = fields, false
	length, chunked, fault := r.parseFraming(minor)
	if fault != nil {
		return r, fault
	}
	if length > int64(limits.Body) {
		return r, &Fault{413, "the body is too long"}
	}
	if !chunked {
		if int64(len(rest)-head) >= length {
			r.Body, r.Size = rest[head:head+int(length)], skipped+head+int(length)
		}
		p.needed = skipped + head + int(length)
		return r, nil
	}
	body, size, fault := decodeChunked(rest[head:], limits, &p.chunks)
	p.needed = skipped + head + p.chunks.needed
	if fault == nil && size > 0 {
		r.Body, r.Size = body, skipped+head+size
	}
	return r, fault
}

func lineTooLong(line []byte) *Fault {
	if bytes.IndexByte(line, ' ') < 0 {
		return &Fault{400, "no request"}
	}
	return &Fault{414, "the target is too long"}
}

// checkPartialLine rejects input that cannot become a valid request line, so that the connection does not wait for the rest.
func checkPartialLine(in []byte) *Fault {
	verb, _, _ := bytes.Cut(in, []byte(" "))
	if len(verb) > 0 && verb[0] == '\r' && len(in) == 1 {
		return nil
	}
	if len(verb) > 32 || len(verb) > 0 && !isToken(verb) {
		return &Fault{400, "no request"}
	}
	return nil
}

func parseRequestLine(line []byte, limits Limits) (verb, target []byte, minor byte, fault *Fault) {
	verb, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(verb) || len(verb) > 32 || len(target) == 0 {
		return nil, nil, 0, &Fault{400, "no request"}
	}
	if fault := CheckTarget(target, limits); fault != nil {
		return nil, nil, 0, fault
	}
	if len(version) != 8 || !bytes.HasPrefix(version, []byte("HTTP/")) || version[6] != '.' {
		return nil, nil, 0, &Fault{400, "no version"}
	}
	if version[5] != '1' || version[7] != '0' && version[7] != '1' {
		return nil, nil, 0, &Fault{505, "only HTTP/1.1 is spoken"}
	}
	return verb, target, version[7], nil
}

// CheckTarget checks a request target, wherever it was received. Within a request line, a byte that has to be percent-encoded could
// end the line and begin another request.
func CheckTarget[Text string | []byte](target Text, limits Limits) *Fault {
	if len(target) > limits.Target {
		return &Fault{414, "the target is too long"}
	}
	for i := range len(target) {
		if b := target[i]; b <= ' ' || b >= 0x7f {
			return &Fault{400, "a target with what must be encoded"}
		}
	}
	return nil
}

// parseFraming returns the length of the body, or that it is chunked. Ambiguous framing is rejected, so that no request can be
// smuggled inside another.
func (r *Request) parseFraming(minor byte) (length int64, chunked bool, fault *Fault) {
	lengthFields, hostFields, codingFields := 0, 0, 0
	keep := false
	r.Fields.Each(func(name, value []byte) bool {
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, ok := parseLength(value)
			if lengthFields++; !ok || lengthFields > 1 {
				fault = &Fault{400, "a length that cannot be"}
			}
			length = n
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			if codingFields++; codingFields > 1 || !bytes.EqualFold(value, []byte("chunked")) {
				fault = &Fault{501, "a transfer coding that is not spoken"}
			}
			chunked = true
		case bytes.EqualFold(name, []byte("host")):
			hostFields++
		case bytes.EqualFold(name, []byte("expect")):
			if !bytes.EqualFold(value, []byte("100-continue")) {
				fault = &Fault{417, "an expectation that cannot be met"}
			}
			r.Continue = minor == '1'
		}
		return fault == nil
	})
	switch {
	case fault != nil:
		return 0, false, fault
	case chunked && lengthFields > 0:
		return 0, false, &Fault{400, "two lengths of one body"}
	case chunked && minor == '0':
		return 0, false, &Fault{400, "chunks in HTTP/1.0"}
	case hostFields > 1 || hostFields == 0 && minor == '1':
		return 0, false, &Fault{400, "not one host"}
	}
	keep = r.Fields.Has("connection", "keep-alive")
	r.CloseAfter = r.Fields.Has("connection", "close") || minor == '0' && !keep
	return length, chunked, nil
}

// reasonPhrases are the reason phrases of the statuses in use.
var reasonPhrases = map[int]string{
	100: "Continue", 200: "OK", 201: "Created", 204: "No Content", 304: "Not Modified", 400: "Bad Request",
	404: "Not Found", 405: "Method Not Allowed", 406: "Not Acceptable", 408: "Request Timeout", 409: "Conflict",
	411: "Length Required", 412: "Precondition Failed", 413: "Content Too Large", 414: "URI Too Long",
	415: "Unsupported Media Type", 417: "Expectation Failed", 421: "Misdirected Request", 424: "Failed Dependency",
	425: "Too Early", 428: "Precondition Required", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Reason returns the reason phrase of a status.
func Reason(status int) string { return reasonPhrases[status] }

// AppendStatus appends a status line.
func AppendStatus(out []byte, status int) []byte {
	out = strconv.AppendInt(append(out, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(out, ' '), reasonPhrases[status]...), "\r\n"...)
}

// AppendRequest appends a request line.
func AppendRequest(out []byte, verb, target string) []byte {
	out = append(append(append(append(out, verb...), ' '), target...), " HTTP/1.1\r\n"...)
	return out
}

// ParsePart parses a request that is a part of a batch. in holds exactly that part: the request line, the fields and the rest
// as the body.
func ParsePart(in []byte, limits Limits) (r Request, fault *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 1 || in[end-1] != '\r' {
		return r, &Fault{400, "no request"}
	}
	if r.Verb, r.Target, _, fault = parseRequestLine(in[:end-1], limits); fault != nil {
		return r, fault
	}
	fields, size, fault := parseFields(in[end+1:], limits.Fields)
	if fault != nil {
		return r, fault
	}
	if size == 0 { // some clients omit the empty line if there is no body
		rest := append(bytes.TrimRight(in[end+1:len(in):len(in)], "\r\n"), "\r\n\r\n"...)
		if len(rest) == 4 {
			rest = rest[2:]
		}
		if fields, size, fault = parseFields(rest, limits.Fields); fault != nil || size != len(rest) {
			return r, &Fault{400, "a head without its end"}
		}
		size = len(in) - end - 1
	}
	r.Fields, r.Body = fields, in[end+1+size:]
	if length, count := fields.Get("content-length"); count > 0 {
		n, ok := parseLength(length)
		if !ok || count > 1 || n > int64(len(r.Body)) {
			return r, &Fault{400, "a length that cannot be"}
		}
		r.Body = r.Body[:n]
	}
	r.Size = len(in)
	return r, nil
}

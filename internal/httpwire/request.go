package httpwire

import (
	"bytes"
	"fmt"
	"strconv"
)

// Fault tells why a request cannot be read, and the status that says so.
type Fault struct {
	Status int
	Reason string
}

// Error implements error.
func (f *Fault) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Reason) }

// Limits bound what a request may bring.
type Limits struct {
	Target int // bytes
	Head   int // bytes, the first line and all fields
	Fields int
	Body   int // bytes
}

// Request is one request, whose parts lie in what was read.
type Request struct {
	Verb, Target []byte
	Fields       Fields
	Body         []byte
	Continue     bool // the client waits to be told to send its body
	Last         bool // it wants the connection to end
	Size         int  // bytes of head and body; 0 while the body is not whole
}

// Next reads a request. While it is not whole its Size is 0; once the head is, Fields are there.
func Next(in []byte, limits Limits) (r Request, fault *Fault) {
	skipped := 0
	for bytes.HasPrefix(in[skipped:], lineEnd) && skipped < 4 { // some send an empty line behind a body
		skipped += 2
	}
	rest := in[skipped:]
	end := bytes.IndexByte(rest, '\n')
	if end < 0 {
		if line := rest[:min(len(rest), limits.Target+32)]; len(rest) > limits.Target+32 {
			return r, tooLong(line)
		}
		return r, earlyFault(rest)
	}
	if end == 0 || rest[end-1] != '\r' {
		return r, &Fault{400, "a line without CR"}
	}
	var minor byte
	if r.Verb, r.Target, minor, fault = firstLine(rest[:end-1], limits); fault != nil {
		return r, fault
	}
	fields, size, fault := lines(rest[end+1:], limits.Fields)
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
	r.Fields = fields
	length, chunked, fault := r.framing(minor)
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
		return r, nil
	}
	body, size, fault := unchunk(rest[head:], limits)
	if fault == nil && size > 0 {
		r.Body, r.Size = body, skipped+head+size
	}
	return r, fault
}

func tooLong(line []byte) *Fault {
	if bytes.IndexByte(line, ' ') < 0 {
		return &Fault{400, "no request"}
	}
	return &Fault{414, "the target is too long"}
}

// earlyFault tells from the first bytes that this can be no request, so that nobody waits for the rest.
func earlyFault(in []byte) *Fault {
	verb, _, _ := bytes.Cut(in, []byte(" "))
	if len(verb) > 0 && verb[0] == '\r' && len(in) == 1 {
		return nil
	}
	if len(verb) > 32 || len(verb) > 0 && !isToken(verb) {
		return &Fault{400, "no request"}
	}
	return nil
}

func firstLine(line []byte, limits Limits) (verb, target []byte, minor byte, fault *Fault) {
	verb, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !isToken(verb) || len(verb) > 32 || len(target) == 0 {
		return nil, nil, 0, &Fault{400, "no request"}
	}
	if len(target) > limits.Target {
		return nil, nil, 0, &Fault{414, "the target is too long"}
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return nil, nil, 0, &Fault{400, "a target with what must be encoded"}
		}
	}
	if len(version) != 8 || !bytes.HasPrefix(version, []byte("HTTP/")) || version[6] != '.' {
		return nil, nil, 0, &Fault{400, "no version"}
	}
	if version[5] != '1' || version[7] != '0' && version[7] != '1' {
		return nil, nil, 0, &Fault{505, "only HTTP/1.1 is spoken"}
	}
	return verb, target, version[7], nil
}

// framing tells how long the body is. What two readers could understand differently is refused, so that no request can
// be hidden in another.
func (r *Request) framing(minor byte) (length int64, chunked bool, fault *Fault) {
	lengths, hosts, codings := 0, 0, 0
	keep := false
	r.Fields.Each(func(name, value []byte) bool {
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			n, ok := number(value)
			if lengths++; !ok || lengths > 1 {
				fault = &Fault{400, "a length that cannot be"}
			}
			length = n
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			if codings++; codings > 1 || !bytes.EqualFold(value, []byte("chunked")) {
				fault = &Fault{501, "a transfer coding that is not spoken"}
			}
			chunked = true
		case bytes.EqualFold(name, []byte("host")):
			hosts++
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
	case chunked && lengths > 0:
		return 0, false, &Fault{400, "two lengths of one body"}
	case chunked && minor == '0':
		return 0, false, &Fault{400, "chunks in HTTP/1.0"}
	case hosts > 1 || hosts == 0 && minor == '1':
		return 0, false, &Fault{400, "not one host"}
	}
	keep = r.Fields.Has("connection", "keep-alive")
	r.Last = r.Fields.Has("connection", "close") || minor == '0' && !keep
	return length, chunked, nil
}

const mostChunkLine = 256 // bytes

// unchunk puts the parts of a chunked body behind each other once it is whole.
func unchunk(in []byte, limits Limits) (body []byte, size int, fault *Fault) {
	total := 0
	for pass := range 2 { // the first only measures
		size = 0
		for {
			n, line, fault := chunkLine(in[size:])
			if fault != nil || line == 0 {
				return nil, 0, fault
			}
			size += line
			if n == 0 {
				break
			}
			if pass == 0 {
				if total += n; total > limits.Body {
					return nil, 0, &Fault{413, "the body is too long"}
				}
			} else {
				body = append(body, in[size:size+n]...)
			}
			size += n
			switch rest := in[min(size, len(in)):]; {
			case len(rest) >= 2 && !bytes.HasPrefix(rest, lineEnd), len(rest) == 1 && rest[0] != '\r':
				return nil, 0, &Fault{400, "a chunk of another length than told"}
			case len(rest) < 2:
				return nil, 0, nil
			}
			size += 2
		}
		if pass == 0 {
			body = make([]byte, 0, total)
		}
	}
	_, trailer, fault := lines(in[size:], limits.Fields)
	if fault != nil || trailer == 0 {
		if fault == nil && len(in)-size > limits.Head {
			fault = &Fault{431, "the trailer is too long"}
		}
		return nil, 0, fault
	}
	return body, size + trailer, nil
}

// chunkLine reads how long the next chunk is; size 0: more is to come.
func chunkLine(in []byte) (n, size int, fault *Fault) {
	end := bytes.IndexByte(in[:min(len(in), mostChunkLine)], '\n')
	if end < 0 && len(in) >= mostChunkLine {
		return 0, 0, &Fault{400, "a chunk without a length"}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if end == 0 || in[end-1] != '\r' {
		return 0, 0, &Fault{400, "a line without CR"}
	}
	digits, extension, _ := bytes.Cut(in[:end-1], []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	value, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil || digits[0] == '+' || len(digits) > 8 || bytes.IndexByte(extension, '\r') >= 0 {
		return 0, 0, &Fault{400, "a chunk without a length"}
	}
	return int(value), end + 1, nil
}

// reasons are the words behind the statuses that are sent.
var reasons = map[int]string{
	100: "Continue", 200: "OK", 201: "Created", 204: "No Content", 304: "Not Modified", 400: "Bad Request",
	404: "Not Found", 405: "Method Not Allowed", 406: "Not Acceptable", 408: "Request Timeout", 409: "Conflict",
	411: "Length Required", 412: "Precondition Failed", 413: "Content Too Large", 414: "URI Too Long",
	415: "Unsupported Media Type", 417: "Expectation Failed", 421: "Misdirected Request", 424: "Failed Dependency",
	425: "Too Early", 428: "Precondition Required", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Reason gives the words behind a status.
func Reason(status int) string { return reasons[status] }

// AppendStatus begins an answer.
func AppendStatus(out []byte, status int) []byte {
	out = strconv.AppendInt(append(out, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(out, ' '), reasons[status]...), "\r\n"...)
}

// AppendRequest begins a request.
func AppendRequest(out []byte, verb, target string) []byte {
	out = append(append(append(append(out, verb...), ' '), target...), " HTTP/1.1\r\n"...)
	return out
}

// Inner reads a request that is a part of a batch and whose length is known: its first line, its fields, and the rest
// as its body.
func Inner(in []byte, limits Limits) (r Request, fault *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 1 || in[end-1] != '\r' {
		return r, &Fault{400, "no request"}
	}
	if r.Verb, r.Target, _, fault = firstLine(in[:end-1], limits); fault != nil {
		return r, fault
	}
	fields, size, fault := lines(in[end+1:], limits.Fields)
	if fault != nil {
		return r, fault
	}
	if size == 0 { // some leave the empty line out where there is no body
		rest := append(bytes.TrimRight(in[end+1:len(in):len(in)], "\r\n"), "\r\n\r\n"...)
		if len(rest) == 4 {
			rest = rest[2:]
		}
		if fields, size, fault = lines(rest, limits.Fields); fault != nil || size != len(rest) {
			return r, &Fault{400, "a head without its end"}
		}
		size = len(in) - end - 1
	}
	r.Fields, r.Body = fields, in[end+1+size:]
	if length, count := fields.Get("content-length"); count > 0 {
		n, ok := number(length)
		if !ok || count > 1 || n > int64(len(r.Body)) {
			return r, &Fault{400, "a length that cannot be"}
		}
		r.Body = r.Body[:n]
	}
	r.Size = len(in)
	return r, nil
}

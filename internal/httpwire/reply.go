package httpwire

import "bytes"

// Reply is one answer to a request, parsed as strictly as requests are.
type Reply struct {
	Status     int
	Fields     Fields
	Body       []byte
	Started    bool // the status line has been received
	CloseAfter bool // the connection cannot be reused
	Size       int  // bytes of header and body; 0 while the reply is incomplete
}

// maxInterim bounds the interim replies before a final one.
const maxInterim = 16

// NextReply parses a reply and the interim ones before it. ended means that the peer has closed the connection. With head the reply
// is to a HEAD request and has no body.
func NextReply(in []byte, head, ended bool, limits Limits) (r Reply, fault *Fault) {
	skipped := 0
	for range maxInterim + 1 {
		var interim int
		r, interim, fault = nextReply(in[skipped:], head, ended, limits)
		if interim == 0 {
			if r.Size > 0 {
				r.Size += skipped
			}
			return r, fault
		}
		skipped += interim
	}
	return Reply{}, &Fault{0, "too many interim replies"}
}

// nextReply parses one reply. For an interim one it returns only its size.
func nextReply(in []byte, head, ended bool, limits Limits) (r Reply, interim int, fault *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		if len(in) > 512 || len(in) > 0 && !bytes.HasPrefix([]byte("HTTP/1."), in[:min(len(in), 7)]) {
			fault = &Fault{0, "not an HTTP/1.x status line"}
		}
		return r, 0, fault
	}
	line := bytes.TrimSuffix(in[:end], []byte("\r"))
	status, ok := int64(0), len(line) >= 12 && len(line) < end && bytes.HasPrefix(line, []byte("HTTP/1.")) && line[8] == ' '
	if ok {
		status, ok = parseLength(line[9:12])
	}
	if !ok || status < 100 || status > 599 || len(line) > 12 && line[12] != ' ' {
		return r, 0, &Fault{0, "not an HTTP/1.x status line"}
	}
	r.Started, r.Status = true, int(status)
	fields, size, fault := parseFields(in[end+1:], limits.Fields)
	if fault != nil || size == 0 {
		if fault == nil && len(in) > limits.Head {
			fault = &Fault{0, "the header is too long"}
		}
		return r, 0, fault
	}
	headSize := end + 1 + size
	if status < 200 { // interim response, the final one follows
		return Reply{}, headSize, nil
	}
	r.Fields = fields
	r.CloseAfter = r.Fields.Has("connection", "close") || line[7] == '0'
	length, lengths := r.Fields.Get("content-length")
	coding, codings := r.Fields.Get("transfer-encoding")
	n, isNumber := parseLength(length)
	switch {
	case lengths > 1 || lengths == 1 && !isNumber || codings > 0 && (lengths > 0 || codings > 1 || !bytes.EqualFold(coding, []byte("chunked"))):
		return r, 0, &Fault{0, "invalid Content-Length or Transfer-Encoding"}
	case n > int64(limits.Body):
		return r, 0, &Fault{0, "the body is too long"}
	case head || status == 204 || status == 304:
		r.Size = headSize
	case codings > 0:
		if r.Body, size, fault = decodeChunked(in[headSize:], limits, new(chunkScan)); fault == nil && size > 0 {
			r.Size = headSize + size
		}
	case lengths == 1:
		if int64(len(in)-headSize) >= n {
			r.Body, r.Size = in[headSize:headSize+int(n)], headSize+int(n)
		}
	default:
		r.CloseAfter = true
		if ended {
			r.Body, r.Size = in[headSize:], len(in)
		}
	}
	return r, 0, fault
}

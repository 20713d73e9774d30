package httpwire

import "bytes"

// Reply is one answer to a request, read as strictly as requests are.
type Reply struct {
	Status int
	Fields Fields
	Body   []byte
	Begun  bool // its first line is whole
	Last   bool // the connection is of no more use
	Size   int  // 0 while it is not whole
}

// NextReply reads an answer; ended tells that no more will come. An answer to HEAD has no body.
func NextReply(in []byte, head, ended bool, limits Limits) (r Reply, fault *Fault) {
	end := bytes.IndexByte(in, '\n')
	if end < 0 {
		if len(in) > 512 || len(in) > 0 && !bytes.HasPrefix([]byte("HTTP/1."), in[:min(len(in), 7)]) {
			fault = &Fault{0, "no answer"}
		}
		return r, fault
	}
	line := bytes.TrimSuffix(in[:end], []byte("\r"))
	status, ok := int64(0), len(line) >= 12 && len(line) < end && bytes.HasPrefix(line, []byte("HTTP/1.")) && line[8] == ' '
	if ok {
		status, ok = number(line[9:12])
	}
	if !ok || status < 100 || status > 599 || len(line) > 12 && line[12] != ' ' {
		return r, &Fault{0, "no answer"}
	}
	r.Begun, r.Status = true, int(status)
	fields, size, fault := lines(in[end+1:], limits.Fields)
	if fault != nil || size == 0 {
		if fault == nil && len(in) > limits.Head {
			fault = &Fault{0, "the head is too long"}
		}
		return r, fault
	}
	at := end + 1 + size
	if status < 200 { // another head follows
		next, fault := NextReply(in[at:], head, ended, limits)
		if next.Size > 0 {
			next.Size += at
		}
		return next, fault
	}
	r.Fields = fields
	r.Last = r.Fields.Has("connection", "close") || line[7] == '0'
	length, lengths := r.Fields.Get("content-length")
	coding, codings := r.Fields.Get("transfer-encoding")
	n, isNumber := number(length)
	switch {
	case lengths > 1 || lengths == 1 && !isNumber || codings > 0 && (lengths > 0 || codings > 1 || !bytes.EqualFold(coding, []byte("chunked"))):
		return r, &Fault{0, "a length that cannot be"}
	case n > int64(limits.Body):
		return r, &Fault{0, "the body is too long"}
	case head || status == 204 || status == 304:
		r.Size = at
	case codings > 0:
		if r.Body, size, fault = unchunk(in[at:], limits); fault == nil && size > 0 {
			r.Size = at + size
		}
	case lengths == 1:
		if int64(len(in)-at) >= n {
			r.Body, r.Size = in[at:at+int(n)], at+int(n)
		}
	default:
		r.Last = true
		if ended {
			r.Body, r.Size = in[at:], len(in)
		}
	}
	return r, fault
}

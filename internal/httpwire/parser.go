package httpwire

import "bytes"

// Parser parses the requests of one connection, more of which arrives with each call. It remembers how far an incomplete request was
// parsed: a client that sends a long request in small pieces costs no more than one that sends it at once. The zero value is ready for use.
type Parser struct {
	seen   int  // bytes of the incomplete request at the latest call
	needed int  // bytes without which the request is surely incomplete
	inHead bool // the request line is complete, and the header is not
	chunks chunkScan
}

// Next parses the request at the start of in. Size is 0 while it is incomplete: the next call needs the same bytes and what has arrived
// behind them. Fields are set by the first call after the header is complete.
func (p *Parser) Next(in []byte, limits Limits) (r Request, fault *Fault) {
	if !p.bringsMore(in, limits) {
		p.seen = len(in)
		return r, nil
	}
	r, fault = p.parse(in, limits)
	p.seen = len(in)
	if fault != nil || r.Size > 0 {
		*p = Parser{}
	}
	return r, fault
}

// bringsMore reports whether parsing in may find more than the latest call did. Within the header that needs the end of a line.
func (p *Parser) bringsMore(in []byte, limits Limits) bool {
	if p.inHead && len(in) <= limits.Head {
		return bytes.IndexByte(in[min(p.seen, len(in)):], '\n') >= 0
	}
	return len(in) >= p.needed
}

package member

import (
	"time"

	"passtack/driver"
)

// Protocol encodes requests to members and parses their responses. It holds no state of any connection.
type Protocol interface {
	// Greeting returns the first bytes on a new connection. If it is nil, the connection is ready once it is open.
	Greeting() []byte
	// EncodeRequest encodes the request of an attempt with the time that is left for it. The parts are valid until the next call.
	EncodeRequest(request *driver.MemberRequest, left time.Duration) [][]byte
	// EncodeProbe encodes a health check, a request that costs the member almost nothing.
	EncodeProbe() []byte
	// ParseResponse parses the bytes received so far of one response, or of the response to the greeting if greeted is false.
	// probing reports that the response is to a health check, ended that the member has closed the connection in order. now is
	// the time by the members' clock.
	ParseResponse(in []byte, greeted, probing, ended bool, now time.Duration, into *Response)
	// ParseUnsolicited consumes a message on an idle connection. If ok is false, the connection cannot be used again.
	ParseUnsolicited(in []byte) (size int, ok bool)
}

// Response holds what has been parsed of a member's response.
type Response struct {
	Size          int            // bytes of the complete response; 0: incomplete
	Started       bool           // part of the response proper has been received, beyond notices and parameters
	Malformed     bool           // the response violates the protocol
	ErrorReceived bool           // an error has been received, which is final even if the rest of the response never arrives
	Outcome       driver.Outcome // of the complete response, or of the error that was received
	CloseAfter    bool           // the connection cannot be used again
	Role          driver.Role
	LoadReport    []float64 // in the order of the report's columns; valid until the next response
	Answer        driver.Answer
}

// reset clears the response but keeps the memory of its slices. If started, part of it was received before.
func (r *Response) reset(started bool) {
	*r = Response{Started: started, LoadReport: r.LoadReport[:0], Answer: driver.Answer{Parts: r.Answer.Parts[:0]}}
}

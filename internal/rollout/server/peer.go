package server

import (
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/lease"
	"passtack/internal/rollout"
)

const (
	ackTimeout        = time.Second            // for the answer to a message; after that the connection is closed and dialed again
	redialInterval    = 100 * time.Millisecond // between two attempts to connect to a machine
	maxUnacknowledged = 64                     // messages per machine that are sent and not answered
	peerReadBuffer    = 4 << 10                // bytes
)

// envelope is a message between machines as sent over HTTP. It holds a message of either the lease or the replica.
type envelope struct {
	Fleet       string           `json:"fleet"`
	From        string           `json:"from"`
	Incarnation uint64           `json:"life"`
	Lease       []byte           `json:"lease,omitempty"`
	Rollout     *rollout.Message `json:"rollout,omitempty"`
}

func (s *Server) sendEnvelope(to lease.Node, e envelope) {
	p := s.peers[to]
	if p == nil {
		return
	}
	e.Fleet, e.From, e.Incarnation = s.config.Fleet, s.config.Name, s.incarnation
	text, err := json.Marshal(e)
	if err != nil {
		slog.Error("message to a control machine cannot be encoded", "cause", err)
		return
	}
	p.send(text)
}

// receive handles a message of another machine. It returns false if the message is invalid or its sender is not a machine of this fleet.
func (s *Server) receive(text []byte) bool {
	var e envelope
	if json.Unmarshal(text, &e) != nil || e.Fleet != s.config.Fleet || e.Incarnation == 0 {
		return false
	}
	from := lease.NodeOf(e.From)
	if s.peers[from] == nil {
		return false
	}
	switch {
	case e.Rollout != nil:
		s.machine.Receive(from, e.Incarnation, *e.Rollout, s.loop.Now())
	case e.Lease != nil:
		m, ok := lease.ParseMessage(e.Lease)
		if !ok {
			return false
		}
		s.election.receive(from, m)
	}
	return true
}

// peerLink sends messages to another machine, as pipelined requests on one connection. Messages that cannot be sent immediately are dropped;
// the replica and the lease send important ones again.
type peerLink struct {
	server   *Server
	name     string
	address  netip.AddrPort
	stream   *eventloop.Stream // nil: not connected
	sentAt   []time.Duration   // send times of the unacknowledged messages, oldest first
	dialedAt time.Duration
}

func (p *peerLink) send(text []byte) {
	now := p.server.loop.Now()
	if p.stream == nil && !p.dial(now) {
		return
	}
	if len(p.sentAt) >= maxUnacknowledged || p.stream.Unsent() > 2*maxEnvelopeBytes {
		p.server.counters[counterMessagesDropped]++
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/machine"), "Host", p.address.String())
	p.stream.Send(httpwire.AppendLength(head, len(text)), text)
	p.sentAt = append(p.sentAt, now)
	p.server.counters[counterMessagesSent]++
	p.server.counters[counterBytesSent] += len(text)
}

// dial starts to connect, unless the last attempt was less than redialInterval ago. It returns false if no connection was started.
func (p *peerLink) dial(now time.Duration) bool {
	if p.dialedAt > 0 && now-p.dialedAt < redialInterval {
		return false
	}
	p.dialedAt = now
	stream, err := p.server.loop.Dial(p.address, p, peerReadBuffer)
	if err != nil {
		return false
	}
	p.stream = stream
	return true
}

// checkAckTimeout closes a connection whose oldest message has not been acknowledged within ackTimeout. Messages still buffered in it would
// arrive too late, and would delay new ones.
func (p *peerLink) checkAckTimeout() {
	if len(p.sentAt) > 0 && p.server.loop.Now()-p.sentAt[0] > ackTimeout {
		p.close()
	}
}

func (p *peerLink) close() {
	if p.stream != nil {
		p.stream.Close()
	}
	p.stream, p.sentAt = nil, nil
}

// Opened implements eventloop.Handler.
func (p *peerLink) Opened() {}

// Panicked implements eventloop.Handler.
func (p *peerLink) Panicked(error) { p.close() }

// Closed implements eventloop.Handler.
func (p *peerLink) Closed(error) { p.stream, p.sentAt = nil, nil }

// Input implements eventloop.Handler. Each answer acknowledges the oldest unacknowledged message.
func (p *peerLink) Input(in []byte) (consumed int) {
	for {
		_, _, size, last, err := httpwire.Answer(in[consumed:], false)
		if err != nil || last || size > 0 && len(p.sentAt) == 0 {
			p.close()
			return len(in)
		}
		if size == 0 {
			return consumed
		}
		consumed += size
		p.sentAt = p.sentAt[1:]
	}
}

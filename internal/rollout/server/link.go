package server

import (
	"net/netip"
	"time"

	"passtack/internal/httpwire"
	"passtack/internal/loop"
)

// link is the way to another machine: messages one behind the other on one connection. What cannot go at once is lost, and said again by who
// said it.
type peerLink struct {
	server   *Server
	address  netip.AddrPort
	stream   *loop.Stream
	sentAt   []time.Duration // when those were sent that are not taken yet
	dialedAt time.Duration
}

func (k *peerLink) send(text []byte) {
	now := k.server.loop.Now()
	if k.stream == nil {
		if k.dialedAt > 0 && now-k.dialedAt < redialInterval {
			return
		}
		k.dialedAt = now
		var err error
		if k.stream, err = k.server.loop.Dial(k.address, k, 4<<10); err != nil {
			k.stream = nil
			return
		}
	}
	if len(k.sentAt) >= maxUnacknowledged || k.stream.Unsent() > 2*maxEnvelopeBytes {
		k.server.counters["messages_dropped"]++
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/machine"), "Host", k.address.String())
	k.stream.Send(httpwire.AppendLength(head, len(text)), text)
	k.sentAt = append(k.sentAt, now)
	k.server.counters["messages_sent"]++
	k.server.counters["bytes_sent"] += len(text)
}

// look ends a connection on which nothing is taken any more: what lies in it would come late, and what is new waits behind it.
func (k *peerLink) checkAckTimeout() {
	if len(k.sentAt) > 0 && k.server.loop.Now()-k.sentAt[0] > ackTimeout {
		k.close()
	}
}

func (k *peerLink) close() {
	if k.stream != nil {
		k.stream.Close()
	}
	k.stream, k.sentAt = nil, nil
}

func (k *peerLink) Opened()        {}
func (k *peerLink) Panicked(error) { k.close() }
func (k *peerLink) Closed(_ error) { k.stream, k.sentAt = nil, nil }
func (k *peerLink) Input(in []byte) (taken int) {
	for {
		_, _, size, last, err := httpwire.Answer(in[taken:], false)
		if err != nil || last || size > 0 && len(k.sentAt) == 0 {
			k.close()
			return len(in)
		}
		if size == 0 {
			return taken
		}
		taken += size
		k.sentAt = k.sentAt[1:]
	}
}

package server

import (
	"net/netip"
	"time"

	"passtack/internal/httpwire"
	"passtack/internal/loop"
)

// link is the way to another machine: messages one behind the other on one connection. What cannot go at once is lost, and said again by who
// said it.
type link struct {
	server *Server
	to     netip.AddrPort
	stream *loop.Stream
	out    []time.Duration // when those were sent that are not taken yet
	dialed time.Duration
}

func (k *link) send(text []byte) {
	now := k.server.loop.Now()
	if k.stream == nil {
		if k.dialed > 0 && now-k.dialed < dialAgain {
			return
		}
		k.dialed = now
		var err error
		if k.stream, err = k.server.loop.Dial(k.to, k, 4<<10); err != nil {
			k.stream = nil
			return
		}
	}
	if len(k.out) >= mostOut || k.stream.Unsent() > 2*envelopes {
		k.server.counts["messages_dropped"]++
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/machine"), "Host", k.to.String())
	k.stream.Send(httpwire.AppendLength(head, len(text)), text)
	k.out = append(k.out, now)
	k.server.counts["messages_sent"]++
	k.server.counts["bytes_sent"] += len(text)
}

// look ends a connection on which nothing is taken any more: what lies in it would come late, and what is new waits behind it.
func (k *link) look() {
	if len(k.out) > 0 && k.server.loop.Now()-k.out[0] > linger {
		k.end()
	}
}

func (k *link) end() {
	if k.stream != nil {
		k.stream.Close()
	}
	k.stream, k.out = nil, nil
}

func (k *link) Opened()        {}
func (k *link) Panicked(error) { k.end() }
func (k *link) Closed(_ error) { k.stream, k.out = nil, nil }
func (k *link) Input(in []byte) (taken int) {
	for {
		_, _, size, last, err := httpwire.Answer(in[taken:], false)
		if err != nil || last || size > 0 && len(k.out) == 0 {
			k.end()
			return len(in)
		}
		if size == 0 {
			return taken
		}
		taken += size
		k.out = k.out[1:]
	}
}

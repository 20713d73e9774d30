package node

import (
	"errors"
	"log/slog"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/peers"
)

// talk is what a driver needs to speak with the others of its fleet, whatever it is about.
type talk struct {
	node  *Node
	fleet uint64
	me    uint64 // its name, as a number
	life  uint64
	book  *peers.AddressBook
	quiet time.Duration // until when a name used twice is not logged
}

// listen begins to talk, where the operator's file has anything to talk of.
func (n *Node) listen() error {
	fleet := ""
	if n.config.Leases != nil {
		fleet = n.config.Leases.Fleet
	} else if n.config.View != nil {
		fleet = n.config.View.Fleet
	} else {
		return nil
	}
	if n.peers == nil {
		return errors.New("leases, view: the platform gives no peer_listen, so that drivers cannot talk")
	}
	n.talk = &talk{node: n, fleet: xxh3.HashString(fleet), me: xxh3.HashString(n.site.Name), life: uint64(n.loop.Clock()), book: peers.NewAddressBook()}
	if err := n.takePart(); err != nil {
		return err
	}
	n.joinFleet()
	return nil
}

func (t *talk) write(to driver.Peer, kind peers.Kind, body []byte) {
	t.node.Count("letters_sent")
	t.node.Tell(to, peers.Message{Kind: kind, From: t.me, Incarnation: t.life, Body: body}.Encode(t.fleet))
}

// take reads a text of another driver; false: it is no letter.
func (t *talk) take(from driver.Peer, text []byte) bool {
	n := t.node
	letter, err := peers.ParseMessage(text, t.fleet)
	switch err {
	case nil:
	case peers.ErrNoMessage:
		return false
	default:
		n.Count(map[error]string{peers.ErrUnknownVersion: "letters_other_version", peers.ErrChecksum: "letters_strange"}[err])
		return true
	}
	n.Count("letters_taken")
	now := n.loop.Clock()
	if letter.From == t.me {
		if letter.Incarnation != t.life {
			t.twice(n.site.Name)
			if n.leases != nil {
				n.leases.voter.Silence(now)
			}
		}
		return true
	}
	if t.book.Record(from, letter, now) {
		t.twice("another")
	}
	switch {
	case letter.Kind == peers.Membership && n.membership != nil:
		n.membership.receive(from, letter.Body)
	case letter.Kind == peers.Drain && n.membership != nil:
		n.membership.drainGossip.receive(letter.Body)
	case n.leases != nil:
		n.leases.read(letter)
	}
	return true
}

// twice tells of two drivers of one name.
func (t *talk) twice(name string) {
	t.node.Count("names_twice")
	if now := t.node.loop.Now(); now >= t.quiet {
		t.quiet = now + quietFor
		slog.Warn("name_twice", "driver", name)
	}
}

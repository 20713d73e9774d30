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
type messenger struct {
	node        *Node
	fleet       uint64
	self        uint64 // its name, as a number
	incarnation uint64
	addresses   *peers.AddressBook
	quiet       time.Duration // until when a name used twice is not logged
}

// listen begins to talk, where the operator's file has anything to talk of.
func (n *Node) startMessaging() error {
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
	n.messenger = &messenger{node: n, fleet: xxh3.HashString(fleet), self: xxh3.HashString(n.site.Name), incarnation: uint64(n.loop.Clock()), addresses: peers.NewAddressBook()}
	if err := n.startLeases(); err != nil {
		return err
	}
	n.viewFleet()
	return nil
}

func (t *messenger) send(to driver.Peer, kind peers.Kind, body []byte) {
	t.node.Count("letters_sent")
	t.node.Tell(to, peers.Message{Kind: kind, From: t.self, Incarnation: t.incarnation, Body: body}.Encode(t.fleet))
}

// take reads a text of another driver; false: it is no letter.
func (t *messenger) receive(from driver.Peer, text []byte) bool {
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
	if letter.From == t.self {
		if letter.Incarnation != t.incarnation {
			t.twice(n.site.Name)
			if n.leases != nil {
				n.leases.voter.Silence(now)
			}
		}
		return true
	}
	if t.addresses.Record(from, letter, now) {
		t.twice("another")
	}
	switch {
	case letter.Kind == peers.Membership && n.view != nil:
		n.view.take(from, letter.Body)
	case letter.Kind == peers.Drain && n.view != nil:
		n.view.drains.heard(letter.Body)
	case n.leases != nil:
		n.leases.read(letter)
	}
	return true
}

// twice tells of two drivers of one name.
func (t *messenger) twice(name string) {
	t.node.Count("names_twice")
	if now := t.node.loop.Now(); now >= t.quiet {
		t.quiet = now + quietFor
		slog.Warn("name_twice", "driver", name)
	}
}

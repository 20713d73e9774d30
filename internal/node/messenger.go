package node

import (
	"errors"
	"log/slog"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/peers"
)

// messenger exchanges messages with the other drivers of the fleet. It passes received messages to the fleet's membership, to the gossip
// about draining members and to the leases.
type messenger struct {
	node                 *Node
	fleet                uint64 // xxh3 of the fleet's name
	self                 uint64 // xxh3 of this driver's name
	incarnation          uint64 // of this process
	addresses            *peers.AddressBook
	duplicateNameWarning logLimiter
}

// startMessaging starts the messenger and the parts that use it, if the operator's file asks for leases or membership.
func (n *Node) startMessaging() error {
	fleet := ""
	if n.config.Leases != nil {
		fleet = n.config.Leases.Fleet
	} else if n.config.Membership != nil {
		fleet = n.config.Membership.Fleet
	} else {
		return nil
	}
	if n.peers == nil {
		return errors.New("leases, view: the platform's file has no peer_listen, which drivers need to exchange messages")
	}
	n.messenger = &messenger{
		node: n, fleet: xxh3.HashString(fleet), self: xxh3.HashString(n.site.Name), incarnation: uint64(n.loop.Clock()),
		addresses: peers.NewAddressBook(),
	}
	n.startLeases()
	n.joinFleet()
	return nil
}

// send sends a message to one driver, or to all drivers if to is driver.EveryPeer.
func (m *messenger) send(to driver.Peer, kind peers.Kind, body []byte) {
	m.node.Count("peer_messages_sent")
	m.node.sendPeerMessage(to, peers.Message{Kind: kind, From: m.self, Incarnation: m.incarnation, Body: body}.Encode(m.fleet))
}

// receive processes a datagram from another driver. It returns false if the datagram is not a message of a messenger; the caller then
// passes it to the decision module.
func (m *messenger) receive(from driver.Peer, datagram []byte) bool {
	n := m.node
	message, err := peers.ParseMessage(datagram, m.fleet)
	switch {
	case errors.Is(err, peers.ErrNoMessage):
		return false
	case errors.Is(err, peers.ErrUnknownVersion):
		n.Count("peer_messages_unknown_version")
		return true
	case err != nil:
		n.Count("peer_messages_rejected")
		return true
	}
	n.Count("peer_messages_received")
	now := n.loop.Clock()
	if message.From == m.self {
		if message.Incarnation != m.incarnation {
			m.warnDuplicateName(n.site.Name)
			if n.leases != nil {
				n.leases.voter.Silence(now)
			}
		}
		return true
	}
	if m.addresses.Record(from, message, now) {
		m.warnDuplicateName("another")
	}
	switch {
	case message.Kind == peers.Membership && n.membership != nil:
		n.membership.receive(from, message.Body)
	case message.Kind == peers.Drain && n.membership != nil:
		n.membership.drainGossip.receive(message.Body)
	case n.leases != nil:
		n.leases.handleMessage(message)
	}
	return true
}

// warnDuplicateName warns that two processes use one driver name.
func (m *messenger) warnDuplicateName(name string) {
	m.node.Count("duplicate_names")
	if m.duplicateNameWarning.allow(m.node.loop.Now()) {
		slog.Warn("duplicate driver name", "driver", name)
	}
}

package node

import (
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/lease"
	"passtack/internal/peers"
)

// Bounds of the interval between two Hellos, which doubles while the address of a voter is unknown.
const (
	minHelloInterval = time.Second
	maxHelloInterval = 8 * time.Second
)

// helloAnswer is the body of a Hello that answers another.
var helloAnswer = []byte{1}

// sendHello sends a Hello to all drivers while the address of a voter is unknown: voters answer, and so their addresses become known. A
// voter that has just started sends it too, since another process may vote under its name.
func (s *leaseService) sendHello() {
	n := s.node
	addressMissing := slices.ContainsFunc(s.config.VoterSet().All(), func(voter lease.Node) bool {
		_, known := s.messenger.addresses.Address(uint64(voter))
		return voter != s.holder.Node && !known
	})
	if addressMissing || s.voter.IsVoter() && s.voter.SilentFor(s.clock()) > 0 {
		n.Count("lease_hellos_sent")
		s.messenger.send(driver.EveryPeer, peers.Hello, nil)
		s.helloInterval = min(max(2*s.helloInterval, minHelloInterval), maxHelloInterval)
	} else {
		s.helloInterval = minHelloInterval
	}
	n.loop.At(n.loop.Now()+s.helloInterval, s.sendHello)
}

// handleHello answers a Hello from a known driver, if this driver is a voter. A Hello that is itself an answer gets none.
func (s *leaseService) handleHello(from lease.Node, m peers.Message) {
	if _, known := s.messenger.addresses.Address(uint64(from)); known && s.voter.IsVoter() && len(m.Body) == 0 {
		s.sendTo(from, peers.Hello, helloAnswer)
	}
}

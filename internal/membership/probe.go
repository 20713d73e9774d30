package membership

import (
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

const (
	// indirectProbers is how many other drivers are asked to probe a driver that does not answer.
	indirectProbers = 3
	// unknownAddressRounds is every how many probes one goes to an address of which no active driver is known.
	unknownAddressRounds = 10
	// unknownAddressRoundsAfterFind applies instead for as long as such probes find drivers.
	unknownAddressRoundsAfterFind = 2
)

// prober is the state of the failure detector: which probe is out, which comes next, and those made for other drivers.
type prober struct {
	pending      probe
	nextAt       time.Duration
	rounds       int
	order        []NodeID // of the drivers to probe next
	unknownFound bool     // a probe of an unknown address was answered: there may be more drivers
	relays       map[uint32]relayedProbe
}

// probe is a ping that waits for its answer. Its zero value is none.
type probe struct {
	sequence    uint32
	node        NodeID
	sentAt      time.Duration
	indirect    bool // other drivers were asked to probe
	helperCount int  // of those that agreed to
}

func (p *probe) outstanding() bool { return p.sequence != 0 }

// relayedProbe is a ping that this driver sends for another.
type relayedProbe struct {
	requester driver.Peer
	sequence  uint32 // of the requester's own probe
	expiresAt time.Duration
}

// indirectProbeAt is when other drivers are asked to help with the pending probe.
func (l *List) indirectProbeAt() time.Duration {
	return l.prober.pending.sentAt + l.health.scale(l.config.ProbeInterval/3)
}

// sendProbe pings the next driver.
func (l *List) sendProbe(now time.Duration) {
	p := &l.prober
	p.nextAt = now + l.config.ProbeInterval
	p.rounds++
	sequence := l.nextSequence()
	unknownDue := p.rounds%unknownAddressRounds == 0 || p.unknownFound && p.rounds%unknownAddressRoundsAfterFind == 0
	if unknownDue && l.probeUnknownAddress() {
		p.unknownFound = false
		return
	}
	node := p.next(&l.nodes, l.self, l.random)
	if node == nil {
		l.probeUnknownAddress()
		return
	}
	p.pending = probe{sequence: sequence, node: node.ID, sentAt: now}
	l.send(node.address, header{kind: kindPing, sequence: sequence}, node)
}

// next is the driver to probe: each in turn, in an order that is drawn anew for each round.
func (p *prober) next(nodes *nodeTable, self *nodeState, random *pcg.Source) *nodeState {
	for range 2 {
		for len(p.order) > 0 {
			node := nodes.get(p.order[0])
			p.order = p.order[1:]
			if node != nil && node != self && node.probeable() {
				return node
			}
		}
		for _, node := range nodes.sorted {
			p.order = append(p.order, node.ID)
		}
		shuffle(p.order, random)
	}
	return nil
}

// shuffle puts the items in random order.
func shuffle[T any](items []T, random *pcg.Source) {
	for i := range items {
		j := random.Below(i + 1)
		items[i], items[j] = items[j], items[i]
	}
}

// probeUnknownAddress pings an address of which no active driver is known, where there is one: a dead driver may be back, and a partition may have healed.
func (l *List) probeUnknownAddress() bool {
	known := make(map[driver.Peer]bool)
	for _, node := range l.nodes.sorted {
		if node != l.self && node.probeable() {
			known[node.address] = true
		}
	}
	count := l.host.PeerCount()
	first := l.random.Below(max(count, 1))
	for i := range count {
		if address := driver.Peer((first + i) % count); !known[address] {
			l.send(address, header{kind: kindPing}, nil)
			return true
		}
	}
	return false
}

// requestIndirectProbes asks other drivers to ping the one that has not answered.
func (l *List) requestIndirectProbes() {
	l.prober.pending.indirect = true
	target := l.nodes.get(l.prober.pending.node)
	if target == nil {
		return
	}
	var helpers []*nodeState
	for _, node := range l.nodes.sorted {
		if node != target && node != l.self && node.Status == Alive && node.reachable {
			helpers = append(helpers, node)
		}
	}
	for range min(indirectProbers, len(helpers)) {
		i := l.random.Below(len(helpers))
		l.send(helpers[i].address, header{kind: kindPingRequest, sequence: l.prober.pending.sequence, target: target.ID}, nil)
		helpers = slices.Delete(helpers, i, i+1)
	}
}

// finishProbe suspects the driver of the pending probe if no answer has come by any way. It reports whether the next probe may be sent: a driver
// that is slow itself waits for longer.
func (l *List) finishProbe(now time.Duration) bool {
	pending := l.prober.pending
	node := l.nodes.get(pending.node)
	if !pending.outstanding() || node == nil || node.lastSeenAt >= pending.sentAt {
		l.prober.pending = probe{}
		return true
	}
	if deadline := pending.sentAt + l.health.scale(l.config.ProbeInterval); now < deadline {
		l.prober.nextAt = deadline
		return false
	}
	l.prober.pending = probe{}
	if pending.indirect && pending.helperCount == 0 { // no helper answered either: this driver may be the one that is cut off
		l.health.degrade(1)
	}
	if now >= l.health.suspicionSuppressedUntil && node.Status < Dead {
		l.suspect(node, SuspectorID(l.self.ID), now, "no answer to "+l.self.Name)
	}
	return true
}

// relayProbe pings a driver for another one, which could not reach it.
func (l *List) relayProbe(requester driver.Peer, m message, now time.Duration) {
	if target := l.nodes.get(m.target); target != nil && target.reachable {
		sequence := l.nextSequence()
		l.prober.relays[sequence] = relayedProbe{requester, m.sequence, now + l.config.ProbeInterval}
		l.send(target.address, header{kind: kindPing, sequence: sequence}, nil)
		l.send(requester, header{kind: kindPingRequestAccepted, sequence: m.sequence}, nil)
	}
	for sequence, relay := range l.prober.relays {
		if now > relay.expiresAt {
			delete(l.prober.relays, sequence)
		}
	}
}

// receiveAck forwards the answer to a relayed probe, or ends the pending one.
func (l *List) receiveAck(m message, now time.Duration) {
	if relay, found := l.prober.relays[m.sequence]; found && m.sequence != 0 {
		delete(l.prober.relays, m.sequence)
		l.send(relay.requester, header{kind: kindIndirectAck, sequence: relay.sequence, target: m.sender.ID}, nil)
	}
	l.completeProbe(m.sequence, m.sender.ID, now)
}

// receiveHelperAgreed counts a driver that was asked to probe and does so.
func (l *List) receiveHelperAgreed(m message) {
	if m.sequence == l.prober.pending.sequence {
		l.prober.pending.helperCount++
	}
}

// completeProbe ends the pending probe, if this is its answer.
func (l *List) completeProbe(sequence uint32, from NodeID, now time.Duration) {
	if sequence == 0 || sequence != l.prober.pending.sequence || from != l.prober.pending.node {
		return
	}
	l.prober.pending = probe{}
	l.health.improve()
	if node := l.nodes.get(from); node != nil {
		node.lastSeenAt = now
	}
}

package membership

import (
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

const (
	// indirectProbers is the number of other drivers that are asked to probe a driver that does not answer.
	indirectProbers = 3
	// probesPerUnknownAddress: one in this many probes goes to an address at which no active driver is known.
	probesPerUnknownAddress = 10
	// probesPerUnknownAddressAfterAnswer applies instead as long as such probes find drivers.
	probesPerUnknownAddressAfterAnswer = 2
)

// prober is the state of the failure detector: the pending probe, the next ones, and those relayed for other drivers.
type prober struct {
	pending                probe
	nextProbeAt            time.Duration
	probeCount             int      // number of probes so far
	order                  []NodeID // the drivers to probe next
	unknownAddressAnswered bool     // a probe of an unknown address was answered, so there may be more unknown drivers
	relays                 map[uint32]relayedProbe
}

// probe is a ping that waits for its answer. The zero value means that there is none.
type probe struct {
	sequence    uint32
	node        NodeID
	sentAt      time.Duration
	indirect    bool // other drivers were asked to probe the node
	helperCount int  // number of those drivers that accepted
}

func (p *probe) outstanding() bool { return p.sequence != 0 }

// relayedProbe is a ping that this driver has sent on behalf of another.
type relayedProbe struct {
	requester driver.Peer
	sequence  uint32 // of the requester's probe
	expiresAt time.Duration
}

// indirectProbeAt returns when other drivers are to be asked to help with the pending probe.
func (l *List) indirectProbeAt() time.Duration {
	return l.prober.pending.sentAt + l.health.scale(l.config.ProbeInterval/3)
}

// sendProbe pings the next driver.
func (l *List) sendProbe(now time.Duration) {
	p := &l.prober
	p.nextProbeAt = now + l.config.ProbeInterval
	p.probeCount++
	sequence := l.nextSequence()
	unknownDue := p.probeCount%probesPerUnknownAddress == 0 || p.unknownAddressAnswered && p.probeCount%probesPerUnknownAddressAfterAnswer == 0
	if unknownDue && l.probeUnknownAddress() {
		p.unknownAddressAnswered = false
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

// next returns the driver to probe: each in turn, in a new random order for each pass through the list.
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

// shuffle puts the items in a random order.
func shuffle[T any](items []T, random *pcg.Source) {
	for i := range items {
		j := random.Below(i + 1)
		items[i], items[j] = items[j], items[i]
	}
}

// probeUnknownAddress pings an address at which no active driver is known, and reports whether there is one: a dead driver may have returned, or a
// partition may have healed.
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

// requestIndirectProbes asks other drivers to ping the driver that has not answered.
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

// finishProbe ends the pending probe, and suspects its driver if no answer came, direct or indirect. It reports whether the next probe may be sent:
// if this driver is slow itself, it waits longer for the answer.
func (l *List) finishProbe(now time.Duration) bool {
	pending := l.prober.pending
	node := l.nodes.get(pending.node)
	if !pending.outstanding() || node == nil || node.lastSeenAt >= pending.sentAt {
		l.prober.pending = probe{}
		return true
	}
	if deadline := pending.sentAt + l.health.scale(l.config.ProbeInterval); now < deadline {
		l.prober.nextProbeAt = deadline
		return false
	}
	l.prober.pending = probe{}
	if pending.indirect && pending.helperCount == 0 { // none of the other drivers answered either: this driver may be the one that is cut off
		l.health.degrade(1)
	}
	if now >= l.health.suspicionSuppressedUntil && node.Status < Dead {
		l.suspect(node, SuspectorID(l.self.ID), now, "no answer to "+l.self.Name)
	}
	return true
}

// relayProbe pings a driver on behalf of another one that got no answer from it.
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

// receiveAck processes the answer to a relayed probe, which it forwards, or to the pending probe.
func (l *List) receiveAck(m message, now time.Duration) {
	if relay, found := l.prober.relays[m.sequence]; found && m.sequence != 0 {
		delete(l.prober.relays, m.sequence)
		l.send(relay.requester, header{kind: kindIndirectAck, sequence: relay.sequence, target: m.sender.ID}, nil)
	}
	l.completeProbe(m.sequence, m.sender.ID, now)
}

// receivePingRequestAccepted counts a driver that has accepted to ping the node of the pending probe.
func (l *List) receivePingRequestAccepted(m message) {
	if m.sequence == l.prober.pending.sequence {
		l.prober.pending.helperCount++
	}
}

// completeProbe ends the pending probe if the sequence number and sender are those of its answer.
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

// Package membership maintains one driver's list of the other drivers of its fleet. The protocol is SWIM (Das, Gupta and Motivala, 2002) with
// refinements of Lifeguard, over datagrams that may be lost; docs/fleet.md describes it and its guarantees. The package does no I/O: it is given
// datagrams and times, and sends through a Host. The list is a hint: correctness does not depend on it.
//
// Each driver probes one other driver at a time, round robin in random order, and asks further drivers to probe it if no answer comes. A driver that
// does not answer is suspect for some time before it is declared dead; only the driver itself can refute the suspicion, by a higher refutation
// number. Changes are piggybacked on these messages. A driver that receives a checksum other than that of its own list syncs the entries that
// differ (anti-entropy).
package membership

import (
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

// deadRetentionProbes is the time, in probe intervals, after which a driver that is dead or has left is removed from the list.
const deadRetentionProbes = 600

// Host sends the datagrams of a list and is notified of status changes.
type Host interface {
	// Send sends a datagram to an address.
	Send(to driver.Peer, datagram []byte)
	// PeerCount returns the number of addresses. Some may be unused, and one may be this driver's own.
	PeerCount() int
	// StatusChanged is called after each change of a driver's status, with a reason for operators.
	StatusChanged(e Entry, reason string)
}

// Config is the configuration of a list. It does not change after New.
type Config struct {
	ProbeInterval time.Duration
	Incarnation   uint64 // of this driver
}

// Stats are counters since the list was created.
type Stats struct {
	Sent, Received int // messages
	SentBytes      int
	Malformed      int // received datagrams that could not be decoded
	Pauses         int // times that this process was suspended or starved of processor time
}

// List is one driver's membership list.
type List struct {
	host       Host
	config     Config
	random     *pcg.Source
	self       *nodeState
	nodes      nodeTable
	tombstones tombstones
	broadcasts broadcastQueue
	prober     prober
	sync       syncSession
	health     localHealth
	sequence   uint32        // latest sequence number of a probe or sync request
	lastActive time.Duration // latest time that Wake or Receive was called
	left       bool          // true once this driver has announced its shutdown
	stats      Stats
}

// New returns a list that holds only this driver, and pings all addresses to announce the driver.
func New(host Host, name string, config Config, seed uint64, now time.Duration) *List {
	l := &List{
		host: host, config: config, random: pcg.New(seed),
		nodes: newNodeTable(), tombstones: make(tombstones),
		prober:     prober{nextProbeAt: now, relays: make(map[uint32]relayedProbe)},
		lastActive: now,
	}
	self := Entry{ID: NodeIDOf(name), Name: name[:min(len(name), maxNameLength)], Incarnation: config.Incarnation}
	l.self = &nodeState{Entry: self, statusSince: now, lastSeenAt: now}
	l.addNode(l.self)
	for address := range host.PeerCount() {
		l.send(driver.Peer(address), header{kind: kindPing}, nil)
	}
	return l
}

// NextWake returns when Wake is to be called next. Any other call may change the result.
func (l *List) NextWake() time.Duration {
	at := l.prober.nextProbeAt
	if pending := &l.prober.pending; pending.outstanding() && !pending.indirect {
		at = min(at, l.indirectProbeAt())
	}
	for _, node := range l.nodes.sorted {
		if node.Status == Suspect {
			at = min(at, l.nextSuspicionEvent(node))
		}
	}
	return at
}

// Wake does what is due: it ends suspicions and probes, and sends the next ones.
func (l *List) Wake(now time.Duration) {
	l.detectPause(now)
	l.lastActive = now
	if l.left {
		l.prober.nextProbeAt = now + l.config.ProbeInterval
		return
	}
	l.advanceSuspicions(now)
	if pending := &l.prober.pending; pending.outstanding() && !pending.indirect && now >= l.indirectProbeAt() {
		l.requestIndirectProbes()
	}
	if now >= l.prober.nextProbeAt && l.finishProbe(now) {
		l.sendProbe(now)
	}
}

// Receive processes a datagram that came from an address.
func (l *List) Receive(from driver.Peer, datagram []byte, now time.Duration) {
	m, ok := decodeMessage(datagram)
	if !ok {
		l.stats.Malformed++
		return
	}
	l.stats.Received++
	l.detectPause(now)
	l.lastActive = max(l.lastActive, now)
	sender := l.merge(m.sender, fromItself, now)
	if sender == nil {
		return
	}
	if m.kind == kindAck && m.sequence == 0 && m.sender.Status == Alive && !sender.probeable() {
		l.prober.unknownAddressAnswered = true
	}
	sender.address, sender.reachable, sender.lastSeenAt = from, true, now
	for _, e := range m.entries {
		l.merge(e, fromOther, now)
	}
	if l.left {
		return
	}
	l.handle(from, m, sender, now)
	if m.checksum != l.Checksum() && !l.justStarted(sender, now) {
		l.startSync(from, now)
	}
}

// handle responds to a message by its kind, after its entries were merged.
func (l *List) handle(from driver.Peer, m message, sender *nodeState, now time.Duration) {
	switch m.kind {
	case kindPing:
		l.send(from, header{kind: kindAck, sequence: m.sequence}, sender)
	case kindAck:
		l.receiveAck(m, now)
	case kindPingRequest:
		l.relayProbe(from, m, now)
	case kindPingRequestAccepted:
		l.receivePingRequestAccepted(m)
	case kindIndirectAck:
		l.completeProbe(m.sequence, m.target, now)
	case kindSyncRequest:
		l.sendSyncResponse(from, m)
	case kindSyncResponse:
		l.receiveSyncResponse(from, m, now)
	}
}

// nextSequence returns a sequence number that no recent probe or sync request of this driver has used. It is never 0, which means that no answer
// is expected.
func (l *List) nextSequence() uint32 {
	l.sequence = max(l.sequence+1, 1)
	return l.sequence
}

// UpdateSummary publishes this driver's summary if it has changed significantly.
func (l *List) UpdateSummary(s Summary) {
	old := &l.self.Summary
	if s.ReadyPercent == old.ReadyPercent && s.ListRevision == old.ListRevision && similarRates(s.RequestRate, old.RequestRate) {
		return
	}
	s.Sequence = old.Sequence + 1
	*old = s
	l.broadcast(l.self)
}

// similarRates reports whether two rates differ by at most a quarter of the higher one.
func similarRates(a, b uint16) bool { return max(a, b)-min(a, b) <= max(a, b)/4 }

// Leave announces this driver's shutdown to some other drivers. Afterwards the list only receives.
func (l *List) Leave() {
	if l.left {
		return
	}
	l.left = true
	l.self.Status = Left
	l.broadcast(l.self)
	const maxAnnouncements = 6
	sent := 0
	for _, node := range l.nodes.sorted {
		if node != l.self && node.Status == Alive && node.reachable && sent < maxAnnouncements {
			l.send(node.address, header{kind: kindAck}, nil)
			sent++
		}
	}
}

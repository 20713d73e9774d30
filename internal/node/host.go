package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/driver"
)

// moduleHost implements driver.Host, the interface through which the decision module acts. Most methods call one part of the
// node; that part and package driver describe them in full.
type moduleHost struct {
	node  *Node
	fault error // fatal error of the module, nil if there is none
}

// Now returns the time at which the event loop's current iteration began.
func (h *moduleHost) Now() time.Duration { return h.node.loop.Now() }

// Attempt sends an RPC to a member.
func (h *moduleHost) Attempt(id driver.RPC, to driver.Member, writeDeadline, timeout time.Duration) {
	h.node.rpcs.attempt(id, to, writeDeadline, timeout)
}

// Cancel cancels an attempt that is in flight.
func (h *moduleHost) Cancel(id driver.RPC, attempt int) { h.node.rpcs.cancel(id, attempt) }

// PushBack gives an RPC its final answer: it is rejected, and the client may safely retry it.
func (h *moduleHost) PushBack(id driver.RPC, retryAfter time.Duration) {
	h.node.rpcs.pushBack(id, retryAfter)
}

// Abort gives an RPC its final answer: it failed and may have run.
func (h *moduleHost) Abort(id driver.RPC) { h.node.rpcs.abort(id) }

// Probe sends a health check to a member.
func (h *moduleHost) Probe(m driver.Member) { h.node.members.probe(m) }

// CloseIdle closes the idle connections to a member.
func (h *moduleHost) CloseIdle(m driver.Member) { h.node.members.closeIdle(m) }

// SetAvailable tells the connection pools whether a member may get attempts.
func (h *moduleHost) SetAvailable(m driver.Member, available bool) {
	h.node.members.setAvailable(m, available)
}

// SessionWrote persists the position of the latest write of a session.
func (h *moduleHost) SessionWrote(session driver.Session, commit time.Duration) {
	h.node.learned.sessionWrote(session, commit)
}

// Forget removes a member from the node.
func (h *moduleHost) Forget(m driver.Member) { h.node.members.forget(m) }

// Watch starts or stops watching the endpoint list.
func (h *moduleHost) Watch(on bool) { h.node.discovery.SetWatching(on) }

// FetchList requests the complete endpoint list.
func (h *moduleHost) FetchList() { h.node.discovery.Fetch() }

// Tell sends a message to another driver.
func (h *moduleHost) Tell(to driver.Peer, message []byte) { h.node.sendPeerMessage(to, message) }

// WakeAfter schedules the module's next tick.
func (h *moduleHost) WakeAfter(wait time.Duration) { h.node.timer.wakeAfter(wait) }

// Log writes a line of the module to the log. A line that was logged shortly before is only counted.
func (h *moduleHost) Log(line string) {
	n := h.node
	if !n.moduleLog.write(line, n.loop.Now()) {
		n.Count("log_lines_repeated")
	}
}

// Fault stops the driver after a fatal error of the module.
func (h *moduleHost) Fault(reason string) {
	h.fault = errors.New(reason)
	slog.Error("decision module failed", "cause", reason)
	h.node.loop.Stop()
}

// sendPeerMessage sends a message to another driver, if the site has an address for messages between drivers.
func (n *Node) sendPeerMessage(to driver.Peer, message []byte) {
	if n.peers != nil {
		n.Count("peer_datagrams_sent")
		n.peers.Send(to, message)
	}
}

// receivePeerMessage handles a message of another driver. Messages that the messenger does not handle go to the module.
func (n *Node) receivePeerMessage(from driver.Peer, message []byte) {
	n.Count("peer_datagrams_received")
	if n.messenger == nil || !n.messenger.receive(from, message) {
		n.module.PeerMessage(from, message)
	}
}

package node

import (
	"errors"
	"log/slog"
	"time"

	"passtack/driver"
)

// moduleHost is the driver.Host through which the decision module acts. Methods that only pass a call on to one part of the
// node are described there and in package driver.
type moduleHost struct {
	node  *Node
	fault error // why the module cannot go on, nil while it can
}

// Now returns the time of the event loop's iteration.
func (h *moduleHost) Now() time.Duration { return h.node.loop.Now() }

// Attempt sends an RPC to a member.
func (h *moduleHost) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	h.node.rpcs.attempt(id, to, by, timeout)
}

// Cancel cancels an attempt that is in flight.
func (h *moduleHost) Cancel(id driver.RPC, attempt int) { h.node.rpcs.cancel(id, attempt) }

// PushBack gives an RPC its final answer: rejected, and when to retry.
func (h *moduleHost) PushBack(id driver.RPC, retryAfter time.Duration) {
	h.node.rpcs.pushBack(id, retryAfter)
}

// Abort gives an RPC its final answer: it failed, and may have run.
func (h *moduleHost) Abort(id driver.RPC) { h.node.rpcs.abort(id) }

// Probe sends a health check to a member.
func (h *moduleHost) Probe(m driver.Member) { h.node.members.probe(m) }

// CloseIdle closes the idle connections to a member.
func (h *moduleHost) CloseIdle(m driver.Member) { h.node.members.closeIdle(m) }

// Remembered persists the latest write of a session.
func (h *moduleHost) Remembered(session driver.Session, commit time.Duration) {
	h.node.learned.sessionWrote(session, commit)
}

// Forget removes a member.
func (h *moduleHost) Forget(m driver.Member) { h.node.members.forget(m) }

// Watch starts or stops the watch on the endpoint list.
func (h *moduleHost) Watch(on bool) { h.node.discovery.SetWatching(on) }

// FetchList requests the complete endpoint list.
func (h *moduleHost) FetchList() { h.node.discovery.Fetch() }

// Tell sends a message to another driver.
func (h *moduleHost) Tell(to driver.Peer, message []byte) { h.node.sendPeerMessage(to, message) }

// WakeAfter schedules the module's next tick.
func (h *moduleHost) WakeAfter(wait time.Duration) { h.node.timer.wakeAfter(wait) }

// Log logs a line, and counts one that is a repetition instead.
func (h *moduleHost) Log(line string) {
	n := h.node
	if !n.moduleLog.write(line, n.loop.Now()) {
		n.Count("log_lines_repeated")
	}
}

// Fault stops the driver, because the module cannot go on.
func (h *moduleHost) Fault(why string) {
	h.fault = errors.New(why)
	slog.Error("decision module failed", "cause", why)
	h.node.loop.Stop()
}

// sendPeerMessage sends a message to another driver, if the site has an address for messages between drivers.
func (n *Node) sendPeerMessage(to driver.Peer, message []byte) {
	if n.peers != nil {
		n.Count("peer_datagrams_sent")
		n.peers.Send(to, message)
	}
}

// takePeerMessage passes a message of another driver to the parts that talk with other drivers, and any other one to the module.
func (n *Node) takePeerMessage(from driver.Peer, message []byte) {
	n.Count("peer_datagrams_received")
	if n.messenger == nil || !n.messenger.receive(from, message) {
		n.module.PeerMessage(from, message)
	}
}

// Package recovery controls how a driver recovers after a start: it limits how many connections to members are opened at once and
// tracks the stage of the recovery. It does no I/O and reads no clock: the caller reports events and their times. Package rules
// decides which member an RPC is sent to.
package recovery

import "time"

const (
	initialWindow = 8   // limit of pending connections at the start
	maxWindow     = 256 // highest limit of pending connections
	slowFraction  = 0.2 // fraction of the connect timeout; a connection that takes longer shows that the members are overloaded with handshakes
	reduceFactor  = 0.7 // factor by which a slow or failed connection reduces the window
)

// ConnectLimiter limits how many connections to members a driver opens at once. The window is small at first, so that many drivers
// that start together do not request more handshakes than the members can do. Each connection that is established quickly enlarges
// the window by one, which doubles it with each round of handshakes; slow and failed connections reduce it.
type ConnectLimiter struct {
	window        float64 // limit of pending connections
	pending       int     // connections that are being opened
	slowThreshold time.Duration
	reducedAt     time.Duration // time of the last reduction of the window
	memberLimit   int           // highest number of connections to one member; 0: no limit
}

// MemberConnections counts the connections to one member. The limit of pending connections is the number of established ones, but at
// least one; while the member is slow, it is one.
type MemberConnections struct {
	pending, established int
	slow                 bool // the latest connection was slow or failed
}

// NewConnectLimiter returns the limiter of a driver that has just started. timeout is the connect timeout.
func NewConnectLimiter(timeout time.Duration) ConnectLimiter {
	l := ConnectLimiter{window: initialWindow}
	l.SetTimeout(timeout)
	return l
}

// SetTimeout changes the connect timeout.
func (l *ConnectLimiter) SetTimeout(timeout time.Duration) {
	l.slowThreshold = max(time.Duration(slowFraction*float64(timeout)), time.Millisecond)
}

// SetMemberLimit limits the connections to one member, pending and established. 0 means no limit.
func (l *ConnectLimiter) SetMemberLimit(limit int) { l.memberLimit = limit }

// Excess returns by how many the connections to a member exceed the limit.
func (l *ConnectLimiter) Excess(m *MemberConnections) int {
	if l.memberLimit == 0 {
		return 0
	}
	return max(m.pending+m.established-l.memberLimit, 0)
}

// AtMemberLimit reports whether the connections to a member have reached the limit.
func (l *ConnectLimiter) AtMemberLimit(m *MemberConnections) bool {
	return l.memberLimit > 0 && m.pending+m.established >= l.memberLimit
}

// MayConnect reports whether one more connection to a member may be opened now.
func (l *ConnectLimiter) MayConnect(m *MemberConnections) bool {
	if l.AtMemberLimit(m) {
		return false
	}
	maxPending := 1
	if !m.slow {
		maxPending = max(m.established, 1)
	}
	return m.pending < maxPending && l.pending < int(l.window)
}

// Started counts a new connection as pending, until Established or Failed.
func (l *ConnectLimiter) Started(m *MemberConnections) {
	l.pending++
	m.pending++
}

// Established counts a pending connection as established, until Closed. took is the time since it was started.
func (l *ConnectLimiter) Established(m *MemberConnections, took, now time.Duration) {
	l.pending--
	m.pending--
	m.established++
	if m.slow = took > l.slowThreshold; m.slow {
		l.reduce(took, now)
		return
	}
	l.window = min(l.window+1, maxWindow)
}

// Failed removes a pending connection that could not be established or was given up. took is the time since it was started.
func (l *ConnectLimiter) Failed(m *MemberConnections, took, now time.Duration) {
	l.pending--
	m.pending--
	m.slow = true
	l.reduce(took, now)
}

// Closed removes an established connection.
func (l *ConnectLimiter) Closed(m *MemberConnections) { m.established-- }

// None reports whether the member has no connection, neither pending nor established. If it has none after a connection failed, all
// attempts that wait for a connection may fail too.
func (m *MemberConnections) None() bool { return m.established == 0 && m.pending == 0 }

// reduce makes the window smaller. A connection that was started before the last reduction does not reduce it again.
func (l *ConnectLimiter) reduce(took, now time.Duration) {
	if now-took >= l.reducedAt {
		l.window, l.reducedAt = max(l.window*reduceFactor, 1), now
	}
}

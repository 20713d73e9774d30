// Package recovery decides how a driver recovers after a start: how many connections to members it opens at once, and in which
// stage of the recovery it is. It does no I/O and reads no clock: the caller reports what happens, and when. Which member an
// RPC goes to is decided elsewhere.
package recovery

import "time"

const (
	initialWindow = 8   // connections that may come up at once before any has
	maxWindow     = 256 // connections that may come up at once
	slowFraction  = 0.2 // of the connect timeout: a connection that takes longer shows that the members are asked for too many
	reduceFactor  = 0.7 // by which the window is multiplied when that shows
)

// ConnectLimiter limits how many connections to members a driver opens at once. It starts with few, so that many drivers that
// start together do not ask more handshakes of the members than these can do. Each connection that is established quickly
// allows one more, which doubles the window with every handshake; slow ones and failures reduce it.
type ConnectLimiter struct {
	window        float64 // connections that may come up at once
	pending       int     // connections that are coming up
	slowThreshold time.Duration
	reducedAt     time.Duration // when the window was last reduced
	memberLimit   int           // of connections to one member; 0: none
}

// MemberConnections counts the connections to one member. As many may come up as are established, one at least, and only one
// while the member is slow.
type MemberConnections struct {
	pending, established int
	slow                 bool // the latest was slow or failed
}

// NewConnectLimiter returns the limiter of a driver that has just started, whose connections come up within timeout or fail.
func NewConnectLimiter(timeout time.Duration) ConnectLimiter {
	l := ConnectLimiter{window: initialWindow}
	l.SetTimeout(timeout)
	return l
}

// SetTimeout changes the time within which connections come up or fail.
func (l *ConnectLimiter) SetTimeout(timeout time.Duration) {
	l.slowThreshold = max(time.Duration(slowFraction*float64(timeout)), time.Millisecond)
}

// SetMemberLimit limits the connections to one member, pending and established. 0 means no limit.
func (l *ConnectLimiter) SetMemberLimit(limit int) { l.memberLimit = limit }

// Excess returns how many connections to a member there are beyond the limit.
func (l *ConnectLimiter) Excess(m *MemberConnections) int {
	if l.memberLimit == 0 {
		return 0
	}
	return max(m.pending+m.established-l.memberLimit, 0)
}

// AtMemberLimit reports whether a member has as many connections as one may have.
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

// Started counts a connection that is being opened. It is pending until Established or Failed.
func (l *ConnectLimiter) Started(m *MemberConnections) {
	l.pending++
	m.pending++
}

// Established counts a pending connection as established, so long after it was started, until Closed.
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

// Failed ends a pending connection that did not come up, for whatever reason.
func (l *ConnectLimiter) Failed(m *MemberConnections, took, now time.Duration) {
	l.pending--
	m.pending--
	m.slow = true
	l.reduce(took, now)
}

// Closed ends an established connection.
func (l *ConnectLimiter) Closed(m *MemberConnections) { m.established-- }

// None reports whether the member has no connection, pending or established. If one has failed then, all attempts that wait
// for one may fail with it.
func (m *MemberConnections) None() bool { return m.established == 0 && m.pending == 0 }

// reduce makes the window smaller, once for all connections that were started before it was last reduced.
func (l *ConnectLimiter) reduce(took, now time.Duration) {
	if now-took >= l.reducedAt {
		l.window, l.reducedAt = max(l.window*reduceFactor, 1), now
	}
}

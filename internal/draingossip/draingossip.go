// Package draingossip decides which notices of draining cluster members a driver acts on and forwards to other drivers. Notices reach drivers whose
// endpoint list is late or unreachable. What another driver says only keeps requests from a member, and the next endpoint list replaces it.
package draingossip

import (
	"encoding/binary"
	"time"

	"passtack/driver"
	"passtack/internal/membership"
)

// MemberID identifies a cluster member: a hash of its uid.
type MemberID uint64

// Notice says that a member drains, in the incarnation that started then.
type Notice struct {
	Member    MemberID
	StartedAt time.Duration
}

// Member is what the endpoint list says of a member, as far as draining is concerned.
type Member struct {
	Group     driver.Group
	StartedAt time.Duration
	Standing  driver.Standing
}

// Decision is what to do with a notice.
type Decision struct {
	StopRequests bool // to the member, which was thought ready
	Forward      bool // the notice, to other drivers
}

// Tracker knows which members drain, from endpoint lists and from notices, and which notices were forwarded.
type Tracker struct {
	members   map[MemberID]Member
	forwarded map[MemberID]time.Duration // the start of the member whose notice was forwarded
}

// NewTracker returns a tracker that knows no member.
func NewTracker() *Tracker {
	return &Tracker{members: make(map[MemberID]Member), forwarded: make(map[MemberID]time.Duration)}
}

// UpdateFromList takes what an endpoint list says of a member. It reports whether other drivers are to be notified: never by a list that may be
// outdated.
func (t *Tracker) UpdateFromList(id MemberID, m Member, current bool) (notify bool) {
	if m.Standing == driver.Gone {
		delete(t.members, id)
		delete(t.forwarded, id)
		return false
	}
	t.members[id] = m
	return m.Standing == driver.Draining && current && t.markForwarded(id, m.StartedAt)
}

// markForwarded reports whether the notice was not forwarded yet, and notes that it is now.
func (t *Tracker) markForwarded(id MemberID, startedAt time.Duration) bool {
	if latest, found := t.forwarded[id]; found && latest >= startedAt {
		return false
	}
	t.forwarded[id] = startedAt
	return true
}

// Receive takes another driver's notice. It is ignored for a member that is not known, for another incarnation of it, and for the last ready member of
// its group.
func (t *Tracker) Receive(n Notice) (d Decision) {
	m, known := t.members[n.Member]
	if !known || m.StartedAt != n.StartedAt {
		return d
	}
	if m.Standing == driver.Ready {
		if !t.otherReady(n.Member, m.Group) {
			return d
		}
		m.Standing = driver.Draining
		t.members[n.Member] = m
		d.StopRequests = true
	}
	d.Forward = t.markForwarded(n.Member, n.StartedAt)
	return d
}

// otherReady reports whether a group has a ready member beside this one.
func (t *Tracker) otherReady(id MemberID, group driver.Group) bool {
	for other, m := range t.members {
		if other != id && m.Group == group && m.Standing == driver.Ready {
			return true
		}
	}
	return false
}

// noticeSize is how many bytes a notice has: the member's ID and its start in nanoseconds, 8 each, little-endian.
const noticeSize = 16

// MaxNotices is how many notices one datagram holds.
const MaxNotices = membership.MaxDatagramSize / noticeSize

// Encode writes a datagram of the first MaxNotices notices.
func Encode(notices []Notice) []byte {
	var out []byte
	for _, n := range notices[:min(len(notices), MaxNotices)] {
		out = binary.LittleEndian.AppendUint64(out, uint64(n.Member))
		out = binary.LittleEndian.AppendUint64(out, uint64(n.StartedAt))
	}
	return out
}

// Decode reads a datagram that Encode wrote; false: it is malformed.
func Decode(in []byte) (notices []Notice, ok bool) {
	if len(in) == 0 || len(in)%noticeSize != 0 || len(in)/noticeSize > MaxNotices {
		return nil, false
	}
	for ; len(in) > 0; in = in[noticeSize:] {
		notices = append(notices, Notice{
			Member:    MemberID(binary.LittleEndian.Uint64(in)),
			StartedAt: time.Duration(binary.LittleEndian.Uint64(in[8:])),
		})
	}
	return notices, true
}

// Package draingossip decides which drain notices, which say that a cluster member is draining, a driver acts on and forwards to other drivers.
// Notices reach drivers whose endpoint list is late or unreachable. A notice from another driver can only stop requests to a member, until the next
// endpoint list overrides it.
package draingossip

import (
	"encoding/binary"
	"time"

	"passtack/driver"
	"passtack/internal/membership"
)

// MemberID identifies a cluster member by a hash of its uid.
type MemberID uint64

// Notice says that the incarnation of a member that started at StartedAt is draining.
type Notice struct {
	Member    MemberID
	StartedAt time.Duration
}

// Member is the part of a member's state in the endpoint list that matters for draining.
type Member struct {
	Group     driver.Group
	StartedAt time.Duration
	State     driver.MemberState
}

// Decision is what to do with a notice.
type Decision struct {
	StopRequests bool // to the member, which was believed ready
	Forward      bool // send the notice to other drivers
}

// Tracker tracks which members are draining, according to endpoint lists and notices, and which notices were forwarded.
type Tracker struct {
	members   map[MemberID]Member
	forwarded map[MemberID]time.Duration // start time of the incarnation whose notice was forwarded
}

// NewTracker returns a tracker without members.
func NewTracker() *Tracker {
	return &Tracker{members: make(map[MemberID]Member), forwarded: make(map[MemberID]time.Duration)}
}

// UpdateFromList updates a member from an endpoint list. It reports whether other drivers are to be notified, which is never the case for a list that
// may be outdated (current is false).
func (t *Tracker) UpdateFromList(id MemberID, m Member, current bool) (notify bool) {
	if m.State == driver.Gone {
		delete(t.members, id)
		delete(t.forwarded, id)
		return false
	}
	t.members[id] = m
	return m.State == driver.Draining && current && t.markForwarded(id, m.StartedAt)
}

// markForwarded marks a notice as forwarded and reports whether it was not marked before.
func (t *Tracker) markForwarded(id MemberID, startedAt time.Duration) bool {
	if latest, found := t.forwarded[id]; found && latest >= startedAt {
		return false
	}
	t.forwarded[id] = startedAt
	return true
}

// Receive processes a notice from another driver. It ignores notices of unknown members, of other incarnations than the known one, and of the last
// ready member of a group.
func (t *Tracker) Receive(n Notice) (d Decision) {
	m, known := t.members[n.Member]
	if !known || m.StartedAt != n.StartedAt {
		return d
	}
	if m.State == driver.Ready {
		if !t.otherReady(n.Member, m.Group) {
			return d
		}
		m.State = driver.Draining
		t.members[n.Member] = m
		d.StopRequests = true
	}
	d.Forward = t.markForwarded(n.Member, n.StartedAt)
	return d
}

// otherReady reports whether a group has a ready member other than this one.
func (t *Tracker) otherReady(id MemberID, group driver.Group) bool {
	for other, m := range t.members {
		if other != id && m.Group == group && m.State == driver.Ready {
			return true
		}
	}
	return false
}

// noticeSize is the size of an encoded notice in bytes: the member's ID and its start time in nanoseconds, 8 bytes each, little-endian.
const noticeSize = 16

// MaxNotices is the maximum number of notices in one datagram.
const MaxNotices = membership.MaxDatagramSize / noticeSize

// Encode returns a datagram with the first MaxNotices notices.
func Encode(notices []Notice) []byte {
	var out []byte
	for _, n := range notices[:min(len(notices), MaxNotices)] {
		out = binary.LittleEndian.AppendUint64(out, uint64(n.Member))
		out = binary.LittleEndian.AppendUint64(out, uint64(n.StartedAt))
	}
	return out
}

// Decode decodes a datagram of Encode; ok is false if it is malformed.
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

package front

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	leftIDRetention = 30 * time.Second // for which the id of an RPC whose client has left is refused
	maxLeftIDs      = 8192             // of which the oldest are forgotten first
)

// RequestIDs holds the ids of the RPCs in service at all listeners together, and those of RPCs whose client left before the answer. Such an
// RPC may have run, so its id is refused for some time after.
type RequestIDs struct {
	active map[string]bool
	left   map[uint64]time.Duration // when it may be used again, by checksum
	order  []uint64                 // of left, a ring with the oldest at next once it is full
	next   int
}

// NewRequestIDs returns an empty set.
func NewRequestIDs() *RequestIDs {
	return &RequestIDs{active: make(map[string]bool), left: make(map[uint64]time.Duration)}
}

// Active reports whether an RPC with the id is in service.
func (ids *RequestIDs) Active(id string) bool { return ids.active[id] }

// MayHaveRun reports whether an RPC with the id was left by its client lately.
func (ids *RequestIDs) MayHaveRun(id string, now time.Duration) bool {
	return len(ids.left) > 0 && now < ids.left[xxh3.HashString(id)]
}

// Begin records that an RPC with the id is in service.
func (ids *RequestIDs) Begin(id string) { ids.active[id] = true }

// End records that the RPC with the id was answered.
func (ids *RequestIDs) End(id string) { delete(ids.active, id) }

// Leave records that the client of the RPC with the id left before the answer.
func (ids *RequestIDs) Leave(id string, now time.Duration) {
	ids.End(id)
	sum := xxh3.HashString(id)
	if _, known := ids.left[sum]; !known {
		ids.remember(sum)
	}
	ids.left[sum] = now + leftIDRetention
}

// remember adds a checksum to the ring, in place of the oldest if it is full.
func (ids *RequestIDs) remember(sum uint64) {
	if len(ids.order) < maxLeftIDs {
		ids.order = append(ids.order, sum)
		return
	}
	delete(ids.left, ids.order[ids.next])
	ids.order[ids.next] = sum
	ids.next = (ids.next + 1) % maxLeftIDs
}

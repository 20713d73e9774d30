package membership

import (
	"cmp"
	"slices"
	"time"

	"passtack/driver"
)

// maxNodes is the maximum number of drivers in a list.
const maxNodes = 4096

// nodeState is what this driver knows about one driver, which may be itself.
type nodeState struct {
	Entry
	address     driver.Peer
	reachable   bool // whether address is known
	statusSince time.Duration
	reason      string // for the latest change of its status
	lastSeenAt  time.Duration
	suspicion   suspicion

	transmits int  // how often its latest change was sent
	compact   bool // its latest change is of the status or refutation number only
}

// probeable reports whether the driver is believed active and has a known address.
func (n *nodeState) probeable() bool { return n.reachable && n.Status < Dead }

// nodeTable holds the known drivers, by ID and sorted by ID, and the checksum over them.
type nodeTable struct {
	byID          map[NodeID]*nodeState
	sorted        []*nodeState // by ID
	checksum      uint64
	checksumValid bool
}

func newNodeTable() nodeTable { return nodeTable{byID: make(map[NodeID]*nodeState)} }

// get returns the state of a driver, or nil if it is not known.
func (t *nodeTable) get(id NodeID) *nodeState { return t.byID[id] }

// position returns the index of a driver in the order of IDs, or the index at which it would be inserted.
func (t *nodeTable) position(id NodeID) (index int, found bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(n *nodeState, id NodeID) int { return cmp.Compare(n.ID, id) })
}

func (t *nodeTable) add(node *nodeState) {
	t.byID[node.ID] = node
	index, _ := t.position(node.ID)
	t.sorted = slices.Insert(t.sorted, index, node)
}

func (t *nodeTable) remove(id NodeID) {
	delete(t.byID, id)
	if index, found := t.position(id); found {
		t.sorted = slices.Delete(t.sorted, index, index+1)
	}
}

// activeCount returns the number of drivers that are neither dead nor have left.
func (t *nodeTable) activeCount() (count int) {
	for _, node := range t.sorted {
		if node.Status < Dead {
			count++
		}
	}
	return count
}

// invalidateChecksum is to be called after a change of any entry.
func (t *nodeTable) invalidateChecksum() { t.checksumValid = false }

// activeChecksum returns the checksum over all active drivers, which does not depend on the order in which they were added.
func (t *nodeTable) activeChecksum() uint64 {
	if t.checksumValid {
		return t.checksum
	}
	t.checksum, t.checksumValid = 0, true
	for _, node := range t.sorted {
		if node.Status < Dead {
			t.checksum += node.Entry.checksum(0)
		}
	}
	return t.checksum
}

// rangeChecksums returns the checksums of the ranges of IDs, one byte each.
func (t *nodeTable) rangeChecksums(salt uint32) []byte {
	sums := make([]byte, syncRanges)
	for _, node := range t.sorted {
		if node.Status < Dead {
			sums[syncRange(node.ID)] += byte(node.Entry.checksum(uint64(salt)))
		}
	}
	return sums
}

// maxTombstones is the maximum number of tombstones.
const maxTombstones = 4096

// tombstones are the last entries of drivers that were removed from the list. Gossip about them is stale unless it supersedes the tombstone.
type tombstones map[NodeID]Entry

// add adds an entry, and removes an arbitrary other one if there are too many.
func (t tombstones) add(e Entry) {
	if len(t) >= maxTombstones {
		for id := range t {
			delete(t, id)
			break
		}
	}
	t[e.ID] = e
}

// addUnlessFull adds an entry unless there are too many.
func (t tombstones) addUnlessFull(e Entry) {
	if len(t) < maxTombstones {
		t[e.ID] = e
	}
}

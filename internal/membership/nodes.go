package membership

import (
	"cmp"
	"slices"
	"time"

	"passtack/driver"
)

// maxNodes bounds how many drivers a list holds.
const maxNodes = 4096

// nodeState is what this driver knows of one driver, itself included.
type nodeState struct {
	Entry
	address     driver.Peer
	reachable   bool // address is known
	statusSince time.Duration
	reason      string // why its status changed last
	lastSeenAt  time.Duration
	suspicion   suspicion

	transmits int  // how often its latest change was sent
	compact   bool // its latest change is in the status or refutation number only
}

// probeable reports whether the driver may be there and can be sent to.
func (n *nodeState) probeable() bool { return n.reachable && n.Status < Dead }

// nodeTable holds the known drivers, by ID and in the order of IDs, and the checksum over them.
type nodeTable struct {
	byID          map[NodeID]*nodeState
	sorted        []*nodeState // by ID
	checksum      uint64
	checksumValid bool
}

func newNodeTable() nodeTable { return nodeTable{byID: make(map[NodeID]*nodeState)} }

// get returns the state of a driver, nil where it is not known.
func (t *nodeTable) get(id NodeID) *nodeState { return t.byID[id] }

// position is the index of a driver in the order of IDs, or where it would be inserted.
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

// activeCount is how many drivers are neither dead nor have left.
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

// activeChecksum is over all active drivers, whatever the order they came in.
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

// rangeChecksums are the checksums of the ranges of IDs, a byte each.
func (t *nodeTable) rangeChecksums(salt uint32) []byte {
	sums := make([]byte, syncRanges)
	for _, node := range t.sorted {
		if node.Status < Dead {
			sums[syncRange(node.ID)] += byte(node.Entry.checksum(uint64(salt)))
		}
	}
	return sums
}

// maxTombstones bounds how many forgotten drivers are remembered.
const maxTombstones = 4096

// tombstones are the last entries of drivers that were forgotten. Gossip about them is stale unless it supersedes the tombstone.
type tombstones map[NodeID]Entry

// add remembers an entry, and drops another where there are too many.
func (t tombstones) add(e Entry) {
	if len(t) >= maxTombstones {
		for id := range t {
			delete(t, id)
			break
		}
	}
	t[e.ID] = e
}

// addIfRoom remembers an entry unless there are too many.
func (t tombstones) addUnlessFull(e Entry) {
	if len(t) < maxTombstones {
		t[e.ID] = e
	}
}

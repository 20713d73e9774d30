package membership

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// NodeID identifies a driver by the xxh3 hash of its name.
type NodeID uint64

// NodeIDOf returns the ID of the driver with the given name.
func NodeIDOf(name string) NodeID { return NodeID(xxh3.HashString(name)) }

// SuspectorID identifies the driver that suspects another: the lower half of its NodeID.
type SuspectorID uint32

// Status is the believed state of a driver. Higher values are more severe.
type Status uint8

// The statuses of a driver.
const (
	Alive   Status = iota // answers probes, or is new and has not failed a probe yet
	Suspect               // has not answered a probe and may still refute the suspicion
	Dead                  // has not refuted the suspicion in time
	Left                  // has announced its shutdown
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the status as shown to operators.
func (s Status) String() string { return statusNames[s] }

// Summary is what a driver publishes about itself.
type Summary struct {
	Sequence     uint32 // higher means newer
	ReadyPercent uint8  // progress of the driver's recovery after its start
	RequestRate  uint16 // RPCs per second
	ListRevision uint32 // of the driver's endpoint list
}

// Entry is the part of the state of one driver that drivers exchange.
type Entry struct {
	ID          NodeID
	Name        string
	Incarnation uint64 // of the process: its start time in nanoseconds
	Refutation  uint32 // refutation number: increased by the driver itself to refute that it is suspect or dead
	Status      Status
	Suspector   SuspectorID // driver that suspects it; only if Status is Suspect
	Summary     Summary
}

// supersedes reports whether e replaces another entry of the same driver, except for its summary: a newer incarnation wins, then the status Left,
// then a higher refutation number, then the more severe status.
func (e *Entry) supersedes(other *Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	if other.Status == Left || e.Status == Left { // final: an incarnation that has left does not return
		return e.Status == Left && other.Status != Left
	}
	if e.Refutation != other.Refutation {
		return e.Refutation > other.Refutation
	}
	return e.Status > other.Status
}

// sameRefutation reports whether two entries of one driver have the same incarnation and refutation number.
func (e *Entry) sameRefutation(other *Entry) bool {
	return e.Incarnation == other.Incarnation && e.Refutation == other.Refutation
}

// checksum covers the fields on which the lists of all drivers have to agree.
func (e *Entry) checksum(salt uint64) uint64 {
	var data [21]byte
	binary.LittleEndian.PutUint64(data[:], uint64(e.ID))
	binary.LittleEndian.PutUint64(data[8:], e.Incarnation)
	binary.LittleEndian.PutUint32(data[16:], e.Refutation)
	data[20] = byte(e.Status)
	return xxh3.HashSeed(data[:], salt)
}

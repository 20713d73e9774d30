package membership

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// NodeID identifies a driver: a hash of its name.
type NodeID uint64

// NodeIDOf returns the ID of the driver with this name.
func NodeIDOf(name string) NodeID { return NodeID(xxh3.HashString(name)) }

// SuspectorID identifies the driver that suspects another: the lower half of its NodeID.
type SuspectorID uint32

// Status is what is believed of a driver. Of two statuses the higher is the more severe.
type Status uint8

// The statuses of a driver.
const (
	Alive   Status = iota // it answers, or was introduced and has not failed a probe yet
	Suspect               // it has not answered a probe and may still refute that
	Dead                  // it has not refuted the suspicion in time
	Left                  // it announced its shutdown
)

var statusNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the status as operators read it.
func (s Status) String() string { return statusNames[s] }

// Summary is what a driver publishes of itself.
type Summary struct {
	Sequence     uint32 // the higher is the newer
	ReadyPercent uint8  // how far the driver has recovered since its start
	RequestRate  uint16 // RPCs a second
	ListRevision uint32 // of its endpoint list
}

// Entry is what is known of one driver, as it travels between drivers.
type Entry struct {
	ID          NodeID
	Name        string
	Incarnation uint64 // of the process: the time of its start in nanoseconds
	Refutation  uint32 // raised by the driver itself to refute that it is suspect or dead
	Status      Status
	Suspector   SuspectorID // who suspects it; only of a suspect
	Summary     Summary
}

// supersedes reports whether e replaces other, an entry of the same driver, in all but the summary: a newer incarnation wins, then a
// departure, then a higher refutation number, then the more severe status.
func (e *Entry) supersedes(other *Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	if other.Status == Left || e.Status == Left { // an incarnation that has left never returns
		return e.Status == Left && other.Status != Left
	}
	if e.Refutation != other.Refutation {
		return e.Refutation > other.Refutation
	}
	return e.Status > other.Status
}

// sameRefutation reports whether two entries of one driver are of the same incarnation and refutation number.
func (e *Entry) sameRefutation(other *Entry) bool {
	return e.Incarnation == other.Incarnation && e.Refutation == other.Refutation
}

// checksum is of the values that the lists of all drivers have to agree on.
func (e *Entry) checksum(salt uint64) uint64 {
	var data [21]byte
	binary.LittleEndian.PutUint64(data[:], uint64(e.ID))
	binary.LittleEndian.PutUint64(data[8:], e.Incarnation)
	binary.LittleEndian.PutUint32(data[16:], e.Refutation)
	data[20] = byte(e.Status)
	return xxh3.HashSeed(data[:], salt)
}

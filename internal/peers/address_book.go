package peers

import (
	"time"

	"passtack/driver"
)

const (
	maxNames        = 4096
	duplicateWindow = 3 * time.Second // two incarnations that both send messages within this time run at the same time
	expiry          = time.Hour       // time without a message after which a driver may be replaced by another
)

// AddressBook stores the address that the latest message of each driver of the fleet came from, and detects names that two processes use at the same
// time.
type AddressBook struct {
	entries map[uint64]*entry // by hash of the driver's name
}

type entry struct {
	address  driver.Peer
	current  sighting
	previous sighting // of another incarnation, which ran before the current one or still runs
}

// sighting is the latest message of an incarnation.
type sighting struct {
	incarnation uint64
	lastHeard   time.Duration // when the message came
}

// NewAddressBook returns an empty address book.
func NewAddressBook() *AddressBook { return &AddressBook{entries: make(map[uint64]*entry)} }

// Record records the sender of a message. It reports whether two processes use the sender's name at the same time: a message of the earlier
// incarnation comes shortly after one of the later incarnation.
func (b *AddressBook) Record(from driver.Peer, m Message, now time.Duration) (duplicate bool) {
	e := b.entries[m.From]
	if e == nil {
		if len(b.entries) >= maxNames && !b.evictExpired(now) {
			return false
		}
		b.entries[m.From] = &entry{address: from, current: sighting{m.Incarnation, now}}
		return false
	}
	if e.current.incarnation != m.Incarnation {
		duplicate = e.previous.incarnation == m.Incarnation && now-e.current.lastHeard < duplicateWindow && now-e.previous.lastHeard < duplicateWindow
		e.previous = e.current
	}
	e.address, e.current = from, sighting{m.Incarnation, now}
	return duplicate
}

// evictExpired removes one driver without a message for longer than expiry, and reports whether there was one.
func (b *AddressBook) evictExpired(now time.Duration) bool {
	for nameHash, e := range b.entries {
		if now-e.current.lastHeard > expiry {
			delete(b.entries, nameHash)
			return true
		}
	}
	return false
}

// Address returns the address that the latest message of a driver came from.
func (b *AddressBook) Address(nameHash uint64) (address driver.Peer, known bool) {
	if e := b.entries[nameHash]; e != nil {
		return e.address, true
	}
	return 0, false
}

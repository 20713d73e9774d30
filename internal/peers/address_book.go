package peers

import (
	"time"

	"passtack/driver"
)

const (
	maxNames        = 4096
	duplicateWindow = 3 * time.Second // two incarnations that are both heard within it run at the same time
	expiry          = time.Hour       // after which a driver that is silent may make room for another
)

// AddressBook knows from which address each driver of the fleet was last heard, and notices names that two processes use at once.
type AddressBook struct {
	entries map[uint64]*entry // by name, as a number
}

type entry struct {
	address  driver.Peer
	current  sighting
	previous sighting // of another incarnation, before the current one or beside it
}

// sighting is when an incarnation was last heard.
type sighting struct {
	incarnation uint64
	lastHeard   time.Duration
}

// NewAddressBook returns an empty address book.
func NewAddressBook() *AddressBook { return &AddressBook{entries: make(map[uint64]*entry)} }

// Record notes the sender of a message. It reports whether two processes use the sender's name at once: the earlier incarnation is heard
// again shortly after the later one.
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

// evictExpired removes one driver that was silent for longer than expiry, if there is any.
func (b *AddressBook) evictExpired(now time.Duration) bool {
	for name, e := range b.entries {
		if now-e.current.lastHeard > expiry {
			delete(b.entries, name)
			return true
		}
	}
	return false
}

// Address returns from where a driver was last heard.
func (b *AddressBook) Address(name uint64) (address driver.Peer, known bool) {
	if e := b.entries[name]; e != nil {
		return e.address, true
	}
	return 0, false
}

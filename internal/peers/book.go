package peers

import (
	"time"

	"passtack/driver"
)

// Book knows at which address a driver of the fleet was heard last. A name that two lives use at once is told.
type AddressBook struct {
	entries map[uint64]*entry
}

type entry struct {
	address    driver.Peer
	incarnation  uint64
	lastHeard time.Duration
	previous struct { // the life before this one, or beside it
		incarnation  uint64
		lastHeard time.Duration
	}
}

const (
	maxNames = 4096
	duplicateWindow    = 3 * time.Second // within which two lives that are both heard are there at once
	expiry = time.Hour
)

// NewBook knows nobody.
func NewAddressBook() *AddressBook { return &AddressBook{entries: make(map[uint64]*entry)} }

// Heard notes a letter. Twice tells that the name is used by two lives at once: the one before was heard after this one had begun.
func (b *AddressBook) Record(from driver.Peer, m Message, now time.Duration) (duplicate bool) {
	e := b.entries[m.From]
	if e == nil {
		if len(b.entries) >= maxNames && !b.evictExpired(now) {
			return false
		}
		b.entries[m.From] = &entry{address: from, incarnation: m.Incarnation, lastHeard: now}
		return false
	}
	if e.incarnation != m.Incarnation {
		duplicate = e.previous.incarnation == m.Incarnation && now-e.lastHeard < duplicateWindow && now-e.previous.lastHeard < duplicateWindow
		e.previous.incarnation, e.previous.lastHeard = e.incarnation, e.lastHeard
		e.incarnation = m.Incarnation
	}
	e.address, e.lastHeard = from, now
	return duplicate
}

// forget lets go of one that was not heard for long.
func (b *AddressBook) evictExpired(now time.Duration) bool {
	for name, e := range b.entries {
		if now-e.lastHeard > expiry {
			delete(b.entries, name)
			return true
		}
	}
	return false
}

// At tells where a driver was heard last.
func (b *AddressBook) Address(name uint64) (address driver.Peer, known bool) {
	if e := b.entries[name]; e != nil {
		return e.address, true
	}
	return 0, false
}

package peers

import (
	"time"

	"passtack/driver"
)

// Book knows at which address a driver of the fleet was heard last. A name that two lives use at once is told.
type Book struct {
	entries map[uint64]*entry
}

type entry struct {
	at    driver.Peer
	life  uint64
	heard time.Duration
	other struct { // the life before this one, or beside it
		life  uint64
		heard time.Duration
	}
}

const (
	mostNames = 4096
	beside    = 3 * time.Second // within which two lives that are both heard are there at once
	forgotten = time.Hour
)

// NewBook knows nobody.
func NewBook() *Book { return &Book{entries: make(map[uint64]*entry)} }

// Heard notes a letter. Twice tells that the name is used by two lives at once: the one before was heard after this one had begun.
func (b *Book) Heard(from driver.Peer, l Letter, now time.Duration) (twice bool) {
	e := b.entries[l.From]
	if e == nil {
		if len(b.entries) >= mostNames && !b.forget(now) {
			return false
		}
		b.entries[l.From] = &entry{at: from, life: l.Life, heard: now}
		return false
	}
	if e.life != l.Life {
		twice = e.other.life == l.Life && now-e.heard < beside && now-e.other.heard < beside
		e.other.life, e.other.heard = e.life, e.heard
		e.life = l.Life
	}
	e.at, e.heard = from, now
	return twice
}

// forget lets go of one that was not heard for long.
func (b *Book) forget(now time.Duration) bool {
	for name, e := range b.entries {
		if now-e.heard > forgotten {
			delete(b.entries, name)
			return true
		}
	}
	return false
}

// At tells where a driver was heard last.
func (b *Book) At(name uint64) (at driver.Peer, known bool) {
	if e := b.entries[name]; e != nil {
		return e.at, true
	}
	return 0, false
}

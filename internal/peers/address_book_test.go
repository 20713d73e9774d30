package peers

import (
	"testing"
	"time"
)

// TestAddressBook checks that a driver is at the address where it was last heard, and that two incarnations that run at once are reported as
// duplicates, but a restart or a new address is not.
func TestAddressBook(t *testing.T) {
	b, now := NewAddressBook(), time.Hour
	if _, known := b.Address(1); known {
		t.Error("a driver is known that was never heard")
	}
	if b.Record(4, Message{From: 1, Incarnation: 1}, now) || b.Record(5, Message{From: 1, Incarnation: 1}, now+time.Second) {
		t.Error("a driver with a new address is a duplicate")
	}
	if at, _ := b.Address(1); at != 5 {
		t.Errorf("it is at %d", at)
	}
	if b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Second) {
		t.Error("a restart is a duplicate")
	}
	if !b.Record(6, Message{From: 1, Incarnation: 1}, now+3*time.Second) {
		t.Error("two incarnations of one name are no duplicate")
	}
	if b.Record(6, Message{From: 1, Incarnation: 1}, now+time.Minute) || b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Minute) {
		t.Error("an incarnation of long ago is a duplicate")
	}
	for n := range uint64(2 * maxNames) {
		b.Record(1, Message{From: 100 + n}, now)
	}
	if len(b.entries) > maxNames {
		t.Errorf("%d names are known", len(b.entries))
	}
	if b.Record(1, Message{From: 99}, now+2*expiry); len(b.entries) > maxNames {
		t.Error("no driver is evicted")
	}
	if _, known := b.Address(99); !known {
		t.Error("a new driver finds no place though others have expired")
	}
}

package peers

import (
	"testing"
	"time"
)

// TestAddressBook checks that the address of a driver is that of its latest message, that two incarnations that run at the same time are reported as
// duplicates while a restart or a new address is not, and that the number of names is bounded.
func TestAddressBook(t *testing.T) {
	b, now := NewAddressBook(), time.Hour
	if _, known := b.Address(1); known {
		t.Error("a driver that never sent a message has an address")
	}
	if b.Record(4, Message{From: 1, Incarnation: 1}, now) || b.Record(5, Message{From: 1, Incarnation: 1}, now+time.Second) {
		t.Error("a driver with a new address is reported as a duplicate")
	}
	if address, _ := b.Address(1); address != 5 {
		t.Errorf("the address is %d, want 5", address)
	}
	if b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Second) {
		t.Error("a restart is reported as a duplicate")
	}
	if !b.Record(6, Message{From: 1, Incarnation: 1}, now+3*time.Second) {
		t.Error("two incarnations of one name at the same time are not reported as a duplicate")
	}
	if b.Record(6, Message{From: 1, Incarnation: 1}, now+time.Minute) || b.Record(5, Message{From: 1, Incarnation: 2}, now+2*time.Minute) {
		t.Error("an incarnation without recent messages is reported as a duplicate")
	}
	for n := range uint64(2 * maxNames) {
		b.Record(1, Message{From: 100 + n}, now)
	}
	if len(b.entries) > maxNames {
		t.Errorf("%d names are known, more than the maximum", len(b.entries))
	}
	if b.Record(1, Message{From: 99}, now+2*expiry); len(b.entries) > maxNames {
		t.Error("no expired driver is evicted for a new one")
	}
	if _, known := b.Address(99); !known {
		t.Error("a new driver is not added though others have expired")
	}
}

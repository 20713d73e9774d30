package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

// A driver whose clock is an hour ahead is told of a start just now, which looks an hour old. While the clock is in doubt the
// member counts as cold, and once it is corrected too; what is told without a time stays so.
func TestAWrongClockTakesNoColdMemberForWarm(t *testing.T) {
	w := settled(t, "none")
	fresh, old := w.r.members[102], w.r.members[103]
	fresh.started = w.now - time.Hour
	pos, session, commit := fresh.pos, driver.Session(7), w.now-time.Hour-ms
	w.r.tokens[session] = commit
	if w.r.cold(fresh, w.now) {
		t.Fatal("the case is none: it is cold before")
	}
	w.r.DoubtClock(time.Hour)
	if !w.r.cold(fresh, w.now) || w.r.cold(old, w.now) {
		t.Errorf("in doubt: the one that started is cold: %t, the other: %t", w.r.cold(fresh, w.now), w.r.cold(old, w.now))
	}
	w.r.DoubtClock(0)
	w.r.CorrectClock(-time.Hour)
	if !w.r.cold(fresh, w.now) || w.r.cold(old, w.now) || fresh.started != w.now || old.started != never {
		t.Errorf("corrected: started %v before now, the other at %v", w.now-fresh.started, old.started)
	}
	if fresh.pos != pos+time.Hour || w.r.tokens[session] != commit+time.Hour {
		t.Errorf("position %v, want %v; commit %v, want %v", fresh.pos, pos+time.Hour, w.r.tokens[session], commit+time.Hour)
	}
}

package rules

import (
	"testing"
	"time"

	"passtack/driver"
)

// A driver whose clock is an hour ahead is told of a start just now, which looks an hour old. While the clock is in doubt the
// member counts as cold, and once it is corrected too; what is told without a time stays so.
func TestUncertainClockKeepsMembersInSlowStart(t *testing.T) {
	w := newSettledCluster(t, "none")
	fresh, old := w.router.members[102], w.router.members[103]
	fresh.startedAt = w.now - time.Hour
	pos, session, commit := fresh.replication.position, driver.Session(7), w.now-time.Hour-ms
	w.router.sessionCommits[session] = commit
	if w.router.warmingUp(fresh, w.now) {
		t.Fatal("the case is none: it is cold before")
	}
	w.router.SetClockUncertainty(time.Hour)
	if !w.router.warmingUp(fresh, w.now) || w.router.warmingUp(old, w.now) {
		t.Errorf("in doubt: the one that started is cold: %t, the other: %t", w.router.warmingUp(fresh, w.now), w.router.warmingUp(old, w.now))
	}
	w.router.SetClockUncertainty(0)
	w.router.CorrectClock(-time.Hour)
	if !w.router.warmingUp(fresh, w.now) || w.router.warmingUp(old, w.now) || fresh.startedAt != w.now || old.startedAt != unknownTime {
		t.Errorf("corrected: started %v before now, the other at %v", w.now-fresh.startedAt, old.startedAt)
	}
	if fresh.replication.position != pos+time.Hour || w.router.sessionCommits[session] != commit+time.Hour {
		t.Errorf("position %v, want %v; commit %v, want %v", fresh.replication.position, pos+time.Hour, w.router.sessionCommits[session], commit+time.Hour)
	}
}

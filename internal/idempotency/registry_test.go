package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"passtack/internal/proptest"
	"pgregory.net/rapid"
)

const second, window = time.Second, 1200 * time.Millisecond

func request(key string, digest uint64, firstSent, window time.Duration) Request {
	return Request{Key: key, Digest: digest, FirstSent: firstSent, Window: window}
}

func newTestRegistry(sticky bool) *Registry {
	r := New(0)
	r.Sticky, r.Retention, r.MaxBytes, r.MaxInProgress = sticky, 10*second, 1<<20, 100
	return r
}

func TestVerdictsOfRepeats(t *testing.T) {
	r := newTestRegistry(false)
	v, first := r.Begin(request("a", 1, 5*second, window), 5*second)
	if v != Run || first.Deadline >= 5*second+window {
		t.Fatalf("the first request gets %d until %v", v, first.Deadline)
	}
	if v, e := r.Begin(request("a", 1, 5*second, window), 5100*time.Millisecond); v != Join || e != first {
		t.Errorf("a repeat of a request in progress gets %d", v)
	}
	if v, _ := r.Begin(request("a", 2, 5*second, window), 5100*time.Millisecond); v != KeyReused {
		t.Errorf("another request with the same key gets %d", v)
	}
	first.Waiters = append(first.Waiters, 7, 8, 9)
	first.RemoveWaiter(8)
	if got := fmt.Sprint(r.Finish(first, Completed, []byte("x"), 6*second)); got != "[7 9]" {
		t.Errorf("waiters: %s", got)
	}
	for _, at := range []time.Duration{6, 7, 15} { // also after the window, since nothing runs
		if v, e := r.Begin(request("a", 1, 5*second, window), at*second); v != Replay || string(e.Response) != "x" {
			t.Errorf("at %d s a repeat gets %d", at, v)
		}
	}
	if v, _ := r.Begin(request("a", 1, 5*second, window), 17*second); v != TooLate {
		t.Errorf("a repeat of a forgotten request gets %d", v)
	}
	if v, _ := r.Begin(request("b", 1, 9*second, window), 5*second); v != FromFuture {
		t.Errorf("a request first sent in the future gets %d", v)
	}
}

func TestUncertainRequestsRunAgainOnlyInsideTheirWindow(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		r := newTestRegistry(sticky)
		_, e := r.Begin(request("a", 1, 5*second, window), 5*second)
		r.Finish(e, Uncertain, nil, 5500*time.Millisecond)
		v, again := r.Begin(request("a", 1, 5*second, window), 6*second)
		if v != Run || again.Deadline >= 5*second+window {
			t.Fatalf("sticky %t: inside the window a repeat gets %d until %v", sticky, v, again.Deadline)
		}
		r.Finish(again, NotRun, nil, 6100*time.Millisecond) // the first run may still have taken effect
		if v, _ := r.Begin(request("a", 1, 5*second, window), 6300*time.Millisecond); v != TooLate {
			t.Errorf("sticky %t: after the window a repeat gets %d", sticky, v)
		}
	}
}

// Guards against a window that is too long since the clock of the client is ahead, whether or not other drivers may have run the request.
func TestClientClockAheadDoesNotExtendTheWindow(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		r := newTestRegistry(sticky)
		_, e := r.Begin(request("a", 1, 6500*time.Millisecond, window), 5*second)
		r.Finish(e, Uncertain, nil, 5500*time.Millisecond)
		if v, e := r.Begin(request("a", 1, 6500*time.Millisecond, window), 6*second); v != Run || e.Deadline >= 5*second+window {
			t.Errorf("sticky %t: inside the window a repeat gets %d", sticky, v)
		} else {
			r.Finish(e, Uncertain, nil, 6100*time.Millisecond)
		}
		if v, _ := r.Begin(request("a", 1, 6500*time.Millisecond, window), 6300*time.Millisecond); v != TooLate {
			t.Errorf("sticky %t: after the window a repeat gets %d", sticky, v)
		}
	}
}

// If all repeats of a client come to this driver, an unknown request after its window is a delayed first attempt, which may run. If
// not, or if the request was first sent before the driver started, it may be a repeat and must be rejected.
func TestStickyClients(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		v, e := newTestRegistry(sticky).Begin(request("a", 1, 5*second, window), 8*second)
		if sticky && (v != Run || e.Deadline < 9*second) || !sticky && v != TooLate {
			t.Errorf("sticky %t: an unknown request first sent 3 s ago gets %d", sticky, v)
		}
	}
	r := New(6 * second) // after the request was first sent, which may have run before the restart
	r.Sticky, r.Retention, r.MaxBytes, r.MaxInProgress = true, 10*second, 1<<20, 100
	if v, _ := r.Begin(request("a", 1, 5*second, window), 8*second); v != TooLate {
		t.Errorf("a request first sent before a restart gets %d after it", v)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	r := newTestRegistry(true)
	r.MaxBytes, r.MaxInProgress = 10_000, 5
	for i := range 1000 {
		at := time.Duration(i+1) * time.Millisecond * 2
		v, e := r.Begin(request(fmt.Sprint(i), 1, at, window), at)
		if v != Run {
			t.Fatalf("request %d gets %d", i, v)
		}
		r.Finish(e, Completed, make([]byte, 100), at)
		if u := r.Usage(); u.Bytes > r.MaxBytes || u.InProgress != 0 {
			t.Fatalf("%d bytes are used, %d requests are in progress", u.Bytes, u.InProgress)
		}
	}
	if v, _ := r.Begin(request("0", 1, 2*time.Millisecond, window), 5*second); v != TooLate {
		t.Errorf("a repeat of an expired request gets %d", v)
	}
	for i := range 6 {
		if v, _ := r.Begin(request(fmt.Sprint("open", i), 1, 5*second, window), 5*second); (v == AtCapacity) != (i == 5) {
			t.Errorf("with %d requests in progress the next gets %d", i, v)
		}
	}
}

// Guards against a request that is refused although it surely has not run, because it or others were forgotten in a crowd of rejections. A
// forgotten request that may have run must be refused.
func TestForgottenRequestsThatHaveNotRunMayRun(t *testing.T) {
	for outcome, want := range map[Outcome]Verdict{NotRun: Run, Uncertain: TooLate, Completed: TooLate} {
		r := newTestRegistry(true)
		r.MaxBytes = 10_000
		end := func(key string, firstSent time.Duration, outcome Outcome) {
			v, e := r.Begin(request(key, 1, firstSent, window), firstSent)
			if v != Run {
				t.Fatalf("request %s gets %d", key, v)
			}
			r.Finish(e, outcome, nil, firstSent)
		}
		end("early", 2*second, outcome)
		for i := range 100 {
			end(fmt.Sprint("crowd", i), 3*second, NotRun)
		}
		if r.entries["early"] != nil {
			t.Fatal("the early request is still known")
		}
		if v, _ := r.Begin(request("early", 1, 2*second, window), 5*second); v != want {
			t.Errorf("outcome %d: the forgotten request gets %d, want %d", outcome, v, want)
		}
	}
}

// Guards against a request that is refused although it is known not to have run, because one that was sent later was forgotten.
func TestForgettingOneRequestDoesNotLimitAnother(t *testing.T) {
	r := newTestRegistry(true)
	_, early := r.Begin(request("early", 1, 2*second, window), 2*second)
	_, late := r.Begin(request("late", 1, 3*second, window), 3*second)
	r.Finish(late, Uncertain, nil, 3*second)
	r.Finish(early, NotRun, nil, 12*second)
	if v, _ := r.Begin(request("early", 1, 2*second, window), 14*second); v != Run || r.entries["late"] != nil {
		t.Errorf("the request that has not run gets %d; the other one is known: %t", v, r.entries["late"] != nil)
	}
}

// A group drops duplicates within a window after the first run. Two drivers get the same requests and are killed at random. Neither
// may let a request run a second time after the window.
func TestNoRequestTakesEffectTwice(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		now := second
		type requestState struct {
			firstSent, ranAt time.Duration // ranAt: when the group first ran it; 0: not yet
			inProgress       [2]*Entry
		}
		requests := make([]requestState, 4)
		drivers := [2]*Registry{newTestRegistry(false), newTestRegistry(false)}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 200).Draw(t, "steps") {
			now += time.Duration(step%400) * time.Millisecond
			q, d, choice := &requests[step/400%4], step/1600%2, step/3200
			key := fmt.Sprint(step / 400 % 4)
			if e := q.inProgress[d]; e != nil {
				q.inProgress[d] = nil
				switch choice % 4 {
				case 0:
					drivers[d] = newTestRegistry(false) // the driver is killed
					for i := range requests {
						requests[i].inProgress[d] = nil
					}
				case 1:
					drivers[d].Finish(e, Uncertain, nil, now)
				case 2:
					drivers[d].Finish(e, Completed, []byte("done"), now)
				case 3:
					if q.ranAt == 0 {
						drivers[d].Finish(e, NotRun, nil, now)
					} else {
						drivers[d].Finish(e, Uncertain, nil, now)
					}
				}
				continue
			}
			if q.firstSent == 0 {
				q.firstSent = now
			}
			v, e := drivers[d].Begin(request(key, 1, q.firstSent.Truncate(second), window), now)
			if v != Run {
				continue
			}
			if now >= e.Deadline {
				t.Fatalf("the request may run until %v, which is not after now, %v", e.Deadline, now)
			}
			q.inProgress[d] = e
			if choice%3 > 0 { // the request reaches the group before its deadline
				if q.ranAt != 0 && e.Deadline > q.ranAt+window {
					t.Fatalf("the request ran at %v and may run again until %v", q.ranAt, e.Deadline)
				}
				if q.ranAt == 0 {
					q.ranAt = now
				}
			}
		}
	})
}

// Guards against a window that counts from the time which the client states instead of the first run: a client whose clock is ahead could have
// its request run twice, and a repeat of one that ran late would be refused inside its window. All repeats come to one driver here, which
// must refuse a repeat if the group may have forgotten it, and only then.
func TestWindowCountsFromTheFirstRun(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		type requestState struct {
			firstSent       time.Duration
			ranAt, allowed  time.Duration // when the group first ran it, and when that run was allowed; 0: not yet
			answered, known bool
		}
		r, now, requests := newTestRegistry(true), second, make([]requestState, 4)
		r.Retention = time.Hour
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 200).Draw(t, "steps") {
			now += time.Duration(step%400) * time.Millisecond
			q, choice := &requests[step/400%4], step/1600
			if !q.known {
				q.known, q.firstSent = true, now+time.Duration(choice%5-2)*400*time.Millisecond
			}
			v, e := r.Begin(request(fmt.Sprint(step/400%4), 1, q.firstSent, window), now)
			switch {
			case q.answered != (v == Replay) || v != Run && v != Replay && v != TooLate:
				t.Fatalf("verdict %d, answered: %t", v, q.answered)
			case v == TooLate && (q.ranAt == 0 || now < q.allowed+window-windowMargin):
				t.Fatalf("refused at %v; first run allowed at %v, ran at %v", now, q.allowed, q.ranAt)
			case v == Run && q.ranAt != 0 && e.Deadline > q.ranAt+window:
				t.Fatalf("may run again until %v; the group ran it at %v", e.Deadline, q.ranAt)
			}
			if v != Run {
				continue
			}
			begun := now
			now = min(now+time.Duration(choice%7)*50*time.Millisecond, e.Deadline-1) // until an attempt is sent
			outcome := []Outcome{NotRun, Uncertain, Completed}[choice%3]
			if outcome != NotRun && q.ranAt == 0 {
				q.ranAt, q.allowed = now, begun
			}
			q.answered = outcome == Completed
			r.Finish(e, outcome, []byte("done"), now)
		}
	})
}

func TestRequestsWithoutWindowLimitAreNeverTooLate(t *testing.T) {
	r := newTestRegistry(false)
	if v, _ := r.Begin(request("a", 1, 5*second, 1<<20*time.Hour), 500*second); v != Run {
		t.Errorf("a repeat with an unlimited window gets %d", v)
	}
}

// A later process restores finished requests. Requests with a response must be replayed and never run again. Even for sticky clients
// all others may only run inside their window, since those that had not run may have been sent again after they were persisted.
func TestPersistedEntriesAreRestored(t *testing.T) {
	persisted := make(map[string][]byte)
	r := newTestRegistry(true)
	r.Persist = func(key string, e []byte) {
		if persisted[key] = e; e == nil {
			delete(persisted, key)
		}
	}
	for key, outcome := range map[string]Outcome{"done": Completed, "unsure": Uncertain, "nothing": NotRun} {
		verdict, e := r.Begin(request(key, 7, time.Second, window), time.Second)
		if verdict != Run {
			t.Fatalf("%s: %v", key, verdict)
		}
		r.Finish(e, outcome, []byte("answer"), time.Second)
	}
	if verdict, _ := r.Begin(request("open", 7, time.Second, window), time.Second); verdict != Run || len(persisted) != 3 {
		t.Fatalf("request in progress gets %v, %d entries are persisted, want 3", verdict, len(persisted))
	}
	restored := func(now time.Duration) *Registry {
		again := newTestRegistry(true)
		again.knownSince = now
		again.Restore(slices.Collect(maps.Values(persisted)), now)
		return again
	}
	again := restored(1500 * time.Millisecond)
	if verdict, e := again.Begin(request("done", 7, time.Second, window), 1800*time.Millisecond); verdict != Replay || string(e.Response) != "answer" {
		t.Errorf("a repeat of a request with a persisted response gets %v", verdict)
	}
	if verdict, _ := again.Begin(request("done", 8, time.Second, window), 1800*time.Millisecond); verdict != KeyReused {
		t.Errorf("another request with its key gets %v", verdict)
	}
	for _, key := range []string{"unsure", "nothing", "open"} {
		if verdict, e := again.Begin(request(key, 7, time.Second, window), 1800*time.Millisecond); verdict != Run || e.Deadline != time.Second+window-windowMargin {
			t.Errorf("%s inside its window gets %v", key, verdict)
		}
		if verdict, _ := restored(1500*time.Millisecond).Begin(request(key, 7, time.Second, window), 4*time.Second); verdict != TooLate {
			t.Errorf("%s after its window gets %v", key, verdict)
		}
	}
	if entries := restored(500 * time.Millisecond).Usage().Entries; entries != 0 {
		t.Errorf("%d entries with a time in the future were restored", entries)
	}
	if entries := restored(time.Hour).Usage().Entries; entries != 0 {
		t.Errorf("%d expired entries were restored", entries)
	}
	for _, corrupt := range [][]byte{nil, {encodingVersion}, append([]byte{9}, persisted["done"][1:]...), persisted["done"][:entryHeaderSize]} {
		if n := newTestRegistry(true).Restore([][]byte{corrupt}, 2*time.Second); n != 0 {
			t.Errorf("corrupt entry %q was restored", corrupt)
		}
	}
	r.Expire(time.Hour)
	if len(persisted) != 0 {
		t.Errorf("%d expired entries are still persisted", len(persisted))
	}
}

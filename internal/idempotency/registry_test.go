package idempotency

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"passtack/internal/seeded"
	"pgregory.net/rapid"
)

const second, window = time.Second, 1200 * time.Millisecond

func newTestRegistry(sticky bool) *Registry {
	m := New(0)
	m.Sticky, m.Retention, m.MaxBytes, m.MaxInProgress = sticky, 10*second, 1<<20, 100
	return m
}

func TestVerdictsOfRepeats(t *testing.T) {
	m := newTestRegistry(false)
	v, first := m.Begin("a", 1, 5*second, 5*second, window)
	if v != Run || first.Deadline >= 5*second+window {
		t.Fatalf("the first gets %d until %v", v, first.Deadline)
	}
	if v, e := m.Begin("a", 1, 5*second, 5100*time.Millisecond, window); v != Join || e != first {
		t.Errorf("while it is out a repeat gets %d", v)
	}
	if v, _ := m.Begin("a", 2, 5*second, 5100*time.Millisecond, window); v != KeyReused {
		t.Errorf("another request of the same id gets %d", v)
	}
	first.Waiters = append(first.Waiters, 7, 8, 9)
	first.RemoveWaiter(8)
	if got := fmt.Sprint(m.Finish(first, Completed, []byte("x"), 6*second)); got != "[7 9]" {
		t.Errorf("who waits: %s", got)
	}
	for _, at := range []time.Duration{6, 7, 15} { // also beyond the window: nothing runs
		if v, e := m.Begin("a", 1, 5*second, at*second, window); v != Replay || string(e.Response) != "x" {
			t.Errorf("at %d s a repeat gets %d", at, v)
		}
	}
	if v, _ := m.Begin("a", 1, 5*second, 17*second, window); v != TooLate {
		t.Errorf("once it is forgotten a repeat gets %d", v)
	}
	if v, _ := m.Begin("b", 1, 9*second, 5*second, window); v != FromFuture {
		t.Errorf("a request from the future gets %d", v)
	}
}

func TestUncertainRequestsRunAgainOnlyInsideTheirWindow(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		m := newTestRegistry(sticky)
		_, e := m.Begin("a", 1, 5*second, 5*second, window)
		m.Finish(e, Uncertain, nil, 5500*time.Millisecond)
		v, again := m.Begin("a", 1, 5*second, 6*second, window)
		if v != Run || again.Deadline >= 5*second+window {
			t.Fatalf("sticky %t: inside the window a repeat gets %d until %v", sticky, v, again.Deadline)
		}
		m.Finish(again, NotRun, nil, 6100*time.Millisecond) // the first may have run nevertheless
		if v, _ := m.Begin("a", 1, 5*second, 6300*time.Millisecond, window); v != TooLate {
			t.Errorf("sticky %t: after the window a repeat gets %d", sticky, v)
		}
	}
}

// Where a client's repeats come here only, a first try that was long under way is told from a repeat.
func TestStickyClients(t *testing.T) {
	for _, sticky := range []bool{false, true} {
		v, e := newTestRegistry(sticky).Begin("a", 1, 5*second, 8*second, window)
		if sticky && (v != Run || e.Deadline < 9*second) || !sticky && v != TooLate {
			t.Errorf("sticky %t: an unknown request of 3 s ago gets %d", sticky, v)
		}
	}
	m := New(6 * second) // started after it was first sent: it may have run before the restart
	m.Sticky, m.Retention, m.MaxBytes, m.MaxInProgress = true, 10*second, 1<<20, 100
	if v, _ := m.Begin("a", 1, 5*second, 8*second, window); v != TooLate {
		t.Errorf("after a restart a request from before gets %d", v)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	m := newTestRegistry(true)
	m.MaxBytes, m.MaxInProgress = 10_000, 5
	for i := range 1000 {
		at := time.Duration(i+1) * time.Millisecond * 2
		v, e := m.Begin(fmt.Sprint(i), 1, at, at, window)
		if v != Run {
			t.Fatalf("request %d gets %d", i, v)
		}
		m.Finish(e, Completed, make([]byte, 100), at)
		if _, out, bytes := m.Usage(); bytes > m.MaxBytes || out != 0 {
			t.Fatalf("%d bytes are held, %d are out", bytes, out)
		}
	}
	if v, _ := m.Begin("0", 1, 2*time.Millisecond, 5*second, window); v != TooLate {
		t.Errorf("a repeat of what had to be forgotten gets %d", v)
	}
	for i := range 6 {
		if v, _ := m.Begin(fmt.Sprint("open", i), 1, 5*second, 5*second, window); (v == AtCapacity) != (i == 5) {
			t.Errorf("request %d that is out at once gets %d", i, v)
		}
	}
}

// A group drops repeats for its window after the first run. Drivers with this memory, which restart at random, must
// never let a request run a second time after that.
func TestNoRequestTakesEffectTwice(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		now := second
		type sent struct {
			first, ran time.Duration // ran: when the group first ran it, 0: not yet
			open       [2]*Entry
		}
		requests := make([]sent, 4)
		drivers := [2]*Registry{newTestRegistry(false), newTestRegistry(false)}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 200).Draw(t, "steps") {
			now += time.Duration(step%400) * time.Millisecond
			q, d, dice := &requests[step/400%4], step/1600%2, step/3200
			key := fmt.Sprint(step / 400 % 4)
			if e := q.open[d]; e != nil {
				q.open[d] = nil
				switch dice % 4 {
				case 0:
					drivers[d] = newTestRegistry(false) // killed
					drivers[d].began = now
					for i := range requests {
						requests[i].open[d] = nil
					}
				case 1:
					drivers[d].Finish(e, Uncertain, nil, now)
				case 2:
					drivers[d].Finish(e, Completed, []byte("done"), now)
				case 3:
					if q.ran == 0 {
						drivers[d].Finish(e, NotRun, nil, now)
					} else {
						drivers[d].Finish(e, Uncertain, nil, now)
					}
				}
				continue
			}
			if q.first == 0 {
				q.first = now
			}
			v, e := drivers[d].Begin(key, 1, q.first.Truncate(second), now, window)
			if v != Run {
				continue
			}
			if now >= e.Deadline {
				t.Fatalf("it may run until %v, now %v", e.Deadline, now)
			}
			q.open[d] = e
			if dice%3 > 0 { // it reaches the group by then
				if q.ran != 0 && e.Deadline > q.ran+window {
					t.Fatalf("ran at %v, may run again until %v", q.ran, e.Deadline)
				}
				if q.ran == 0 {
					q.ran = now
				}
			}
		}
	})
}

func TestRequestsWithoutWindowLimitAreNeverTooLate(t *testing.T) {
	m := newTestRegistry(false)
	if v, _ := m.Begin("a", 1, 5*second, 500*second, 1<<20*time.Hour); v != Run {
		t.Errorf("a harmless repeat gets %d", v)
	}
}

// What ended is recalled by another life: an answer is told again and never run again; what may have run is bounded by its window also
// where repeats come to one driver only, and what "did nothing" counts as that, since it may have been asked again after it was kept.
func TestPersistedEntriesAreRestored(t *testing.T) {
	kept := make(map[string][]byte)
	m := newTestRegistry(true)
	m.Persist = func(key string, e []byte) {
		if kept[key] = e; e == nil {
			delete(kept, key)
		}
	}
	for key, how := range map[string]Outcome{"done": Completed, "unsure": Uncertain, "nothing": NotRun} {
		verdict, e := m.Begin(key, 7, time.Second, time.Second, window)
		if verdict != Run {
			t.Fatalf("%s: %v", key, verdict)
		}
		m.Finish(e, how, []byte("answer"), time.Second)
	}
	if verdict, _ := m.Begin("open", 7, time.Second, time.Second, window); verdict != Run || len(kept) != 3 {
		t.Fatalf("%v, %d are kept", verdict, len(kept))
	}
	recall := func(now time.Duration) *Registry {
		again := newTestRegistry(true)
		again.began, again.knownSince = now, now
		again.Restore(slices.Collect(maps.Values(kept)), now)
		return again
	}
	again := recall(1500 * time.Millisecond)
	if verdict, e := again.Begin("done", 7, time.Second, 1800*time.Millisecond, window); verdict != Replay || string(e.Response) != "answer" {
		t.Errorf("an answer that was kept: %v", verdict)
	}
	if verdict, _ := again.Begin("done", 8, time.Second, 1800*time.Millisecond, window); verdict != KeyReused {
		t.Errorf("another request under its id: %v", verdict)
	}
	for _, key := range []string{"unsure", "nothing", "open"} {
		if verdict, e := again.Begin(key, 7, time.Second, 1800*time.Millisecond, window); verdict != Run || e.Deadline != time.Second+window-windowMargin {
			t.Errorf("%s inside its window: %v", key, verdict)
		}
		if verdict, _ := recall(1500*time.Millisecond).Begin(key, 7, time.Second, 4*time.Second, window); verdict != TooLate {
			t.Errorf("%s after its window: %v", key, verdict)
		}
	}
	if entries, _, _ := recall(500 * time.Millisecond).Usage(); entries != 0 {
		t.Errorf("%d entries from later than now are recalled", entries)
	}
	if entries, _, _ := recall(time.Hour).Usage(); entries != 0 {
		t.Errorf("%d entries of long ago are recalled", entries)
	}
	for _, spoilt := range [][]byte{nil, {encodingVersion}, append([]byte{9}, kept["done"][1:]...), kept["done"][:entryHeaderSize]} {
		if n := newTestRegistry(true).Restore([][]byte{spoilt}, 2*time.Second); n != 0 {
			t.Errorf("%q is recalled", spoilt)
		}
	}
	m.Expire(time.Hour)
	if len(kept) != 0 {
		t.Errorf("%d that were forgotten are kept", len(kept))
	}
}

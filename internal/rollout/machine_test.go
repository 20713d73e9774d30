package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/internal/lease"
)

// quiet is a world without chance but for delays, in which machine 0 writes.
func quiet(t *testing.T) *world {
	t.Helper()
	w := newWorld(7, nil)
	w.run(time.Second)
	if !w.joined() {
		t.Fatal("three machines with empty folders do not find together")
	}
	w.machines[0].m.Gained(w.next())
	w.run(time.Second)
	if !w.machines[0].m.Writes() {
		t.Fatal("machine 0 does not write")
	}
	return w
}

func (w *world) versions() (all []uint64) {
	for _, u := range w.machines {
		v := uint64(0)
		if u.m != nil {
			v = u.m.Newest().Version
		}
		all = append(all, v)
	}
	return all
}

func (w *world) publishes(t *testing.T, n int, id, base, want uint64) {
	t.Helper()
	w.publish(n, id, base)
	w.run(time.Second)
	if got := w.ids[id<<32|base]; got != want {
		t.Fatalf("publication %d became version %d, not %d; machines have %v", id, got, want, w.versions())
	}
	if w.broken != "" {
		t.Fatal(w.broken)
	}
}

// Of two who publish at once from one version one succeeds; who comes again under its number is told the version that it has.
func TestTwoPublishAtOnce(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	w.publish(0, 2, 1)
	w.publish(0, 3, 1)
	w.run(time.Second)
	if w.ids[2<<32|1] != 2 || w.ids[3<<32|1] != 0 {
		t.Errorf("published: %v", w.ids)
	}
	w.publishes(t, 0, 2, 1, 2)
	w.publishes(t, 0, 3, 2, 3)
	w.publishes(t, 0, 2, 1, 2) // an old one again, after others
	if v := w.versions(); !slices.Equal(v, []uint64{3, 3, 3}) {
		t.Errorf("machines have %v", v)
	}
}

// Who is cut off from the others while it writes publishes nothing; when it comes back it hears what the others have published.
func TestWhoIsCutOffPublishesNothing(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	for n := 1; n < 3; n++ {
		w.cut[[2]int{0, n}], w.cut[[2]int{n, 0}] = true, true
	}
	w.publish(0, 2, 1)
	w.run(time.Second)
	if w.machines[0].m.Fresh(w.now) {
		t.Error("it may say that it has the newest")
	}
	w.machines[1].m.Gained(w.next())
	w.run(time.Second)
	w.publishes(t, 1, 3, 1, 2)
	clear(w.cut)
	w.run(time.Second)
	if w.machines[0].m.Writes() || w.ids[2<<32|1] != 0 {
		t.Errorf("it writes on: %v, and published %v", w.machines[0].m.Writes(), w.ids)
	}
	if v := w.versions(); !slices.Equal(v, []uint64{2, 2, 2}) || w.texts[2] != "text 3" {
		t.Errorf("machines have %v, version 2 says %q", v, w.texts[2])
	}
}

// What a majority has may be known to the machine that died as the only one that knew that it counts: the next writer takes it over.
func TestWhatAMajorityHasIsTakenOver(t *testing.T) {
	w := quiet(t)
	w.publish(0, 1, 0)
	for len(w.ids) == 0 {
		w.run(time.Millisecond)
	}
	w.machines[0].dies()
	w.queue.Pop(w.now) // whatever it said last may be lost
	w.machines[2].m.Gained(w.next())
	w.run(time.Second)
	w.publishes(t, 2, 2, 1, 2)
	if w.texts[1] != "text 1" || w.texts[2] != "text 2" {
		t.Errorf("versions are %v", w.texts)
	}
}

// A machine says that it has accepted, dies, and comes back with an empty folder before the writer has it on its own disk: what its earlier
// life said no longer counts, since nobody could tell the new one.
func TestTheWordOfAnEarlierLifeDoesNotCount(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	m, said := w.machines[0].m, w.machines[1].life
	m.writing, m.wrote = &Entry{Version: 2, Ballot: m.ballot, Text: "text 9"}, make(map[lease.Node]bool) // it is on nobody's disk yet
	word := Message{Op: Accepted, Ballot: m.ballot, Version: 2}
	m.Take(nodeOf(1), said, word, w.now)
	if len(m.wrote) != 1 {
		t.Fatalf("%d have written it", len(m.wrote))
	}
	m.Take(nodeOf(1), w.next(), Message{Op: Learn}, w.now)
	if len(m.wrote) != 0 {
		t.Error("the word of an earlier life counts")
	}
	m.Take(nodeOf(1), said, word, w.now)
	if len(m.wrote) != 0 {
		t.Error("a word of an earlier life that comes late counts")
	}
	if m.Take(nodeOf(1), w.numbers, word, w.now); len(m.wrote) != 1 {
		t.Error("and the later life is not heard any more")
	}
}

// Where all machines have lost their folders drivers keep what they have, and the next version lies above.
func TestAllFoldersAreLost(t *testing.T) {
	w := quiet(t)
	for id := range uint64(5) {
		w.publishes(t, 0, id+1, id, id+1)
	}
	w.look(0, 1)
	for _, u := range w.machines {
		u.dies()
	}
	w.run(time.Second)
	for _, u := range w.machines {
		u.disk = State{}
		u.start()
	}
	w.texts = make(map[uint64]string)
	w.run(time.Second)
	w.machines[1].m.Gained(w.next())
	w.run(time.Second)
	w.publishes(t, 1, 11, 0, 1) // before any driver has spoken
	w.look(0, 2)
	w.run(time.Second)
	if v := w.versions(); !slices.Equal(v, []uint64{6, 6, 6}) || w.texts[6] != "text 11" {
		t.Errorf("machines have %v, version 6 says %q", v, w.texts[6])
	}
	if w.look(0, 0); w.drivers[0] != 6 {
		t.Errorf("the driver has version %d", w.drivers[0])
	}
	w.publishes(t, 1, 12, 6, 7)
}

// A machine with an empty folder does not vote before all others have told it what they know.
func TestAnEmptyFolderLearnsFromAll(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	w.machines[0].dies()
	w.machines[1].dies()
	w.machines[1].disk = State{}
	w.machines[1].start()
	w.run(3 * time.Second)
	if w.machines[1].m.Joined() {
		t.Error("it votes, though one of the others has told it nothing")
	}
	w.machines[2].m.Gained(w.next())
	w.run(time.Second)
	if w.machines[2].m.Writes() {
		t.Error("one machine with what it knows writes by itself")
	}
	w.machines[0].start()
	w.run(2 * time.Second)
	if !w.machines[1].m.Joined() || w.machines[1].m.Newest().Text != "text 1" {
		t.Errorf("joined %v, with %+v", w.machines[1].m.Joined(), w.machines[1].m.Newest())
	}
}

// A driver cannot make the machines believe in a version that is far from all they know.
func TestAVersionFromTheFutureIsNotBelieved(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	m := w.machines[0].m
	if m.Ahead(1+mostAhead+1) || m.Ahead(1<<63) {
		t.Error("a version far beyond all is believed")
	}
	if !m.Ahead(40) {
		t.Error("one that may have been lost is not believed")
	}
	w.run(time.Second)
	if v := w.versions(); !slices.Equal(v, []uint64{41, 41, 41}) || w.texts[41] != "text 1" {
		t.Errorf("machines have %v, version 41 says %q", v, w.texts[41])
	}
}

// Publications beyond what is held are refused at once, and all are answered when the machine stops writing.
func TestPublicationsAreBoundedAndAnswered(t *testing.T) {
	w := quiet(t)
	for n := 1; n < 3; n++ {
		w.cut[[2]int{0, n}] = true
	}
	answers := make(map[Outcome]int)
	m := w.machines[0].m
	m.host = answering{w.machines[0], answers}
	for id := range uint64(mostWaiting + 5) {
		m.Publish(Publish{Ticket: id, ID: id + 1, Base: 0, Text: "t"})
	}
	if answers[Busy] != 4 {
		t.Errorf("answered: %v", answers)
	}
	m.Lost()
	if answers[Unknown] != 1 || answers[Elsewhere] != mostWaiting {
		t.Errorf("answered: %v", answers)
	}
	m.Publish(Publish{Ticket: 99, ID: 99})
	if answers[Elsewhere] != mostWaiting+1 {
		t.Errorf("answered: %v", answers)
	}
}

type answering struct {
	*unit
	answers map[Outcome]int
}

func (a answering) Answer(_ uint64, o Outcome, _ uint64) { a.answers[o]++ }

// A machine whose clock was set back while it was down is heard again.
func TestLivesThatGoDownAreHeard(t *testing.T) {
	w := quiet(t)
	w.publishes(t, 0, 1, 0, 1)
	u := w.machines[1]
	u.dies()
	w.machines[0].m.lives[nodeOf(1)], w.machines[2].m.lives[nodeOf(1)] = 5000, 6000
	u.start()
	w.run(time.Second)
	if !u.m.Fresh(w.now) || u.said < 5001 {
		t.Errorf("it follows: %v, by life %d", u.m.Fresh(w.now), u.said)
	}
}

func TestDriversShareTheMachines(t *testing.T) {
	names := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"}
	var first, second [3]int
	for d := range 470 {
		f := NewFollower(fmt.Sprint("d", d), names, uint64(d))
		first[f.Asks()]++
		if f.Asks() == 0 {
			f.Failed(time.Second)
			second[f.Asks()]++
		}
	}
	for n, count := range first {
		if count < 120 || count > 195 {
			t.Errorf("machine %d has %d of 470 drivers", n, count)
		}
	}
	if second[1] < first[0]/3 || second[2] < first[0]/3 {
		t.Errorf("of the %d drivers of a machine that died the others get %v", first[0], second)
	}
}

// A driver whose machine has died goes on with another within a tenth of a second, not all at one moment, comes back later, and asks no more
// than four times a second where nobody answers.
func TestWhoFindsNoMachineAsksInMeasure(t *testing.T) {
	names := []string{"a", "b", "c"}
	tenths := make(map[time.Duration]int)
	for d := range 470 {
		f := NewFollower(fmt.Sprint("d", d), names, uint64(d))
		own := f.Asks()
		wait := f.Failed(0)
		if wait > pause || f.Asks() == own {
			t.Fatalf("driver %d waits %v and asks machine %d", d, wait, f.Asks())
		}
		tenths[wait/(pause/10)]++
		f.Answered(firstBack - 1)
		if f.Asks() == own {
			t.Fatal("it is back too early")
		}
		if f.Answered(2 * firstBack); f.Asks() != own {
			t.Fatal("it is not back")
		}
		now, calls := 2*firstBack, 0
		for end := now + 10*time.Second; now < end; calls++ {
			now += f.Failed(now)
		}
		if calls > 45 {
			t.Fatalf("%d calls in 10 s", calls)
		}
	}
	for at, count := range tenths {
		if count > 80 {
			t.Errorf("%d of 470 ask in the tenth %d", count, at)
		}
	}
}

func TestTheRosterIsBounded(t *testing.T) {
	r := NewRoster()
	for d := range mostDrivers + 10 {
		r.Tell(Standing{Driver: fmt.Sprint("d", d), Version: 1, Why: fmt.Sprintf("%01000d", d)}, time.Duration(d))
	}
	r.Tell(Standing{Driver: "d100", Version: 2}, time.Second)
	r.Tell(Standing{Driver: "d100", Version: 2}, 2*time.Second)
	all := r.All(2 * time.Second)
	if len(all) != mostDrivers || len(all[len(all)-1].Why) > mostWhy {
		t.Fatalf("%d drivers are known", len(all))
	}
	at := slices.IndexFunc(all, func(l Listed) bool { return l.Driver == "d100" })
	if l := all[at]; l.Since != time.Second || l.Heard != 2*time.Second || l.Version != 2 {
		t.Errorf("%+v", l)
	}
	if slices.ContainsFunc(all, func(l Listed) bool { return l.Driver == "d3" }) {
		t.Error("who was silent for longest is known")
	}
	if n := len(r.All(forgotten + 2*time.Second)); n != 0 {
		t.Errorf("%d are known after hours of silence", n)
	}
}

package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"passtack/internal/lease"
)

// quiet is a world without chance but for delays, in which machine 0 writes.
func stableSimulation(t *testing.T) *simulation {
	t.Helper()
	w := newSimulation(7, nil)
	w.run(time.Second)
	if !w.allJoined() {
		t.Fatal("three machines with empty folders do not find together")
	}
	w.replicas[0].machine.LeaseGained(w.nextNumber())
	w.run(time.Second)
	if !w.replicas[0].machine.IsWriter() {
		t.Fatal("machine 0 does not write")
	}
	return w
}

func (w *simulation) versions() (all []uint64) {
	for _, u := range w.replicas {
		v := uint64(0)
		if u.machine != nil {
			v = u.machine.Committed().Version
		}
		all = append(all, v)
	}
	return all
}

func (w *simulation) mustPublish(t *testing.T, index int, id, baseVersion, wantVersion uint64) {
	t.Helper()
	w.publish(index, id, baseVersion)
	w.run(time.Second)
	if got := w.published[id<<32|baseVersion]; got != wantVersion {
		t.Fatalf("publication %d became version %d, not %d; machines have %v", id, got, wantVersion, w.versions())
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

// Of two who publish at once from one version one succeeds; who comes again under its number is told the version that it has.
func TestConcurrentPublishes(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	w.publish(0, 2, 1)
	w.publish(0, 3, 1)
	w.run(time.Second)
	if w.published[2<<32|1] != 2 || w.published[3<<32|1] != 0 {
		t.Errorf("published: %v", w.published)
	}
	w.mustPublish(t, 0, 2, 1, 2)
	w.mustPublish(t, 0, 3, 2, 3)
	w.mustPublish(t, 0, 2, 1, 2) // an old one again, after others
	if v := w.versions(); !slices.Equal(v, []uint64{3, 3, 3}) {
		t.Errorf("machines have %v", v)
	}
}

// Who is cut off from the others while it writes publishes nothing; when it comes back it hears what the others have published.
func TestPartitionedWriterPublishesNothing(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	for n := 1; n < 3; n++ {
		w.cut[[2]int{0, n}], w.cut[[2]int{n, 0}] = true, true
	}
	w.publish(0, 2, 1)
	w.run(time.Second)
	if w.replicas[0].machine.IsFresh(w.now) {
		t.Error("it may say that it has the newest")
	}
	w.replicas[1].machine.LeaseGained(w.nextNumber())
	w.run(time.Second)
	w.mustPublish(t, 1, 3, 1, 2)
	clear(w.cut)
	w.run(time.Second)
	if w.replicas[0].machine.IsWriter() || w.published[2<<32|1] != 0 {
		t.Errorf("it writes on: %v, and published %v", w.replicas[0].machine.IsWriter(), w.published)
	}
	if v := w.versions(); !slices.Equal(v, []uint64{2, 2, 2}) || w.texts[2] != "text 3" {
		t.Errorf("machines have %v, version 2 says %q", v, w.texts[2])
	}
}

// What a majority has may be known to the machine that died as the only one that knew that it counts: the next writer takes it over.
func TestMajorityAcceptedVersionSurvivesWriterCrash(t *testing.T) {
	w := stableSimulation(t)
	w.publish(0, 1, 0)
	for len(w.published) == 0 {
		w.run(time.Millisecond)
	}
	w.replicas[0].crash()
	w.queue.Pop(w.now) // whatever it said last may be lost
	w.replicas[2].machine.LeaseGained(w.nextNumber())
	w.run(time.Second)
	w.mustPublish(t, 2, 2, 1, 2)
	if w.texts[1] != "text 1" || w.texts[2] != "text 2" {
		t.Errorf("versions are %v", w.texts)
	}
}

// A machine says that it has accepted, dies, and comes back with an empty folder before the writer has it on its own disk: what its earlier
// life said no longer counts, since nobody could tell the new one.
func TestAnswersOfEarlierIncarnationsAreDiscarded(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	m, said := w.replicas[0].machine, w.replicas[1].incarnation
	m.proposal, m.acceptedBy = &Entry{Version: 2, Ballot: m.ballot, Text: "text 9"}, make(map[lease.Node]bool) // it is on nobody's disk yet
	word := Message{Op: OpAccepted, Ballot: m.ballot, Version: 2}
	m.Receive(nodeOf(1), said, word, w.now)
	if len(m.acceptedBy) != 1 {
		t.Fatalf("%d have written it", len(m.acceptedBy))
	}
	m.Receive(nodeOf(1), w.nextNumber(), Message{Op: OpLearn}, w.now)
	if len(m.acceptedBy) != 0 {
		t.Error("the word of an earlier life counts")
	}
	m.Receive(nodeOf(1), said, word, w.now)
	if len(m.acceptedBy) != 0 {
		t.Error("a word of an earlier life that comes late counts")
	}
	if m.Receive(nodeOf(1), w.lastNumber, word, w.now); len(m.acceptedBy) != 1 {
		t.Error("and the later life is not heard any more")
	}
}

// Where all machines have lost their folders drivers keep what they have, and the next version lies above.
func TestVersionsRiseAfterAllStorageIsLost(t *testing.T) {
	w := stableSimulation(t)
	for id := range uint64(5) {
		w.mustPublish(t, 0, id+1, id, id+1)
	}
	w.pollDriver(0, 1)
	for _, u := range w.replicas {
		u.crash()
	}
	w.run(time.Second)
	for _, u := range w.replicas {
		u.disk = State{}
		u.start()
	}
	w.texts = make(map[uint64]string)
	w.run(time.Second)
	w.replicas[1].machine.LeaseGained(w.nextNumber())
	w.run(time.Second)
	w.mustPublish(t, 1, 11, 0, 1) // before any driver has spoken
	w.pollDriver(0, 2)
	w.run(time.Second)
	if v := w.versions(); !slices.Equal(v, []uint64{6, 6, 6}) || w.texts[6] != "text 11" {
		t.Errorf("machines have %v, version 6 says %q", v, w.texts[6])
	}
	if w.pollDriver(0, 0); w.drivers[0] != 6 {
		t.Errorf("the driver has version %d", w.drivers[0])
	}
	w.mustPublish(t, 1, 12, 6, 7)
}

// A machine with an empty folder does not vote before all others have told it what they know.
func TestEmptyMachineLearnsFromAllPeersBeforeVoting(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	w.replicas[0].crash()
	w.replicas[1].crash()
	w.replicas[1].disk = State{}
	w.replicas[1].start()
	w.run(3 * time.Second)
	if w.replicas[1].machine.Joined() {
		t.Error("it votes, though one of the others has told it nothing")
	}
	w.replicas[2].machine.LeaseGained(w.nextNumber())
	w.run(time.Second)
	if w.replicas[2].machine.IsWriter() {
		t.Error("one machine with what it knows writes by itself")
	}
	w.replicas[0].start()
	w.run(2 * time.Second)
	if !w.replicas[1].machine.Joined() || w.replicas[1].machine.Committed().Text != "text 1" {
		t.Errorf("joined %v, with %+v", w.replicas[1].machine.Joined(), w.replicas[1].machine.Committed())
	}
}

// A driver cannot make the machines believe in a version that is far from all they know.
func TestImplausibleVersionIsRejected(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	m := w.replicas[0].machine
	if m.ObserveVersion(1+maxVersionGap+1) || m.ObserveVersion(1<<63) {
		t.Error("a version far beyond all is believed")
	}
	if !m.ObserveVersion(40) {
		t.Error("one that may have been lost is not believed")
	}
	w.run(time.Second)
	if v := w.versions(); !slices.Equal(v, []uint64{41, 41, 41}) || w.texts[41] != "text 1" {
		t.Errorf("machines have %v, version 41 says %q", v, w.texts[41])
	}
}

// Publications beyond what is held are refused at once, and all are answered when the machine stops writing.
func TestPendingPublishesAreBoundedAndAnswered(t *testing.T) {
	w := stableSimulation(t)
	for n := 1; n < 3; n++ {
		w.cut[[2]int{0, n}] = true
	}
	answers := make(map[Outcome]int)
	m := w.replicas[0].machine
	m.host = countingHost{w.replicas[0], answers}
	for id := range uint64(maxPendingPublishes + 5) {
		m.Publish(PublishRequest{RequestID: id, PublicationID: id + 1, BaseVersion: 0, Text: "t"})
	}
	if answers[Busy] != 4 {
		t.Errorf("answered: %v", answers)
	}
	m.LeaseLost()
	if answers[Unknown] != 1 || answers[NotWriter] != maxPendingPublishes {
		t.Errorf("answered: %v", answers)
	}
	m.Publish(PublishRequest{RequestID: 99, PublicationID: 99})
	if answers[NotWriter] != maxPendingPublishes+1 {
		t.Errorf("answered: %v", answers)
	}
}

type countingHost struct {
	*replica
	answers map[Outcome]int
}

func (a countingHost) PublishDone(_ uint64, o Outcome, _ uint64) { a.answers[o]++ }

// A machine whose clock was set back while it was down is heard again.
func TestLowerIncarnationIsCorrected(t *testing.T) {
	w := stableSimulation(t)
	w.mustPublish(t, 0, 1, 0, 1)
	u := w.replicas[1]
	u.crash()
	w.replicas[0].machine.incarnations[nodeOf(1)], w.replicas[2].machine.incarnations[nodeOf(1)] = 5000, 6000
	u.start()
	w.run(time.Second)
	if !u.machine.IsFresh(w.now) || u.claimedIncarnation < 5001 {
		t.Errorf("it follows: %v, by life %d", u.machine.IsFresh(w.now), u.claimedIncarnation)
	}
}

func TestMachineSelectionIsBalanced(t *testing.T) {
	names := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400"}
	var first, second [3]int
	for d := range 470 {
		f := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		first[f.Current()]++
		if f.Current() == 0 {
			f.Failed(time.Second)
			second[f.Current()]++
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
func TestMachineSelectorBacksOff(t *testing.T) {
	names := []string{"a", "b", "c"}
	tenths := make(map[time.Duration]int)
	for d := range 470 {
		f := NewMachineSelector(fmt.Sprint("d", d), names, uint64(d))
		own := f.Current()
		wait := f.Failed(0)
		if wait > maxFailoverDelay || f.Current() == own {
			t.Fatalf("driver %d waits %v and asks machine %d", d, wait, f.Current())
		}
		tenths[wait/(maxFailoverDelay/10)]++
		f.Succeeded(minReturnDelay - 1)
		if f.Current() == own {
			t.Fatal("it is back too early")
		}
		if f.Succeeded(2 * minReturnDelay); f.Current() != own {
			t.Fatal("it is not back")
		}
		now, calls := 2*minReturnDelay, 0
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

func TestRosterIsBounded(t *testing.T) {
	r := NewRoster()
	for d := range maxDrivers + 10 {
		r.Report(DriverReport{Driver: fmt.Sprint("d", d), Version: 1, RejectReason: fmt.Sprintf("%01000d", d)}, time.Duration(d))
	}
	r.Report(DriverReport{Driver: "d100", Version: 2}, time.Second)
	r.Report(DriverReport{Driver: "d100", Version: 2}, 2*time.Second)
	all := r.All(2 * time.Second)
	if len(all) != maxDrivers || len(all[len(all)-1].RejectReason) > maxReasonBytes {
		t.Fatalf("%d drivers are known", len(all))
	}
	at := slices.IndexFunc(all, func(l DriverStatus) bool { return l.Driver == "d100" })
	if l := all[at]; l.VersionSince != time.Second || l.LastSeen != 2*time.Second || l.Version != 2 {
		t.Errorf("%+v", l)
	}
	if slices.ContainsFunc(all, func(l DriverStatus) bool { return l.Driver == "d3" }) {
		t.Error("who was silent for longest is known")
	}
	if n := len(r.All(driverExpiry + 2*time.Second)); n != 0 {
		t.Errorf("%d are known after hours of silence", n)
	}
}

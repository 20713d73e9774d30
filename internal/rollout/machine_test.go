package rollout

import (
	"slices"
	"testing"
	"time"

	"passtack/internal/lease"
)

// stableSimulation returns a simulation with random delays but no other faults, in which machine 0 is the writer.
func stableSimulation(t *testing.T) *simulation {
	t.Helper()
	s := newSimulation(7, nil)
	s.run(time.Second)
	if !s.allJoined() {
		t.Fatal("three machines with empty storage do not join")
	}
	s.replicas[0].machine.LeaseGained(s.nextNumber())
	s.run(time.Second)
	if !s.replicas[0].machine.IsWriter() {
		t.Fatal("machine 0 is not the writer")
	}
	return s
}

func (s *simulation) versions() (all []uint64) {
	for _, r := range s.replicas {
		v := uint64(0)
		if r.machine != nil {
			v = r.machine.Committed().Version
		}
		all = append(all, v)
	}
	return all
}

func (s *simulation) mustPublish(t *testing.T, index int, id, baseVersion, wantVersion uint64) {
	t.Helper()
	s.publish(index, id, baseVersion)
	s.run(time.Second)
	if got := s.published[id<<32|baseVersion]; got != wantVersion {
		t.Fatalf("publication %d became version %d, not %d; machines have %v", id, got, wantVersion, s.versions())
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
}

// Of two concurrent publications with the same base version only one succeeds. A retry is answered with the version it was published as.
func TestConcurrentPublishes(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	s.publish(0, 2, 1)
	s.publish(0, 3, 1)
	s.run(time.Second)
	if s.published[2<<32|1] != 2 || s.published[3<<32|1] != 0 {
		t.Errorf("published: %v", s.published)
	}
	s.mustPublish(t, 0, 2, 1, 2)
	s.mustPublish(t, 0, 3, 2, 3)
	s.mustPublish(t, 0, 2, 1, 2) // a retry after later publications
	if v := s.versions(); !slices.Equal(v, []uint64{3, 3, 3}) {
		t.Errorf("machines have %v", v)
	}
}

// A writer that is partitioned from its peers publishes nothing. Once the partition ends, it adopts the version that they have published.
func TestPartitionedWriterPublishesNothing(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	for n := 1; n < 3; n++ {
		s.cutLinks[[2]int{0, n}], s.cutLinks[[2]int{n, 0}] = true, true
	}
	s.publish(0, 2, 1)
	s.run(time.Second)
	if s.replicas[0].machine.IsFresh(s.now) {
		t.Error("a partitioned writer claims to be fresh")
	}
	s.replicas[1].machine.LeaseGained(s.nextNumber())
	s.run(time.Second)
	s.mustPublish(t, 1, 3, 1, 2)
	clear(s.cutLinks)
	s.run(time.Second)
	if s.replicas[0].machine.IsWriter() || s.published[2<<32|1] != 0 {
		t.Errorf("still the writer: %v, published %v", s.replicas[0].machine.IsWriter(), s.published)
	}
	if v := s.versions(); !slices.Equal(v, []uint64{2, 2, 2}) || s.texts[2] != "text 3" {
		t.Errorf("machines have %v, version 2 is %q", v, s.texts[2])
	}
}

// A version may be committed while only the writer knows. If the writer then crashes, the next one must adopt the version.
func TestMajorityAcceptedVersionSurvivesWriterCrash(t *testing.T) {
	s := stableSimulation(t)
	s.publish(0, 1, 0)
	for len(s.published) == 0 {
		s.run(time.Millisecond)
	}
	s.replicas[0].crash()
	s.queue.PopDue(s.now) // the last message may be lost
	s.replicas[2].machine.LeaseGained(s.nextNumber())
	s.run(time.Second)
	s.mustPublish(t, 2, 2, 1, 2)
	if s.texts[1] != "text 1" || s.texts[2] != "text 2" {
		t.Errorf("versions are %v", s.texts)
	}
}

// A machine accepts an entry, crashes and restarts with empty storage before the writer has the entry in storage. The acceptance of the earlier
// incarnation must be discarded: no machine has the entry, so the new incarnation cannot learn it.
func TestAnswersOfEarlierIncarnationsAreDiscarded(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	m, incarnation := s.replicas[0].machine, s.replicas[1].incarnation
	m.term.proposal, m.term.acceptedBy = &Entry{Version: 2, Ballot: m.term.ballot, Text: "text 9"}, make(map[lease.Node]bool) // in no machine's storage yet
	accepted := Message{Op: OpAccepted, Ballot: m.term.ballot, Version: 2}
	m.Receive(nodeOf(1), incarnation, accepted, s.now)
	if len(m.term.acceptedBy) != 1 {
		t.Fatalf("accepted by %d machines", len(m.term.acceptedBy))
	}
	m.Receive(nodeOf(1), s.nextNumber(), Message{Op: OpLearn}, s.now)
	if len(m.term.acceptedBy) != 0 {
		t.Error("the acceptance of an earlier incarnation is still counted")
	}
	m.Receive(nodeOf(1), incarnation, accepted, s.now)
	if len(m.term.acceptedBy) != 0 {
		t.Error("a late message of an earlier incarnation is counted")
	}
	if m.Receive(nodeOf(1), s.lastNumber, accepted, s.now); len(m.term.acceptedBy) != 1 {
		t.Error("the later incarnation is ignored")
	}
}

// After all machines have lost their storage, drivers keep their version, and the next published version is higher.
func TestVersionsRiseAfterAllStorageIsLost(t *testing.T) {
	s := stableSimulation(t)
	for id := range uint64(5) {
		s.mustPublish(t, 0, id+1, id, id+1)
	}
	s.pollDriver(0, 1)
	for _, r := range s.replicas {
		r.crash()
	}
	s.run(time.Second)
	for _, r := range s.replicas {
		r.disk = State{}
		r.start()
	}
	s.texts = make(map[uint64]string)
	s.run(time.Second)
	s.replicas[1].machine.LeaseGained(s.nextNumber())
	s.run(time.Second)
	s.mustPublish(t, 1, 11, 0, 1) // no driver has polled yet
	s.pollDriver(0, 2)
	s.run(time.Second)
	if v := s.versions(); !slices.Equal(v, []uint64{6, 6, 6}) || s.texts[6] != "text 11" {
		t.Errorf("machines have %v, version 6 is %q", v, s.texts[6])
	}
	if s.pollDriver(0, 0); s.drivers[0] != 6 {
		t.Errorf("the driver has version %d", s.drivers[0])
	}
	s.mustPublish(t, 1, 12, 6, 7)
}

// A machine with empty storage does not vote before all its peers have sent their state: a majority might not know what it had promised.
func TestEmptyMachineLearnsFromAllPeersBeforeVoting(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	s.replicas[0].crash()
	s.replicas[1].crash()
	s.replicas[1].disk = State{}
	s.replicas[1].start()
	s.run(3 * time.Second)
	if s.replicas[1].machine.Joined() {
		t.Error("the machine votes although one peer has not answered")
	}
	s.replicas[2].machine.LeaseGained(s.nextNumber())
	s.run(time.Second)
	if s.replicas[2].machine.IsWriter() {
		t.Error("a single joined machine became the writer")
	}
	s.replicas[0].start()
	s.run(2 * time.Second)
	if !s.replicas[1].machine.Joined() || s.replicas[1].machine.Committed().Text != "text 1" {
		t.Errorf("joined %v, with %+v", s.replicas[1].machine.Joined(), s.replicas[1].machine.Committed())
	}
}

// A version that a driver reports is ignored if it is far above all versions that the machines know. Otherwise one
// driver could use up the version numbers.
func TestImplausibleVersionIsRejected(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	m := s.replicas[0].machine
	if m.ObserveVersion(1+maxVersionGap+1) || m.ObserveVersion(1<<63) {
		t.Error("an implausible version is accepted")
	}
	if !m.ObserveVersion(40) {
		t.Error("a version that may have been lost is rejected")
	}
	s.run(time.Second)
	if v := s.versions(); !slices.Equal(v, []uint64{41, 41, 41}) || s.texts[41] != "text 1" {
		t.Errorf("machines have %v, version 41 is %q", v, s.texts[41])
	}
}

// Publications above the limit are rejected immediately. All others are answered when the machine loses the lease.
func TestPendingPublishesAreBoundedAndAnswered(t *testing.T) {
	s := stableSimulation(t)
	for n := 1; n < 3; n++ {
		s.cutLinks[[2]int{0, n}] = true
	}
	answers := make(map[Outcome]int)
	m := s.replicas[0].machine
	m.host = countingHost{s.replicas[0], answers}
	for id := range uint64(maxPendingPublishes + 5) {
		m.Publish(PublishRequest{RequestID: id, PublicationID: id + 1, BaseVersion: 0, Text: "t"})
	}
	if answers[Busy] != 4 {
		t.Errorf("outcomes: %v", answers)
	}
	m.LeaseLost()
	if answers[Unknown] != 1 || answers[NotWriter] != maxPendingPublishes {
		t.Errorf("outcomes: %v", answers)
	}
	m.Publish(PublishRequest{RequestID: 99, PublicationID: 99})
	if answers[NotWriter] != maxPendingPublishes+1 {
		t.Errorf("outcomes: %v", answers)
	}
}

type countingHost struct {
	*replica
	answers map[Outcome]int
}

func (a countingHost) PublishDone(_ uint64, o Outcome, _ uint64) { a.answers[o]++ }

// A machine whose clock was set back while it was down has too low an incarnation, and its peers ignore it. It must adopt a higher one.
func TestLowerIncarnationIsCorrected(t *testing.T) {
	s := stableSimulation(t)
	s.mustPublish(t, 0, 1, 0, 1)
	r := s.replicas[1]
	r.crash()
	s.replicas[0].machine.incarnations[nodeOf(1)], s.replicas[2].machine.incarnations[nodeOf(1)] = 5000, 6000
	r.start()
	s.run(time.Second)
	if !r.machine.IsFresh(s.now) || r.claimedIncarnation < 5001 {
		t.Errorf("fresh: %v, incarnation %d", r.machine.IsFresh(s.now), r.claimedIncarnation)
	}
}

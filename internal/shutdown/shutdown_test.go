package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// For any longest deadline and any delay of the signal, the phases must follow each other in order, and the last answer must be
// planned early enough that it is sent before the earliest SIGKILL even if the driver stalls.
func TestAllRequestsAreAnsweredBeforeTheEarliestKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "sent"))
		received := sent + time.Duration(rapid.IntRange(0, 5000).Draw(t, "late"))*ms
		longest := time.Duration(rapid.IntRange(50, 20000).Draw(t, "longest")) * ms
		p := New(sent, received, longest)
		killAt := sent + min(longest, 3*time.Second) + 700*ms
		for phase := Serving; phase <= Finished; phase++ {
			if p.phaseStarts[phase] < p.phaseStarts[phase-1] && phase != Serving {
				t.Fatalf("%v starts before %v", phase, phase-1)
			}
		}
		last := p.BoundDeadline(killAt + time.Hour)
		if last+150*ms >= killAt {
			t.Fatalf("the last answer is planned only %v before SIGKILL", killAt-last)
		}
		if p.Phase(last) != Finished || p.Phase(last-1) == Finished {
			t.Fatalf("Finished does not start with the last answer")
		}
		at := time.Duration(rapid.Int64Range(int64(sent), int64(killAt)).Draw(t, "now"))
		if p.Forwards(at) && last-at < 100*ms {
			t.Fatalf("a request with %v left would be forwarded", last-at)
		}
		if next, ok := p.Next(at); ok && (next <= at || p.Phase(next) <= p.Phase(at)) {
			t.Fatalf("%v is followed by %v after %v", p.Phase(at), p.Phase(next), next-at)
		}
	})
}

// With an ordinary deadline, each phase must start at its time, and clients are served for more than half of the shutdown.
func TestPhasesWithAnOrdinaryDeadline(t *testing.T) {
	p := New(0, 5*ms, 2300*ms)
	for at, want := range map[time.Duration]Phase{
		0: Accepting, 704 * ms: Accepting, 705 * ms: Serving, 1849 * ms: Serving, 1850 * ms: Closing, 2649 * ms: Closing,
		2650 * ms: Rejecting, 2749 * ms: Rejecting, 2750 * ms: Finished, time.Hour: Finished,
	} {
		if got := p.Phase(at); got != want {
			t.Errorf("the phase at %v is %v, want %v", at, got, want)
		}
	}
	if got := p.BoundDeadline(2 * time.Second); got != 2*time.Second {
		t.Errorf("the deadline of a request that ends in time is %v, want 2s", got)
	}
}

// A signal that is received long after it was sent leaves no time: nothing may be accepted or forwarded.
func TestLateSignalLeavesNoTimeToServe(t *testing.T) {
	p := New(0, 4*time.Second, 2*time.Second)
	if p.Phase(4*time.Second) != Finished || p.Forwards(4*time.Second) {
		t.Errorf("the phase after the earliest SIGKILL is %v", p.Phase(4*time.Second))
	}
}

package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// For any deadline, and however late the signal is received, the phases come in order, and all requests are answered and all
// connections closed before the earliest SIGKILL, even if the driver stalls then.
func TestAllIsAnsweredBeforeTheEarliestKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "sent"))
		received := sent + time.Duration(rapid.IntRange(0, 5000).Draw(t, "late"))*ms
		longest := time.Duration(rapid.IntRange(50, 20000).Draw(t, "longest")) * ms
		p := New(sent, received, longest)
		kill := sent + min(longest, 3*time.Second) + 700*ms
		for phase := Serving; phase <= Finished; phase++ {
			if p.begins[phase] < p.begins[phase-1] && phase != Serving {
				t.Fatalf("%v begins before %v", phase, phase-1)
			}
		}
		last := p.BoundDeadline(kill + time.Hour)
		if last+150*ms >= kill {
			t.Fatalf("an answer is planned %v before the kill", kill-last)
		}
		if p.Phase(last) != Finished || p.Phase(last-1) == Finished {
			t.Fatalf("the shutdown is not finished with the last answer")
		}
		at := time.Duration(rapid.Int64Range(int64(sent), int64(kill)).Draw(t, "now"))
		if p.Forwards(at) && last-at < 100*ms {
			t.Fatalf("a request that has %v left would be forwarded", last-at)
		}
		if next, ok := p.Next(at); ok && (next <= at || p.Phase(next) <= p.Phase(at)) {
			t.Fatalf("after %v comes %v at %v", p.Phase(at), p.Phase(next), next-at)
		}
	})
}

// With an ordinary deadline, clients are served for more than half of the time.
func TestPhasesWithAnOrdinaryDeadline(t *testing.T) {
	p := New(0, 5*ms, 2300*ms)
	for at, want := range map[time.Duration]Phase{
		0: Accepting, 704 * ms: Accepting, 705 * ms: Serving, 1849 * ms: Serving, 1850 * ms: Closing, 2649 * ms: Closing,
		2650 * ms: Rejecting, 2749 * ms: Rejecting, 2750 * ms: Finished, time.Hour: Finished,
	} {
		if got := p.Phase(at); got != want {
			t.Errorf("at %v it is %v, want %v", at, got, want)
		}
	}
	if got := p.BoundDeadline(2 * time.Second); got != 2*time.Second {
		t.Errorf("a request that ends in time is cut to %v", got)
	}
}

// A signal that is received long after it was sent leaves no time: nothing is accepted or forwarded any more.
func TestALateSignalLeavesNoTimeToServe(t *testing.T) {
	p := New(0, 4*time.Second, 2*time.Second)
	if p.Phase(4*time.Second) != Finished || p.Forwards(4*time.Second) {
		t.Errorf("after the kill it is %v", p.Phase(4*time.Second))
	}
}

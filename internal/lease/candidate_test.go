package lease

import (
	"slices"
	"testing"
)

// sentMessages records the receivers of a candidate's messages, by operation.
type sentMessages struct{ receivers map[Op][]Node }

func (w *sentMessages) Send(to Node, m Message) { w.receivers[m.Op] = append(w.receivers[m.Op], to) }
func (*sentMessages) Acquired(string, uint64)   {}
func (*sentMessages) Lost(string, uint64)       {}

// TestAbandonedRoundIsReleasedWhereGrantsArePossible checks that a candidate releases a failed request only at voters that may have granted
// it, and that it waits for half to all of the time that voters told it to wait.
func TestAbandonedRoundIsReleasedWhereGrantsArePossible(t *testing.T) {
	host := &sentMessages{make(map[Op][]Node)}
	candidate := NewCandidate(host, Holder{9, 1}, "x", simulatedTTL, VoterSet{Version: 1, Voters: []Node{1, 2, 3, 4, 5}}, 1)
	candidate.Campaign(0)
	candidate.Wake(0, 1)
	for n := Node(1); n <= 3; n++ {
		candidate.Receive(n, Message{Op: Reject, Reason: HeldByAnother, Lease: "x", VoterSetVersion: 1, Round: 1, FencingToken: 5, TTL: 10 * simulatedTTL, Holder: Holder{8, 1}}, ms)
	}
	if released := host.receivers[Release]; !slices.Equal(released, []Node{4, 5}) {
		t.Errorf("the request is released at voters %v, want 4 and 5", released)
	}
	if candidate.nextRequestAt < 5*simulatedTTL || candidate.nextRequestAt > 10*simulatedTTL+ms {
		t.Errorf("told to wait for %v, the candidate asks again after %v", 10*simulatedTTL, candidate.nextRequestAt)
	}
}

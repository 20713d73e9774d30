package draingossip

import (
	"bytes"
	"encoding/hex"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"passtack/driver"
)

var update = flag.Bool("update", false, "rewrite golden files")

// TestNoticesAreForwardedOnceAndVerified checks that a notice is forwarded once per incarnation of a member, whichever driver sent it, and that it stops
// requests to the member unless it is of another incarnation or of the last ready member of a group. The next endpoint list overrides it.
func TestNoticesAreForwardedOnceAndVerified(t *testing.T) {
	tracker := NewTracker()
	receive := func(name string, n Notice, want Decision) {
		t.Helper()
		if got := tracker.Receive(n); got != want {
			t.Errorf("%s: decision %+v, want %+v", name, got, want)
		}
	}
	ready := func(startedAt time.Duration) Member {
		return Member{Group: 1, StartedAt: startedAt, State: driver.Ready}
	}
	for id := range MemberID(3) {
		if tracker.UpdateFromList(id, ready(time.Hour), true) {
			t.Error("other drivers are to be notified of a ready member")
		}
	}
	receive("first notice", Notice{0, time.Hour}, Decision{StopRequests: true, Forward: true})
	receive("the same again", Notice{0, time.Hour}, Decision{})
	receive("of another incarnation", Notice{1, 2 * time.Hour}, Decision{})
	receive("of an unknown member", Notice{9, time.Hour}, Decision{})
	receive("of a second member", Notice{1, time.Hour}, Decision{StopRequests: true, Forward: true})
	receive("of the last ready member of the group", Notice{2, time.Hour}, Decision{})
	draining := ready(time.Hour)
	draining.State = driver.Draining
	if tracker.UpdateFromList(2, draining, false) || !tracker.UpdateFromList(2, draining, true) || tracker.UpdateFromList(2, draining, true) {
		t.Error("other drivers are not notified exactly once, by a current list")
	}
	tracker.UpdateFromList(5, ready(time.Hour), true) // another ready member of the group
	tracker.UpdateFromList(0, ready(time.Hour), true) // the list overrides the notice
	receive("again after the list said ready", Notice{0, time.Hour}, Decision{StopRequests: true})
	tracker.UpdateFromList(0, ready(3*time.Hour), true)
	receive("of the next incarnation", Notice{0, 3 * time.Hour}, Decision{StopRequests: true, Forward: true})
	tracker.UpdateFromList(0, Member{State: driver.Gone}, true)
	receive("of a member that is gone", Notice{0, 3 * time.Hour}, Decision{})
}

// TestMalformedNoticesAreRejected checks that encoded notices are decoded again, and that datagrams of other lengths are rejected.
func TestMalformedNoticesAreRejected(t *testing.T) {
	notices := []Notice{{1, time.Hour}, {2, driver.LongAgo}}
	if got, ok := Decode(Encode(notices)); !ok || !slices.Equal(got, notices) {
		t.Errorf("decoded as %v", got)
	}
	for _, malformed := range [][]byte{nil, make([]byte, noticeSize-1), make([]byte, MaxNotices*noticeSize+noticeSize)} {
		if _, ok := Decode(malformed); ok {
			t.Errorf("a malformed datagram of %d bytes is decoded", len(malformed))
		}
	}
}

// TestGoldenNotices checks that notices are encoded to the same bytes as by earlier builds, and decoded to the same values.
func TestGoldenNotices(t *testing.T) {
	const path = "testdata/drain.hex"
	notices := []Notice{
		{Member: 0x0123456789abcdef, StartedAt: 90 * time.Minute},
		{Member: 1, StartedAt: driver.LongAgo},
		{Member: 1<<64 - 1, StartedAt: 1_700_000_000_123_456_789},
	}
	line := hex.EncodeToString(Encode(notices)) + "\n"
	if *update {
		if err := os.WriteFile(path, []byte(line), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if line != string(want) {
		t.Errorf("encoded as %s, want %s", line, want)
	}
	datagram, err := hex.DecodeString(string(bytes.TrimSpace(want)))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := Decode(datagram); !ok || !slices.Equal(got, notices) {
		t.Errorf("decoded as %v", got)
	}
}

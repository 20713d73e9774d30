package rules

import (
	"bytes"
	"compress/gzip"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/pcg"
)

var update = flag.Bool("update", false, "rewrite golden files")

// recorder is a host that writes down every action of the router, each with its time.
type recordingHost struct {
	actionLog
}

func (r *recordingHost) PushBack(id driver.RPC, wait time.Duration) {
	r.record("reason %v", r.router.LastReason())
	r.actionLog.PushBack(id, wait)
}

func (r *recordingHost) Abort(id driver.RPC) {
	r.record("reason %v", r.router.LastReason())
	r.actionLog.Abort(id)
}

func (r *recordingHost) Cancel(id driver.RPC, n int) {
	r.record("cancel %d of %d", n, id)
	r.actionLog.Cancel(id, n)
}

func (r *recordingHost) Remembered(who driver.Session, commit time.Duration) {
	r.record("remembered %d at %v", who, commit)
	r.actionLog.Remembered(who, commit)
}

func (r *recordingHost) Forget(m driver.Member) {
	r.record("forget %d", m)
	r.actionLog.Forget(m)
}

func (r *recordingHost) WakeAfter(wait time.Duration) { r.actionLog.WakeAfter(wait) }
func (r *recordingHost) CloseIdle(m driver.Member)    { r.record("close idle %d", m) }
func (r *recordingHost) FetchList()                   { r.record("fetch list") }

// recordedRuns are drawn runs of calls, each with its seed and the settings that differ from the usual ones.
var recordedRuns = map[string]struct {
	seed   uint64
	checks string
	more   []string
}{
	"nobody-checks":  {1, "none", []string{"mixed=true"}},
	"members-wait":   {2, "wait", []string{"rules.only_draining_binds=true"}},
	"members-refuse": {3, "refuse", []string{"mixed=true", "zone=1"}},
	"tenants":        {4, "wait", []string{"tenants.count=2", "tenants.0.quota=8", "tenants.1.quota=3", "over_share=0.5", "drivers=2"}},
	"remembered":     {5, "none", []string{"family_info.token=remembered", "list=asked"}},
	"few-attempts":   {6, "refuse", []string{"caps.attempts=2", "caps.cancel=false", "caps.probe=false"}},
	"slow-ticks":     {7, "wait", []string{"tick=20000", "mixed=true", "rules.cold_multiple=1.5"}},
	"rests":          {8, "wait", nil},
}

// playRecorded draws a run of requests, lists, faults, halts, reloads and corrections of the clock, and gives every action.
func playRun(t *testing.T, seed uint64, checks string, more []string, rests bool) string {
	w := newCluster(t, seed, checks, more...)
	w.minDeadlineMillis, w.skipsTicks = 20, rests
	r := &recordingHost{actionLog{cluster: w}}
	w.router.host = r
	chance := pcg.New(seed + 1000)
	bad := []driver.Outcome{driver.Miss, driver.Full, driver.Failed, driver.NoConnection, driver.Broken, driver.TimedOut, driver.Moot}
	anyOpen := func() driver.RPC { return w.openRPCs[chance.Below(len(w.openRPCs))] }
	anyMember := func() driver.Member { return w.ids[chance.Below(len(w.ids))] }
	for range 2500 {
		switch draw := chance.Below(1000); {
		case draw < 400:
			token := time.Duration(0)
			if chance.Below(3) > 0 {
				token = w.now - time.Duration(1+chance.Below(12000))*ms
			}
			w.request(chance.Below(len(testMethods)), max(0, token))
		case draw < 720 && len(w.openRPCs) > 0:
			w.endAttempt(anyOpen(), driver.OK)
		case draw < 780 && len(w.openRPCs) > 0:
			w.endAttempt(anyOpen(), bad[chance.Below(len(bad))])
		case draw < 790:
			m := anyMember()
			w.members[m].state = driver.Standing(chance.Below(3))
			w.announce(driver.Changes, m)
		case draw < 800:
			m := anyMember()
			n := w.members[m]
			n.startedAt, n.state, n.attemptTimes, n.attemptLoads, n.leavingSince = w.now, driver.Ready, nil, nil, -1
			w.announce(driver.Changes, m)
		case draw < 803:
			w.announce([]driver.Listing{driver.Whole, driver.Cached, driver.NoList}[chance.Below(3)])
		case draw < 812:
			m := anyMember()
			w.primaries[m%2], w.members[m].wasPrimary = m, true
		case draw < 820:
			w.members[anyMember()].lag = time.Duration(chance.Below(3000)) * ms
		case draw < 850 && len(w.probes) > 0:
			m, n := w.probes[0], w.members[w.probes[0]]
			w.probes = w.probes[1:]
			if chance.Below(4) > 0 && w.primaries[m%2] != m {
				n.reportedPosition = max(n.reportedPosition, n.position)
				w.router.HealthCheckEnded(m, true, ms, []float64{n.position.Seconds(), 0})
			} else {
				w.router.HealthCheckEnded(m, false, ms, nil)
			}
		case draw < 860 && len(w.openRPCs) > 0:
			id := anyOpen()
			w.rpcs[id].answered = true
			w.router.ClientLeft(id)
		case draw < 864 && len(w.openRPCs) > 0:
			w.router.ClientHalfClosed(anyOpen())
		case draw < 867 && len(w.openRPCs) > 0:
			if id := anyOpen(); !w.rpcs[id].answered {
				w.router.AnswerNow(id)
			}
		case draw < 869:
			w.now += time.Duration(100+chance.Below(900)) * ms // the driver is suspended
		case draw < 871:
			w.router.ApplySettings(testSettings(checks, append(more, fmt.Sprintf("methods.%d.utility=%d", chance.Below(len(testMethods)), 1+chance.Below(9)), "caps.attempts=4")...))
		case draw < 873:
			w.router.SetClockUncertainty(time.Duration(chance.Below(500)) * ms)
		case draw < 874 && w.membersCheckFreshness && !w.onlyDrainingBinds: // starts that the world lists are not corrected with it
			w.router.CorrectClock(time.Duration(chance.Below(200)-100) * ms)
		case draw < 878 && w.membersCheckFreshness: // what is restored here was never told
			w.router.RestoreMember(anyMember(), driver.Known{Position: w.now - 5*time.Second, Replica: w.now - 6*time.Second, Timed: w.now - time.Second, Ratio: 1 + chance.Float()}, w.now-ms)
		case draw < 880 && w.membersCheckFreshness: // it goes over the token that a request carries
			w.router.RestoreSessionCommit(7, w.now-time.Duration(chance.Below(3000))*ms)
		case draw < 882:
			w.router.LearnedMembers(0, 100, func(m driver.Member, k driver.Known) { r.record("learned %d %+v", m, k) })
			r.record("usual %v", w.router.TypicalLatencies())
		default:
			w.advance(time.Duration(5+chance.Below(40)) * ms)
		}
	}
	w.advance(3 * time.Second)
	return r.lines.String()
}

// TestDecisionsAreAsRecorded compares every action of drawn runs with recordings of an earlier version: a change of structure changes no
// decision. A change that is meant to change decisions rewrites them with -update and says why.
func TestDecisionsMatchRecordings(t *testing.T) {
	for name, run := range recordedRuns {
		t.Run(name, func(t *testing.T) {
			got := playRun(t, run.seed, run.checks, run.more, name == "rests")
			file := filepath.Join("testdata", name+".txt.gz")
			if *update {
				writeRecording(t, file, got)
			}
			want := readRecording(t, file)
			if got == want {
				return
			}
			gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
			for i := range min(len(gotLines), len(wantLines)) {
				if gotLines[i] != wantLines[i] {
					t.Fatalf("action %d is %q, recorded %q", i, gotLines[i], wantLines[i])
				}
			}
			t.Fatalf("%d actions, recorded %d", len(gotLines), len(wantLines))
		})
	}
}

func writeRecording(t *testing.T, file, text string) {
	t.Helper()
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readRecording(t *testing.T, file string) string {
	t.Helper()
	packed, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
	r, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

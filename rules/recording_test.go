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

// recordingHost is a host that records every action of the router with its time, including the reasons for giving up.
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

func (r *recordingHost) SessionWrote(session driver.Session, commit time.Duration) {
	r.record("remembered %d at %v", session, commit)
	r.actionLog.SessionWrote(session, commit)
}

func (r *recordingHost) Forget(m driver.Member) {
	r.record("forget %d", m)
	r.actionLog.Forget(m)
}

func (r *recordingHost) WakeAfter(wait time.Duration) { r.actionLog.WakeAfter(wait) }
func (r *recordingHost) CloseIdle(m driver.Member)    { r.record("close idle %d", m) }
func (r *recordingHost) FetchList()                   { r.record("fetch list") }

// recordedRuns are random sequences of calls, each with its seed and the settings that differ from testSettings. The names are those of the
// files in testdata.
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

// playRun generates a random sequence of requests, endpoint lists, faults, pauses, reloads and clock corrections, and returns every action.
func playRun(t *testing.T, seed uint64, checks string, more []string, skipsTicks bool) string {
	c := newCluster(t, seed, checks, more...)
	c.minDeadlineMillis, c.skipsTicks = 20, skipsTicks
	r := &recordingHost{actionLog{cluster: c}}
	c.router.host = r
	random := pcg.New(seed + 1000)
	bad := []driver.Outcome{driver.Misdirected, driver.Full, driver.Failed, driver.NoConnection, driver.Broken, driver.TimedOut, driver.NotSent}
	anyOpen := func() driver.RPC { return c.openRPCs[random.Below(len(c.openRPCs))] }
	anyMember := func() driver.Member { return c.ids[random.Below(len(c.ids))] }
	for range 2500 {
		switch draw := random.Below(1000); {
		case draw < 400:
			commit := time.Duration(0)
			if random.Below(3) > 0 {
				commit = c.now - time.Duration(1+random.Below(12000))*ms
			}
			c.request(random.Below(len(testMethods)), max(0, commit))
		case draw < 720 && len(c.openRPCs) > 0:
			c.endAttempt(anyOpen(), driver.OK)
		case draw < 780 && len(c.openRPCs) > 0:
			c.endAttempt(anyOpen(), bad[random.Below(len(bad))])
		case draw < 790:
			m := anyMember()
			c.members[m].state = driver.MemberState(random.Below(3))
			c.announce(driver.Changes, m)
		case draw < 800:
			m := anyMember()
			n := c.members[m]
			n.startedAt, n.state, n.attemptTimes, n.attemptLoads, n.leavingSince = c.now, driver.Ready, nil, nil, -1
			c.announce(driver.Changes, m)
		case draw < 803:
			c.announce([]driver.ListKind{driver.Complete, driver.Cached, driver.NoList}[random.Below(3)])
		case draw < 812:
			m := anyMember()
			c.primaries[m%2], c.members[m].wasPrimary = m, true
		case draw < 820:
			c.members[anyMember()].lag = time.Duration(random.Below(3000)) * ms
		case draw < 850 && len(c.probes) > 0:
			m, n := c.probes[0], c.members[c.probes[0]]
			c.probes = c.probes[1:]
			if random.Below(4) > 0 && c.primaries[m%2] != m {
				n.reportedPosition = max(n.reportedPosition, n.position)
				c.router.HealthCheckEnded(m, true, ms, []float64{n.position.Seconds(), 0})
			} else {
				c.router.HealthCheckEnded(m, false, ms, nil)
			}
		case draw < 860 && len(c.openRPCs) > 0:
			id := anyOpen()
			c.rpcs[id].answered = true
			c.router.ClientLeft(id)
		case draw < 864 && len(c.openRPCs) > 0:
			c.router.ClientHalfClosed(anyOpen())
		case draw < 867 && len(c.openRPCs) > 0:
			if id := anyOpen(); !c.rpcs[id].answered {
				c.router.AnswerNow(id)
			}
		case draw < 869:
			c.now += time.Duration(100+random.Below(900)) * ms // a pause of the driver
		case draw < 871:
			c.router.ApplySettings(testSettings(checks, append(more, fmt.Sprintf("methods.%d.utility=%d", random.Below(len(testMethods)), 1+random.Below(9)), "caps.attempts=4")...))
		case draw < 873:
			c.router.SetClockUncertainty(time.Duration(random.Below(500)) * ms)
		case draw < 874 && c.membersCheckFreshness && !c.onlyDrainingBinds: // the starts that the cluster lists are not corrected
			c.router.CorrectClock(time.Duration(random.Below(200)-100) * ms)
		case draw < 878 && c.membersCheckFreshness: // the restored positions were never reported
			c.router.RestoreMember(anyMember(), driver.MemberSnapshot{Position: c.now - 5*time.Second, Replica: c.now - 6*time.Second, Timed: c.now - time.Second, Ratio: 1 + random.Float()}, c.now-ms)
		case draw < 880 && c.membersCheckFreshness: // a restored commit takes precedence over the one that a request carries
			c.router.RestoreSessionCommit(7, c.now-time.Duration(random.Below(3000))*ms)
		case draw < 882:
			c.router.LearnedMembers(0, 100, func(m driver.Member, k driver.MemberSnapshot) { r.record("learned %d %+v", m, k) })
			r.record("usual %v", c.router.TypicalLatencies())
		default:
			c.advance(time.Duration(5+random.Below(40)) * ms)
		}
	}
	c.advance(3 * time.Second)
	return r.lines.String()
}

// Compares every action of random runs with recordings of an earlier version, so that a refactoring does not change decisions unnoticed. A
// change that is meant to change decisions rewrites the recordings with -update and says why.
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

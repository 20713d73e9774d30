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
type recorder struct {
	diary
}

func (r *recorder) PushBack(id driver.RPC, wait time.Duration) {
	r.note("reason %v", r.r.LastReason())
	r.diary.PushBack(id, wait)
}

func (r *recorder) Abort(id driver.RPC) {
	r.note("reason %v", r.r.LastReason())
	r.diary.Abort(id)
}

func (r *recorder) Cancel(id driver.RPC, n int) {
	r.note("cancel %d of %d", n, id)
	r.diary.Cancel(id, n)
}

func (r *recorder) Remembered(who driver.Session, commit time.Duration) {
	r.note("remembered %d at %v", who, commit)
	r.diary.Remembered(who, commit)
}

func (r *recorder) Forget(m driver.Member) {
	r.note("forget %d", m)
	r.diary.Forget(m)
}

func (r *recorder) WakeAfter(wait time.Duration) { r.diary.WakeAfter(wait) }
func (r *recorder) CloseIdle(m driver.Member)    { r.note("close idle %d", m) }
func (r *recorder) FetchList()                   { r.note("fetch list") }

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
func playRecorded(t *testing.T, seed uint64, checks string, more []string, rests bool) string {
	w := newWorld(t, seed, checks, more...)
	w.least, w.rests = 20, rests
	r := &recorder{diary{world: w}}
	w.r.host = r
	chance := pcg.New(seed + 1000)
	bad := []driver.Outcome{driver.Miss, driver.Full, driver.Failed, driver.NoConnection, driver.Broken, driver.TimedOut, driver.Moot}
	anyOpen := func() driver.RPC { return w.open[chance.Below(len(w.open))] }
	anyMember := func() driver.Member { return w.order[chance.Below(len(w.order))] }
	for range 2500 {
		switch draw := chance.Below(1000); {
		case draw < 400:
			token := time.Duration(0)
			if chance.Below(3) > 0 {
				token = w.now - time.Duration(1+chance.Below(12000))*ms
			}
			w.take(chance.Below(len(testMethods)), max(0, token))
		case draw < 720 && len(w.open) > 0:
			w.end(anyOpen(), driver.OK)
		case draw < 780 && len(w.open) > 0:
			w.end(anyOpen(), bad[chance.Below(len(bad))])
		case draw < 790:
			m := anyMember()
			w.nodes[m].standing = driver.Standing(chance.Below(3))
			w.list(driver.Changes, m)
		case draw < 800:
			m := anyMember()
			n := w.nodes[m]
			n.started, n.standing, n.sent, n.work, n.leftAt = w.now, driver.Ready, nil, nil, -1
			w.list(driver.Changes, m)
		case draw < 803:
			w.list([]driver.Listing{driver.Whole, driver.Cached, driver.NoList}[chance.Below(3)])
		case draw < 812:
			m := anyMember()
			w.primary[m%2], w.nodes[m].wasPrimary = m, true
		case draw < 820:
			w.nodes[anyMember()].lag = time.Duration(chance.Below(3000)) * ms
		case draw < 850 && len(w.probes) > 0:
			m, n := w.probes[0], w.nodes[w.probes[0]]
			w.probes = w.probes[1:]
			if chance.Below(4) > 0 && w.primary[m%2] != m {
				n.told = max(n.told, n.pos)
				w.r.Probed(m, true, ms, []float64{n.pos.Seconds(), 0})
			} else {
				w.r.Probed(m, false, ms, nil)
			}
		case draw < 860 && len(w.open) > 0:
			id := anyOpen()
			w.rpcs[id].ended = true
			w.r.ClientLeft(id)
		case draw < 864 && len(w.open) > 0:
			w.r.ClientParts(anyOpen())
		case draw < 867 && len(w.open) > 0:
			if id := anyOpen(); !w.rpcs[id].ended {
				w.r.CutOff(id)
			}
		case draw < 869:
			w.now += time.Duration(100+chance.Below(900)) * ms // the driver is suspended
		case draw < 871:
			w.r.Change(settingsOf(checks, append(more, fmt.Sprintf("methods.%d.utility=%d", chance.Below(len(testMethods)), 1+chance.Below(9)), "caps.attempts=4")...))
		case draw < 873:
			w.r.DoubtClock(time.Duration(chance.Below(500)) * ms)
		case draw < 874 && w.checks && !w.lax: // starts that the world lists are not corrected with it
			w.r.CorrectClock(time.Duration(chance.Below(200)-100) * ms)
		case draw < 878 && w.checks: // what is restored here was never told
			w.r.Recall(anyMember(), driver.Known{Position: w.now - 5*time.Second, Replica: w.now - 6*time.Second, Timed: w.now - time.Second, Ratio: 1 + chance.Float()}, w.now-ms)
		case draw < 880 && w.checks: // it goes over the token that a request carries
			w.r.RecallToken(7, w.now-time.Duration(chance.Below(3000))*ms)
		case draw < 882:
			w.r.Learned(0, 100, func(m driver.Member, k driver.Known) { r.note("learned %d %+v", m, k) })
			r.note("usual %v", w.r.Usual())
		default:
			w.step(time.Duration(5+chance.Below(40)) * ms)
		}
	}
	w.step(3 * time.Second)
	return r.lines.String()
}

// TestDecisionsAreAsRecorded compares every action of drawn runs with recordings of an earlier version: a change of structure changes no
// decision. A change that is meant to change decisions rewrites them with -update and says why.
func TestDecisionsAreAsRecorded(t *testing.T) {
	for name, run := range recordedRuns {
		t.Run(name, func(t *testing.T) {
			got := playRecorded(t, run.seed, run.checks, run.more, name == "rests")
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

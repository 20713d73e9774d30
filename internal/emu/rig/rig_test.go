package rig

import (
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
	"passtack/internal/testprogram"
)

func TestMain(m *testing.M) {
	if file := os.Getenv("RIG_PLAYS"); file != "" { // this process is started by TestDriversEndWithTheirPlayer, which kills it during the play
		s, err := play.ReadScript(file)
		if err == nil {
			_, err = Play(s, 1, Programs{Path: os.Getenv("RIG_PROGRAM")}, os.Stdout)
		}
		fmt.Println(err)
		os.Exit(1)
	}
	flag.Set("test.parallel", "32") // plays mostly wait; each kind of play limits its own concurrency
	testprogram.Main(m)
}

// playSlots limits concurrent plays: they run in real time, and other tests need CPU cores as well.
var playSlots = make(chan bool, 4)

func playLimited(s *play.Script, seed uint64, log io.Writer) (*play.Result, error) {
	at, err := testprogram.Path()
	if err != nil {
		return nil, err
	}
	playSlots <- true
	defer func() { <-playSlots }()
	return Play(s, seed, Programs{Path: at}, log)
}

// playDrill plays a script of deploy/drills with processes, at a quarter of its load, which a small machine can carry.
func playDrill(t *testing.T, name string, change func(s *play.Script)) *play.Result {
	t.Helper()
	s, err := play.ReadScript("../../../deploy/drills/" + name + ".hcl")
	if err != nil {
		t.Fatal(err)
	}
	s.Rate, s.MemberSpec.Cores = s.Rate/4, 1
	if change != nil {
		change(s)
	}
	var log strings.Builder
	r, err := playLimited(s, 1, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	return r
}

// recoveryBounds are the limits for the recovery after an outage of drivers.
type recoveryBounds struct {
	fullService         time.Duration // from the start of the last driver to full service
	connects            float64       // new connections in one second to one member
	formerPrimaryWrites float64       // writes sent to former primaries
}

// Recovery of a fleet after outages of its drivers: full service has to return in time, without more new connections or cold load than members
// can take, without attempts at drained members, and with few writes to former primaries.
func TestFleetRecoversWithinBounds(t *testing.T) {
	for name, want := range map[string]recoveryBounds{
		"most-killed":        {2 * time.Second, 45, 0},
		"all-killed":         {2 * time.Second, 60, 0},
		"all-killed-no-list": {2 * time.Second, 60, 0},
		"all-cold":           {6 * time.Second, 60, 200},
		"primary-moved":      {4 * time.Second, 60, 30},
		"frozen":             {4 * time.Second, 60, 0},
		"killed-twice":       {2 * time.Second, 60, 0},
		"halves":             {6 * time.Second, 60, 20},
		"stay":               {2 * time.Second, 60, 0},
		"folders":            {2 * time.Second, 60, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := playDrill(t, name, nil)
			var report strings.Builder
			r.Print(&report)
			r.Table(&report)
			defer func() {
				if t.Failed() {
					t.Log(report.String())
				}
			}()
			if len(r.Broken) > 0 {
				t.Errorf("rules are broken: %v", r.Broken[:min(3, len(r.Broken))])
			}
			recoveries := r.Recoveries()
			if len(recoveries) == 0 {
				t.Fatal("the script had no outage of drivers")
			}
			last := recoveries[len(recoveries)-1]
			t.Logf("full service after %v, connections %+v, cold %.2f, stale %v", last.FullServiceAfter, last.Load(emu.Connects), last.ColdLoad, last.FormerPrimaryWrites)
			if last.Up < 0 || last.FullServiceAfter < 0 || last.FullServiceAfter > want.fullService {
				t.Errorf("full service %v after the last driver was up, at most %v is allowed", last.FullServiceAfter, want.fullService)
			}
			for _, recovery := range recoveries {
				if l := recovery.Load(emu.Connects); l.After > want.connects {
					t.Errorf("%s got %.0f connections in a second, at most %.0f are allowed; %.0f before the outage", l.Where, l.After, want.connects, l.Before)
				}
				if recovery.ColdLoad >= 1 || recovery.DrainedAttempts > 0 || recovery.FormerPrimaryWrites > want.formerPrimaryWrites {
					t.Errorf("cold members got %.2f of the load that overloads them, %v attempts at drained members, %v writes at former primaries", recovery.ColdLoad, recovery.DrainedAttempts, recovery.FormerPrimaryWrites)
				}
			}
		})
	}
}

// quickScript is a small script for tests of link faults and state folders.
const quickScript = `lasts = "3s"
fleet {
  drivers = 3
  members = 3
  notice = "300ms"
  takeover = "300ms"
  list_delay = "200ms"
}
load {
  rate = 120
  retries = 4
  sessions = 50
  method "look" {
    need = "any"
    work = "2ms..4ms"
    soft = "1s"
    limit = "1500ms"
    share = 1
  }
}
`

func playQuickScript(t *testing.T, more string) *play.Result {
	t.Helper()
	s, err := play.ParseScript([]byte(quickScript+more), "quick.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := playLimited(s, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 {
		t.Errorf("rules are broken: %v", r.Broken[:min(3, len(r.Broken))])
	}
	return r
}

// Each kind of link fault has to affect the links that the script names, and no others.
func TestLinkFaults(t *testing.T) {
	trouble := func(kind, more string) string {
		return fmt.Sprintf("trouble %q {\n  at = \"1s\"\n  lasts = \"1500ms\"\n  %s\n}\n", kind, strings.ReplaceAll(more, ";", "\n  "))
	}
	part := func(r *play.Result, driver int) float64 {
		return r.UtilitySeries.ServedShare(driver, 1200*time.Millisecond, 2300*time.Millisecond)
	}
	for name, c := range map[string]struct {
		more string
		fits func(r *play.Result) bool
	}{
		"nothing": {"", func(r *play.Result) bool { return r.Utility == 1 }},
		"cut off": {trouble("cut", `on = [1]`), func(r *play.Result) bool {
			return r.Answers[emu.PushedBack] > 20 && part(r, 1) < 0.95 && part(r, 0) > 0.99
		}},
		"cut one way": {trouble("cut", `from = ["members"];to = ["d1"];one_way = true`), func(r *play.Result) bool {
			return r.Answers[emu.PushedBack] > 20 && part(r, 1) < 0.95 && part(r, 0) > 0.99
		}},
		"refused":         {trouble("refuse", `from = ["clients"];to = ["d2"]`) + trouble("reset", `from = ["clients"];to = ["d2"]`), func(r *play.Result) bool { return r.Answers[emu.NotTaken] > 20 && part(r, 0) > 0.99 }},
		"reset":           {trouble("reset", `from = ["drivers"];to = ["members"]`), func(r *play.Result) bool { return r.Ledger.Sum(emu.Connects, 1, 3) > 5 }},
		"delayed":         {trouble("delay", `from = ["clients"];to = ["d0"];by = "300ms"`), func(r *play.Result) bool { return r.Latency(90) > 500 && r.Latency(30) < 200 }},
		"lossy":           {trouble("loss", `on = [0, 1, 2];times = 0.5`), func(r *play.Result) bool { return r.Latency(80) > 150 && r.Latency(10) < 100 }},
		"low bandwidth":   {trouble("thin", `from = ["clients"];to = ["d0"];rate = 400`), func(r *play.Result) bool { return r.Latency(90) > 300 && part(r, 1) > 0.99 }},
		"member isolated": {trouble("partition", `islands = [["drivers", "m0..1"], ["m2"]]`), func(r *play.Result) bool { return r.Utility > 0.8 && r.Ledger.Sum(emu.Attempts, 2, 3) > 60 }},
		"no discovery":    {trouble("cut", `from = ["drivers"];to = ["discovery"]`), func(r *play.Result) bool { return r.Utility > 0.99 }},
		"flapping":        {trouble("cut", `on = [1];every = "100ms"`), func(r *play.Result) bool { return part(r, 1) > 0.6 && part(r, 0) > 0.99 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := playQuickScript(t, c.more); !c.fits(r) {
				var report strings.Builder
				r.Print(&report)
				r.Table(&report)
				t.Errorf("utility got by d0, d1, d2: %.2f, %.2f, %.2f\n%s", part(r, 0), part(r, 1), part(r, 2), report.String())
			}
		})
	}
}

// Planned stops of drivers must not lose requests, and the timeline lists their steps in order.
func TestPlannedDriverStops(t *testing.T) {
	r := playQuickScript(t, "trouble \"driver_stop\" {\n  at = \"1s\"\n  lasts = \"200ms\"\n  within = \"500ms\"\n  on = [0, 2]\n}\n")
	if r.Answers[emu.Nothing] > 0 || r.Utility < 0.95 {
		t.Errorf("answers %v, utility %v", r.Answers, r.Utility)
	}
	var events []string
	for _, event := range r.Timeline.Events {
		if event.Who == "d0" && !strings.HasPrefix(event.What, "is ") {
			events = append(events, event.What)
		}
	}
	if !slices.Equal(events, []string{"driver_stop", "ended", "starts", "serves"}) {
		t.Errorf("events of d0 in the timeline: %v", events)
	}
	if outages := r.Outages; len(outages) != 1 || outages[0].Up < outages[0].At || len(outages[0].Drivers) != 2 {
		t.Errorf("outages: %+v", outages)
	}
}

// A driver that exits without being signalled fails the play, with an error that names it. So does an older program that is not given.
func TestUnexpectedProcessExitFailsPlay(t *testing.T) {
	s, err := play.ParseScript([]byte(quickScript), "quick.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Play(s, 1, Programs{Path: "/bin/false"}, io.Discard); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("Play returned %v", err)
	}
	s.Older = []int{1}
	if _, err := Play(s, 1, Programs{Path: "/bin/false"}, io.Discard); err == nil || !strings.Contains(err.Error(), "older program for driver 1") {
		t.Errorf("Play returned %v", err)
	}
}

// Drivers must not survive when the process that plays the script is killed.
func TestDriversEndWithTheirPlayer(t *testing.T) {
	at, err := testprogram.Path()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "quick.hcl")
	if err := os.WriteFile(file, []byte(strings.Replace(quickScript, `"3s"`, `"60s"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	player := exec.Command(os.Args[0])
	player.Env = append(os.Environ(), "RIG_PLAYS="+file, "RIG_PROGRAM="+at)
	player.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := player.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := player.Start(); err != nil {
		t.Fatal(err)
	}
	output, seen := make([]byte, 1<<16), 0
	for strings.Count(string(output[:seen]), "event=started") < 3 {
		n, err := out.Read(output[seen:])
		if seen += n; err != nil {
			t.Fatalf("%v: %s", err, output[:seen])
		}
	}
	var drivers []int
	found, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, name := range found {
		text, _ := os.ReadFile(name)
		_, rest, _ := strings.Cut(string(text), ") ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(player.Process.Pid) {
			pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(name)))
			drivers = append(drivers, pid)
		}
	}
	if len(drivers) != 3 {
		t.Fatalf("%d drivers run, want 3", len(drivers))
	}
	player.Process.Kill()
	player.Wait()
	for deadline := time.Now().Add(10 * time.Second); len(drivers) > 0; time.Sleep(10 * time.Millisecond) {
		drivers = slices.DeleteFunc(drivers, func(pid int) bool { // ended, or a zombie that its new parent has not reaped yet
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			return err != nil || strings.Contains(string(text), ") Z ")
		})
		if time.Now().After(deadline) {
			t.Fatalf("drivers %v still run 10 s after the player was killed", drivers)
		}
	}
}

// A driver that saves continuously is killed 25 times, at any point of saving. Each restart has to find its folder unlocked and its state complete:
// the newest or an older one, never a partial one.
func TestKilledWhileSaving(t *testing.T) {
	t.Parallel()
	const times = 25
	kills := fmt.Sprintf("trouble \"driver_kill\" {\n  at = \"500ms\"\n  lasts = \"50ms\"\n  times = %d\n  every = \"331ms\"\n  on = [0]\n}\n", times)
	text := strings.NewReplacer(`"3s"`, `"9s"`, "members = 3", "members = 3\n  folders = true\n  save_every = \"100ms\"").Replace(quickScript) + kills
	s, err := play.ParseScript([]byte(text), "kills.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := playLimited(s, 3, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	restored, lost := 0, 0
	for _, event := range r.Timeline.Events {
		switch {
		case strings.HasPrefix(event.What, "learned state restored members=3"):
			restored++
		case strings.HasPrefix(event.What, "learned state damaged"):
			lost++ // the end of a log is unreadable; the state before the last commit is restored
		case strings.HasPrefix(event.What, "learned state "):
			t.Errorf("%v %s: %s", event.At, event.Who, event.What)
		}
	}
	if restored < times-2 || lost > times/2 || len(r.Broken) > 0 {
		t.Errorf("%d of %d starts restored their members, %d lost the end of a log; broken rules: %v", restored, times, lost, r.Broken)
	}
}

// withStateFolders changes a script so that its drivers save their learned state.
func withStateFolders(text string) string {
	return strings.Replace(text, "members = 3", "members = 3\n  folders = true\n  save_every = \"100ms\"", 1)
}

// The disks of all three drivers stall for five seconds from a restart on. RPCs must not take longer than with working disks, and each driver has
// to log the failure once.
func TestStalledDiskDoesNotDelayRequests(t *testing.T) {
	t.Parallel()
	latency := func(folder string) (float64, *play.Result) {
		text := withStateFolders(strings.Replace(quickScript, `"3s"`, `"8s"`, 1)) + fmt.Sprintf("trouble \"driver_kill\" {\n  at = \"500ms\"\n  lasts = \"100ms\"\n  on = [0, 1, 2]\n  folder = %q\n}\n", folder)
		s, err := play.ParseScript([]byte(text), "stall.hcl")
		if err != nil {
			t.Fatal(err)
		}
		r, err := playLimited(s, 2, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 {
			t.Errorf("%s: %v", folder, r.Broken)
		}
		return r.Latency(95), r
	}
	usual, _ := latency("kept")
	stalled, r := latency("stalled")
	failures := 0
	for _, event := range r.Timeline.Events {
		if strings.HasPrefix(event.What, "learned state not saved") {
			failures++
		}
	}
	t.Logf("95th percentile of latency %.1f ms, with stalled disks %.1f ms; %d failures", usual, stalled, failures)
	if stalled > usual+10 || failures != 3 || r.Utility < 0.9 {
		t.Errorf("95th percentile with stalled disks %.1f ms, without %.1f ms; %d failures, want 3; utility %.3f", stalled, usual, failures, r.Utility)
	}
}

// Discovery does not answer while drivers restart with an outdated initial endpoint list. With the list that they saved they must not send requests
// to a member that has drained since; without their folders they do. A busy disk delays the restart by seconds, so attempts count only once all
// drivers serve again: before that, none would prove nothing.
func TestSavedEndpointListKeepsDrains(t *testing.T) {
	t.Parallel()
	const (
		killed       = 6 * time.Second // the drivers save the drain before; a busy disk takes seconds for it
		countFrom    = 7               // second of the script
		countSeconds = 2
		endSecond    = 15
	)
	for folder, drained := range map[string]bool{"kept": false, "emptied": true} {
		script := strings.Replace(quickScript, `"3s"`, fmt.Sprintf(`"%ds"`, endSecond), 1)
		text := strings.Replace(withStateFolders(script), "folders = true", "folders = true\n  known = \"first\"", 1) + fmt.Sprintf(`
trouble "drain" {
  at = "500ms"
  lasts = "20s"
  on = [2]
}
trouble "discovery" {
  at = "5500ms"
  lasts = "20s"
}
trouble "driver_kill" {
  at = %q
  lasts = "300ms"
  on = [0, 1, 2]
  folder = %q
}
`, killed, folder)
		s, err := play.ParseScript([]byte(text), "list.hcl")
		if err != nil {
			t.Fatal(err)
		}
		r, err := playLimited(s, 2, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		served := servedAfter(r, killed)
		from := max(countFrom, int(math.Ceil(served.last.Seconds())))
		if served.drivers != 3 || from+countSeconds > endSecond {
			t.Errorf("folder %s: %d drivers serve after the kill, the last at %v; want 3, at %d s at the latest", folder, served.drivers, served.last, endSecond-countSeconds)
		}
		to := from + countSeconds
		if !drained {
			from, to = countFrom, endSecond
		}
		if n := r.Ledger.Sum(emu.DrainedAttempts, from, to); (n > 0) != drained {
			t.Errorf("folder %s: %v attempts from second %d to %d at a member that had drained before the restart", folder, n, from, to)
		}
		if t.Failed() {
			var timeline strings.Builder
			r.Timeline.Print(&timeline)
			t.Logf("folder %s:\n%s", folder, timeline.String())
		}
	}
}

// restarts is how many drivers serve after a kill of all, and when the last of them does.
type restarts struct {
	drivers int
	last    time.Duration // since the script's start
}

// servedAfter returns which restarts the timeline shows after a time.
func servedAfter(r *play.Result, killed time.Duration) (served restarts) {
	for _, event := range r.Timeline.Events {
		if event.At > killed && event.What == "serves" {
			served.drivers++
			served.last = max(served.last, event.At)
		}
	}
	return served
}

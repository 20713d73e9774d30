package rig

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
)

// program builds passtack once.
var program = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "passtack")
	if err != nil {
		return "", err
	}
	name := filepath.Join(folder, "passtack")
	if out, err := exec.Command("go", "build", "-o", name, "passtack/cmd/passtack").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return name, nil
})

func TestMain(m *testing.M) {
	if file := os.Getenv("RIG_PLAYS"); file != "" { // a test has started this one, to end it in the middle
		s, err := play.ReadScript(file)
		if err == nil {
			_, err = Play(s, 1, Programs{Path: os.Getenv("RIG_PROGRAM")}, os.Stdout)
		}
		fmt.Println(err)
		os.Exit(1)
	}
	flag.Set("test.parallel", "32") // plays wait most of the time; how many go on at once is bounded by each kind
	code := m.Run()
	if name, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(name))
	}
	os.Exit(code)
}

// abreast bounds how many plays go on at once: they are in real time, and other tests want cores too.
var abreast = make(chan bool, 4)

func playAbreast(s *play.Script, seed uint64, log io.Writer) (*play.Result, error) {
	at, err := program()
	if err != nil {
		return nil, err
	}
	abreast <- true
	defer func() { <-abreast }()
	return Play(s, seed, Programs{Path: at}, log)
}

// drill plays one of deploy/drills with processes, at the part of its load that a small machine bears.
func drill(t *testing.T, name string, change func(s *play.Script)) *play.Result {
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
	r, err := playAbreast(s, 1, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	return r
}

// bounds are what a return from a fall has to keep.
type bounds struct {
	whole    time.Duration // until service is whole after the last driver is up
	connects float64       // in one second at one member
	stale    float64       // writes at members that are primary no more
}

// Fleets of processes come back: rules are kept, service is whole within bounds, no member gets more connections than it
// should nor more than tips it, and nobody acts on what held before.
func TestFleetComesBack(t *testing.T) {
	for name, want := range map[string]bounds{
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
			r := drill(t, name, nil)
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
			returns := r.Recoveries()
			if len(returns) == 0 {
				t.Fatal("nothing fell")
			}
			last := returns[len(returns)-1]
			t.Logf("whole after %v, connections %+v, cold %.2f, stale %v", last.Whole, last.Load(emu.Connects), last.Cold, last.Stale)
			if last.Up < 0 || last.Whole < 0 || last.Whole > want.whole {
				t.Errorf("service is whole %v after the last driver was up, %v is allowed", last.Whole, want.whole)
			}
			for _, back := range returns {
				if l := back.Load(emu.Connects); l.After > want.connects {
					t.Errorf("%s got %.0f connections in a second, %.0f are allowed and %.0f are usual", l.Where, l.After, want.connects, l.Before)
				}
				if back.Cold >= 1 || back.Drained > 0 || back.Stale > want.stale {
					t.Errorf("%.2f of what tips a cold member, %v attempts at drained ones, %v writes at former primaries", back.Cold, back.Drained, back.Stale)
				}
			}
		})
	}
}

// quick is a small script for what links do.
const quick = `lasts = "3s"
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

func playQuick(t *testing.T, more string) *play.Result {
	t.Helper()
	s, err := play.ParseScript([]byte(quick+more), "quick.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := playAbreast(s, 2, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Broken) > 0 {
		t.Errorf("rules are broken: %v", r.Broken[:min(3, len(r.Broken))])
	}
	return r
}

// Links of processes are troubled by the words of a script, on the roads that it names and on no others.
func TestLinksOfProcesses(t *testing.T) {
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
		"refused":        {trouble("refuse", `from = ["clients"];to = ["d2"]`) + trouble("reset", `from = ["clients"];to = ["d2"]`), func(r *play.Result) bool { return r.Answers[emu.NotTaken] > 20 && part(r, 0) > 0.99 }},
		"reset":          {trouble("reset", `from = ["drivers"];to = ["members"]`), func(r *play.Result) bool { return r.Ledger.Sum(emu.Connects, 1, 3) > 5 }},
		"late":           {trouble("delay", `from = ["clients"];to = ["d0"];by = "300ms"`), func(r *play.Result) bool { return r.Latency(90) > 500 && r.Latency(30) < 200 }},
		"lossy":          {trouble("loss", `on = [0, 1, 2];times = 0.5`), func(r *play.Result) bool { return r.Latency(80) > 150 && r.Latency(10) < 100 }},
		"thin":           {trouble("thin", `from = ["clients"];to = ["d0"];rate = 400`), func(r *play.Result) bool { return r.Latency(90) > 300 && part(r, 1) > 0.99 }},
		"a member alone": {trouble("partition", `islands = [["drivers", "m0..1"], ["m2"]]`), func(r *play.Result) bool { return r.Utility > 0.8 && r.Ledger.Sum(emu.Attempts, 2, 3) > 60 }},
		"no list":        {trouble("cut", `from = ["drivers"];to = ["discovery"]`), func(r *play.Result) bool { return r.Utility > 0.99 }},
		"flapping":       {trouble("cut", `on = [1];every = "100ms"`), func(r *play.Result) bool { return part(r, 1) > 0.6 && part(r, 0) > 0.99 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if r := playQuick(t, c.more); !c.fits(r) {
				var report strings.Builder
				r.Print(&report)
				r.Table(&report)
				t.Errorf("parts %.2f, %.2f, %.2f\n%s", part(r, 0), part(r, 1), part(r, 2), report.String())
			}
		})
	}
}

// A planned stop loses nothing, and the course tells of it in order.
func TestPlannedStopsOfProcesses(t *testing.T) {
	r := playQuick(t, "trouble \"driver_stop\" {\n  at = \"1s\"\n  lasts = \"200ms\"\n  within = \"500ms\"\n  on = [0, 2]\n}\n")
	if r.Answers[emu.Nothing] > 0 || r.Utility < 0.95 {
		t.Errorf("answers %v, utility %v", r.Answers, r.Utility)
	}
	var words []string
	for _, m := range r.Course.Events {
		if m.Who == "d0" && !strings.HasPrefix(m.What, "is ") {
			words = append(words, m.What)
		}
	}
	if !slices.Equal(words, []string{"driver_stop", "ended", "starts", "serves"}) {
		t.Errorf("the course of d0: %v", words)
	}
	if f := r.Outages; len(f) != 1 || f[0].Up < f[0].At || len(f[0].Drivers) != 2 {
		t.Errorf("falls: %+v", f)
	}
}

// A driver that ends by itself breaks the play, and is named.
func TestAProcessThatEndsByItselfIsTold(t *testing.T) {
	s, err := play.ParseScript([]byte(quick), "quick.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Play(s, 1, Programs{Path: "/bin/false"}, io.Discard); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("it says %v", err)
	}
	s.Older = []int{1}
	if _, err := Play(s, 1, Programs{Path: "/bin/false"}, io.Discard); err == nil || !strings.Contains(err.Error(), "older program for driver 1") {
		t.Errorf("it says %v", err)
	}
}

// Whoever plays may be killed at any moment: no driver is left.
func TestNoProcessOutlivesThePlayer(t *testing.T) {
	at, err := program()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "quick.hcl")
	if err := os.WriteFile(file, []byte(strings.Replace(quick, `"3s"`, `"60s"`, 1)), 0o600); err != nil {
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
	said, seen := make([]byte, 1<<16), 0
	for strings.Count(string(said[:seen]), "event=started") < 3 {
		n, err := out.Read(said[seen:])
		if seen += n; err != nil {
			t.Fatalf("%v: %s", err, said[:seen])
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
		t.Fatalf("%d drivers run", len(drivers))
	}
	player.Process.Kill()
	player.Wait()
	for deadline := time.Now().Add(10 * time.Second); len(drivers) > 0; time.Sleep(10 * time.Millisecond) {
		drivers = slices.DeleteFunc(drivers, func(pid int) bool { // gone, or waiting for whoever inherits it
			text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
			return err != nil || strings.Contains(string(text), ") Z ")
		})
		if time.Now().After(deadline) {
			t.Fatalf("drivers %v still run", drivers)
		}
	}
}

// A driver that saves all the time is killed again and again, at any point of saving. Each next start finds its folder free and whole: a newer
// or an older state, never a torn one.
func TestKilledWhileSaving(t *testing.T) {
	t.Parallel()
	const times = 25
	kills := fmt.Sprintf("trouble \"driver_kill\" {\n  at = \"500ms\"\n  lasts = \"50ms\"\n  times = %d\n  every = \"331ms\"\n  on = [0]\n}\n", times)
	text := strings.NewReplacer(`"3s"`, `"9s"`, "members = 3", "members = 3\n  folders = true\n  save_every = \"100ms\"").Replace(quick) + kills
	s, err := play.ParseScript([]byte(text), "kills.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := playAbreast(s, 3, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	restored, lost := 0, 0
	for _, m := range r.Course.Events {
		switch {
		case strings.HasPrefix(m.What, "learned state restored members=3"):
			restored++
		case strings.HasPrefix(m.What, "learned state damaged"):
			lost++ // the end of a log, which the one before the last commit stands for
		case strings.HasPrefix(m.What, "learned state "):
			t.Errorf("%v %s: %s", m.At, m.Who, m.What)
		}
	}
	if restored < times-2 || lost > times/2 || len(r.Broken) > 0 {
		t.Errorf("%d of %d starts restored their members, %d lost the end of a log; %v", restored, times, lost, r.Broken)
	}
}

// saving is the small script with drivers that keep what they learn.
func saving(text string) string {
	return strings.Replace(text, "members = 3", "members = 3\n  folders = true\n  save_every = \"100ms\"", 1)
}

// The disk of one driver does not answer for five seconds, from its start on. Its RPCs are as quick as those of the others, it tells of the failure
// once, and saves once the disk works again.
func TestAStalledDiskHoldsNothingBack(t *testing.T) {
	t.Parallel()
	latency := func(folder string) (float64, *play.Result) {
		text := saving(strings.Replace(quick, `"3s"`, `"8s"`, 1)) + fmt.Sprintf("trouble \"driver_kill\" {\n  at = \"500ms\"\n  lasts = \"100ms\"\n  on = [0, 1, 2]\n  folder = %q\n}\n", folder)
		s, err := play.ParseScript([]byte(text), "stall.hcl")
		if err != nil {
			t.Fatal(err)
		}
		r, err := playAbreast(s, 2, io.Discard)
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
	for _, m := range r.Course.Events {
		if strings.HasPrefix(m.What, "learned state not saved") {
			failures++
		}
	}
	t.Logf("95 of 100 RPCs took up to %.1f ms, %.1f ms with disks that stall; %d failures", usual, stalled, failures)
	if stalled > usual+10 || failures != 3 || r.Utility < 0.9 {
		t.Errorf("%.1f ms beside %.1f, %d failures, utility %.3f", stalled, usual, failures, r.Utility)
	}
}

// While discovery is silent and drivers start again with an old list, those that kept theirs send nothing to a member that has drained since; without
// their folders they do.
func TestAKeptListKeepsDrains(t *testing.T) {
	t.Parallel()
	for folder, drained := range map[string]bool{"kept": false, "emptied": true} {
		text := strings.Replace(saving(strings.Replace(quick, `"3s"`, `"6s"`, 1)), "folders = true", "folders = true\n  known = \"first\"", 1) + fmt.Sprintf(`
trouble "drain" {
  at = "500ms"
  lasts = "20s"
  on = [2]
}
trouble "discovery" {
  at = "2500ms"
  lasts = "20s"
}
trouble "driver_kill" {
  at = "3s"
  lasts = "300ms"
  on = [0, 1, 2]
  folder = %q
}
`, folder)
		s, err := play.ParseScript([]byte(text), "list.hcl")
		if err != nil {
			t.Fatal(err)
		}
		r, err := playAbreast(s, 2, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if n := r.Ledger.Sum(emu.Drained, 4, 6); (n > 0) != drained {
			t.Errorf("%s: %v attempts at a member that had drained before the start", folder, n)
		}
	}
}

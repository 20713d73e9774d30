package play

import (
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"passtack/internal/emu"
)

func discardLogs() { slog.SetDefault(slog.New(slog.DiscardHandler)) }

func script(t *testing.T, name string) *Script {
	t.Helper()
	s, err := ReadScript("../../../deploy/rehearsals/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Each rehearsal must meet its expectations and keep the rules, and the same seed must give the same result.
func TestRehearsals(t *testing.T) {
	discardLogs()
	names, _ := filepath.Glob("../../../deploy/rehearsals/*.hcl")
	if len(names) < 4 {
		t.Fatalf("found %d rehearsals", len(names))
	}
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			s := script(t, filepath.Base(name))
			r, err := Rehearse(s, 1)
			if err != nil {
				t.Fatal(err)
			}
			if !r.Met() || r.Asked < 1000 {
				var out strings.Builder
				r.Print(&out)
				t.Error(out.String())
			}
			again, err := Rehearse(s, 1)
			if err != nil || again.Digest != r.Digest {
				t.Errorf("%v, digests %x and %x", err, r.Digest, again.Digest)
			}
			if other, _ := Rehearse(s, 2); other.Digest == r.Digest {
				t.Error("another seed gives the same digest")
			}
		})
	}
}

// Guards against a check that finds nothing: each case removes what keeps a rule, namely deduplication at members, the
// capacity of cold members that drivers are told of, reads that wait for the log, and the grace period after a drain.
func TestRehearsalsDetectRuleViolations(t *testing.T) {
	discardLogs()
	for want, c := range map[string]struct {
		script string
		spoil  func(s *Script)
	}{
		"rule 2": {"hung-or-dead.hcl", func(s *Script) {
			s.MemberSpec.DedupWindow, s.Retries = 0, 8
			s.method("apply-write").Limit, s.method("apply-write").Window = 300*time.Millisecond, 5*time.Second
			s.Faults[0].Kind, s.Faults[0].Times, s.Faults[0].Duration = "slow", 100, 300*time.Millisecond
		}},
		"rule 3": {"rolling-deploy.hcl", func(s *Script) { s.Grace = -s.Grace * 100 }},
		"rule 4": {"rolling-deploy.hcl", func(s *Script) { s.MemberSpec.ColdMultiple = 0.02 }},
		"rule 5": {"offer-week.hcl", func(s *Script) { s.MemberSpec.ServesStale, s.MemberSpec.Lies, s.Faults[0].Times = true, true, 2000 }},
	} {
		s := script(t, c.script)
		c.spoil(s)
		r, err := Rehearse(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		found := false
		for _, b := range r.Broken {
			found = found || strings.HasPrefix(b, want)
		}
		if !found {
			t.Errorf("%s is not reported: %v", want, r.Broken[:min(len(r.Broken), 3)])
		}
	}
}

func TestScriptErrors(t *testing.T) {
	const good = "lasts = \"5s\"\nfleet {\n  drivers = 1\n  members = 3\n}\nload {\n  rate = 10\n  method \"a\" {\n    need  = \"any\"\n" +
		"    work  = \"1ms..2ms\"\n    soft  = \"1s\"\n    limit = \"2s\"\n    share = 1\n  }\n}\ntrouble \"kill\" {\n  at = \"1s\"\n  on = [0]\n}\n"
	if _, err := ParseScript([]byte(good), "x.hcl"); err != nil {
		t.Fatal(err)
	}
	if s, err := ParseScript([]byte(strings.Replace(good, "members = 3", "members = 2\n  groups = 1100", 1)), "x.hcl"); err != nil || s.Groups*s.Members != 2200 {
		t.Fatal("2,200 members in groups of two:", err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`lasts = "5s"`, `lasts = "5 seconds"`, `x.hcl:1: lasts: "5 seconds" is no time`},
		{`drivers = 1`, `drivers = 1000`, `x.hcl:3: fleet drivers: 1000 is not from 1 to 500`},
		{`rate = 10`, `rate = 0`, `x.hcl:7: load rate: 0 is not over 0`},
		{`need  = "any"`, `need  = "some"`, `x.hcl:9: load method a need: "some" is none of`},
		{`1ms..2ms`, `2ms..1ms`, `x.hcl:10: load method a work: "2ms..1ms" ends before it begins`},
		{`on = [0]`, `on = [7]`, `x.hcl:18: trouble 1 on: there is no member 7`},
		{`trouble "kill"`, `trouble "kil"`, `x.hcl:16: trouble 1: there is no trouble "kil"`},
		{`at = "1s"`, `at = "9s"`, `x.hcl:17: trouble 1 at: 9s is after the end`},
		{`drivers = 1`, `driver = 1`, `x.hcl:3:3: Unsupported argument`},
		{`share = 1`, ``, `Missing required argument`},
		{`on = [0]`, `part = 1.5`, `x.hcl:18: trouble 1 part: 1.5 is not from 0 to 1`},
		{`members = 3`, "members = 3\n  groups = -2", `fleet groups: -2 is not from 1 to 1100`},
		{`members = 3`, "members = 2\n  groups = 1101", `fleet groups: 1101 is not from 1 to 1100`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"cut\" {\n  at = \"1s\"\n  every = \"1ns\"\n  on = [0]", `trouble 1 every: 1ns is under 10ms`},
		{`on = [0]`, `rate = 5`, `x.hcl:18: trouble 1 rate: kill does not take this key`},
		{`on = [0]`, `from = ["drivers"]`, `kill does not take from and to`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"cut\" {\n  at = \"1s\"\n  from = [\"d0\"]\n  to = [\"m0..3\"]", `trouble 1 to: "m0..3" names nodes that do not exist: the last is m2`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"cut\" {\n  at = \"1s\"\n  from = [\"d0\"]\n  to = [\"people\"]", `"people" is none of d0, d0..5`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"cut\" {\n  at = \"1s\"", `on is missing, or from and to`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"thin\" {\n  at = \"1s\"\n  on = [0]", `rate is missing or too small`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"partition\" {\n  at = \"1s\"\n  islands = [[\"d0\"]]", `islands is missing or too small`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"driver_kill\" {\n  at = \"1s\"\n  times = 3\n  every = \"500ms\"\n  on = [0]", `trouble 1: 3 times every 500ms, each for 1s: times must be a whole number`},
		{"\"kill\" {\n  at = \"1s\"\n  on = [0]", "\"driver_kill\" {\n  at = \"1s\"\n  folder = \"lost\"\n  on = [0]", `folder: "lost" is none of kept, emptied, older, flipped and stalled`},
		{`members = 3`, "members = 3\n  older = [4]", `fleet older: there is no driver 4`},
		{`rate = 10`, "rate = 10\n  route = \"away\"", `load route: "away" is none of fixed, stay and spread`},
	} {
		_, err := ParseScript([]byte(strings.Replace(good, c.old, c.new, 1)), "x.hcl")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
	if _, err := ParseScript([]byte(strings.NewReplacer("rate = 10", "rate = 0", "on = [0]", "on = [7]").Replace(good)), "x.hcl"); strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("two mistakes: %v", err)
	}
}

const fourDrivers = `lasts = "5s"
fleet {
  drivers = 4
  members = 3
}
load {
  rate = 200
  retries = 2
  method "look" {
    need = "any"
    work = "2ms..4ms"
    soft = "1s"
    limit = "1500ms"
    share = 1
  }
}
`

// Link faults must hold between the named nodes, in the given direction and at the given times only.
func TestConditionsOfLinks(t *testing.T) {
	s, err := ParseScript([]byte(fourDrivers+`
trouble "cut" {
  at    = "1s"
  lasts = "1s"
  every = "200ms"
  from  = ["d0..1"]
  to    = ["m0", "discovery"]
}
trouble "delay" {
  at      = "1500ms"
  from    = ["d1"]
  to      = ["d2"]
  one_way = true
  by      = "30ms"
}
trouble "partition" {
  at      = "3s"
  islands = [["d0..1", "m0"], ["d2", "m1", "d3"], ["d3", "m2"]]
}
`), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		at       time.Duration
		from, to string
		want     Condition
	}{
		{900 * time.Millisecond, "d0", "m0", Condition{}},
		{1100 * time.Millisecond, "d0", "m0", Condition{Cut: true}},
		{1100 * time.Millisecond, "m0", "d0", Condition{Cut: true}},
		{1100 * time.Millisecond, "discovery", "d1", Condition{Cut: true}},
		{1100 * time.Millisecond, "d2", "m0", Condition{}},
		{1300 * time.Millisecond, "d0", "m0", Condition{}},
		{1600 * time.Millisecond, "d1", "d2", Condition{Delay: 30 * time.Millisecond}},
		{1600 * time.Millisecond, "d2", "d1", Condition{}},
		{3500 * time.Millisecond, "d0", "d1", Condition{}},
		{3500 * time.Millisecond, "d0", "m1", Condition{Cut: true}},
		{3500 * time.Millisecond, "d3", "m2", Condition{}},
		{3500 * time.Millisecond, "d3", "d2", Condition{}},
		{3500 * time.Millisecond, "d0", "discovery", Condition{}},
		{4000 * time.Millisecond, "d0", "m1", Condition{}},
	} {
		if got := s.Between(c.at, c.from, c.to); got != c.want {
			t.Errorf("at %v from %s to %s: %+v", c.at, c.from, c.to, got)
		}
	}
	if changeTimes := s.LinkChangeTimes(); len(changeTimes) != 10 || changeTimes[0] != time.Second || changeTimes[len(changeTimes)-1] != 4*time.Second {
		t.Errorf("link change times %v", changeTimes)
	}
	if links := s.Links(); len(links) != 4*(1+1+3+3) {
		t.Errorf("%d links", len(links))
	}
}

// Link faults must affect drivers in simulated time on the named links only.
func TestLinksInSimulatedTime(t *testing.T) {
	discardLogs()
	for name, c := range map[string]struct {
		more string
		fits func(r *Result) bool
	}{
		"cut off":  {`on = [1]`, func(r *Result) bool { return r.Answers["pushed back"] > 10 }},
		"refused":  {"from = [\"clients\"]\n  to = [\"d2\"]", func(r *Result) bool { return r.UtilitySeries.ServedShare(0, 0, 5*time.Second) == 1 }},
		"late":     {"from = [\"clients\"]\n  to = [\"d0\"]\n  by = \"300ms\"", func(r *Result) bool { return r.Latency(95) > 500 && r.Latency(30) < 100 }},
		"no list":  {"from = [\"drivers\"]\n  to = [\"discovery\"]", func(r *Result) bool { return r.Utility > 0.99 }},
		"thin":     {"from = [\"clients\"]\n  to = [\"d0\"]\n  rate = 400", func(r *Result) bool { return r.Latency(95) > 300 }},
		"resets":   {"from = [\"drivers\"]\n  to = [\"members\"]", func(r *Result) bool { return r.Ledger.Sum("connects", 1, 3) > 5 }},
		"flapping": {"on = [1]\n  every = \"100ms\"", func(r *Result) bool { return r.Utility > 0.9 && r.Utility < 1 }},
	} {
		kind := map[string]string{"cut off": "cut", "refused": "refuse", "late": "delay", "no list": "cut", "thin": "thin", "resets": "reset", "flapping": "cut"}[name]
		s, err := ParseScript([]byte(fourDrivers+"trouble \""+kind+"\" {\n  at = \"1s\"\n  lasts = \"2s\"\n  "+c.more+"\n}\n"), "x.hcl")
		if err != nil {
			t.Fatal(err)
		}
		r, err := Rehearse(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 || !c.fits(r) {
			var out strings.Builder
			r.Print(&out)
			r.Table(&out)
			t.Errorf("%s: %s", name, out.String())
		}
	}
}

// Checks the evaluation of an outage: time to recovery, lost service, and the highest loads before and after.
func TestRecoveries(t *testing.T) {
	r := Result{Script: &Script{Duration: 12 * time.Second}, Ledger: emu.NewLedger(0), UtilitySeries: newUtilitySeries(2)}
	for at := time.Duration(0); at < 12*time.Second; at += sliceLength {
		part := 1.0
		if at >= 4*time.Second && at < 5500*time.Millisecond {
			part = 0.2
		}
		for d := range 2 {
			r.UtilitySeries.asked(at, d, 10)
			r.UtilitySeries.got(at, d, 10*part)
		}
		r.Ledger.Add(emu.Connects, "m0", at, 1)
		if at >= 5*time.Second && at < 6*time.Second {
			r.Ledger.Add(emu.Connects, "m1", at, 5)
		}
	}
	var outages Outages
	outages.DriverDown(0, 4*time.Second)
	outages.DriverDown(1, 4100*time.Millisecond)
	outages.DriverUp(0, 4800*time.Millisecond)
	outages.DriverUp(1, 5*time.Second)
	outages.DriverUp(1, 9*time.Second)
	r.Outages = outages.all
	recoveries := r.Recoveries()
	if len(recoveries) != 1 || recoveries[0].Up != 5*time.Second || recoveries[0].FullServiceAfter != 500*time.Millisecond || len(recoveries[0].Drivers) != 2 || recoveries[0].Level != 1 {
		t.Fatalf("%+v", recoveries)
	}
	if lost := recoveries[0].LostSeconds; lost < 1.19 || lost > 1.21 {
		t.Errorf("%v s of service lost", lost)
	}
	if l := recoveries[0].Load(emu.Connects); l.Before != 10 || l.After != 50 || l.Where != "m1" || l.AllAfter != 60 {
		t.Errorf("%+v", l)
	}
}

// All drivers are killed and restart with stored state. If the primaries changed meanwhile, stored state alone must
// not send writes to the former ones, except for one exploratory write for each driver and group. If they did not
// change, stored state must lead to them at once.
func TestStoredStateSendsNoWritesToFormerPrimaries(t *testing.T) {
	discardLogs()
	play := func(folders bool, moves time.Duration) Recovery {
		s, err := ReadScript("../../../deploy/drills/primary-moved.hcl")
		if err != nil {
			t.Fatal(err)
		}
		s.Rate, s.StateFolders, s.SaveEvery = 300, folders, 200*time.Millisecond
		s.Election.Detection, s.Election.Takeover = [2]time.Duration{300 * time.Millisecond, 300 * time.Millisecond}, [2]time.Duration{300 * time.Millisecond, 300 * time.Millisecond}
		s.Faults[0].Folder, s.Faults[0].Duration = keptFolder, 2*time.Second
		s.Faults[1].At, s.Faults[1].Duration = moves, 1500*time.Millisecond
		r, err := Rehearse(s, 3)
		if err != nil {
			t.Fatal(err)
		}
		recovery := r.Recoveries()[0]
		if len(r.Broken) > 0 || recovery.FullServiceAfter < 0 || recovery.FullServiceAfter > 2*time.Second {
			t.Errorf("%d rules broken, full service after %v", len(r.Broken), recovery.FullServiceAfter)
		}
		return recovery
	}
	if recovery := play(true, 4*time.Second); recovery.FormerPrimaryWrites > 10*2 {
		t.Errorf("%.0f writes at former primaries by ten drivers in two groups", recovery.FormerPrimaryWrites)
	}
	with, without := play(true, 500*time.Millisecond), play(false, 500*time.Millisecond)
	if t.Logf("%.0f writes at former primaries with folders, %.0f without", with.FormerPrimaryWrites, without.FormerPrimaryWrites); with.FormerPrimaryWrites > 2 || without.FormerPrimaryWrites < 5 {
		t.Error("stored state does not lead to the primary")
	}
}

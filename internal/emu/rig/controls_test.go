package rig

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/internal/emu/play"
)

const configured = `lasts = "36s"
fleet {
  drivers  = 20
  members  = 3
  controls = 3
  notice   = "300ms"
  takeover = "300ms"
}
load {
  rate     = 150
  retries  = 4
  sessions = 60
  method "look" {
    need  = "any"
    work  = "2ms..4ms"
    soft  = "1s"
    limit = "1500ms"
    share = 3
  }
  method "order" {
    need    = "write"
    effect  = "tokened"
    work    = "2ms..4ms"
    soft    = "1s"
    limit   = "1500ms"
    window  = "1200ms"
    share   = 1
  }
  method "pay" {
    need    = "write"
    effect  = "non-idempotent"
    work    = "2ms..4ms"
    soft    = "1s"
    limit   = "1500ms"
    share   = 1
  }
}
`

// publishAt gives the block of a configuration that differs from all others, with more methods each time than the script has.
func publishAt(at string, n, from int) string {
	return fmt.Sprintf(`publish {
  at   = %q
  from = %d
  text = <<EOT
{"settings": {"caps": {"max_retry_after_us": %d, "most_tries": %d}, "rules": {"fall_multiple": %d},
 "classes": [{"name": "later%d", "effect": "safe", "points": 1, "target_us": 500000, "hard_limit_us": 900000},
  {"name": "pay", "effect": "unsafe", "points": %d, "target_us": 900000, "hard_limit_us": 1500000},
  {"name": "order", "effect": "keyed", "group": "cell", "window_us": %d, "points": 2, "target_us": 900000, "hard_limit_us": 1500000},
  {"name": "look", "effect": "safe", "points": 1, "target_us": 900000, "hard_limit_us": 1500000}],
 "family_info": {"class_read": ["loose", "update", "update", "loose"]}}}
EOT
}
`, at, from, 500000+n, 4+n%3, 3+n%2, n, 1+n%4, 700000+10000*n)
}

// excuse is a time in which some drivers need not have what is published meanwhile, and what they have by 4 s after it.
type excuse struct {
	from, to time.Duration
	drivers  func(n int) bool
}

// inForce tells when each version was first known to count, and how long each driver took to have it in force or to say why not, from then or
// from the end of its excuse. A driver that never did is named.
func inForce(r *play.Result, drivers int, excuses []excuse) (took map[uint64][]time.Duration, wrong []string) {
	counts, took := make(map[uint64]time.Duration), make(map[uint64][]time.Duration)
	for _, s := range r.Versions {
		if s.Source[0] != 'c' {
			continue
		}
		if _, known := counts[s.Version]; !known && s.Version > 0 {
			counts[s.Version] = s.At
		}
	}
	for d := range drivers {
		done, last := make(map[uint64]bool), uint64(0)
		for _, s := range r.Versions {
			if s.Source != play.Driver(d) {
				continue
			}
			down := slices.ContainsFunc(r.Script.Faults, func(t play.Fault) bool { // it has started again: without a folder with its own file
				return t.Kind == "driver_kill" && slices.Contains(t.On, d) && s.At >= t.At && s.At < t.At+t.Lasts+2*time.Second
			})
			if s.Version < last && (!down || d%2 == 0) {
				wrong = append(wrong, fmt.Sprintf("%s goes back from version %d to %d at %v", s.Source, last, s.Version, s.At))
			}
			last = s.Version
			for version, at := range counts {
				if done[version] || max(s.Version, s.Refused) < version {
					continue
				}
				for _, e := range excuses {
					if e.drivers(d) && at < e.to && s.At > e.from {
						at = max(at, e.to)
					}
				}
				done[version] = true
				took[version] = append(took[version], max(s.At-at, 0))
			}
		}
		for version := range counts {
			if !done[version] {
				wrong = append(wrong, fmt.Sprintf("d%d never had version %d", d, version))
			}
		}
	}
	return took, wrong
}

// Three control machines and twenty drivers as processes, under RPCs: versions are published while control machines are killed, stopped, cut off
// one way or come back with an empty folder, two at once, one that no driver can take, while drivers start again and while the fleet is in two
// halves. Rules are kept; each version is in force everywhere within 4 s of counting, or it is told why not; none comes twice and none goes back.
func TestConfigurationInForceEverywhere(t *testing.T) {
	text := configured
	for n, at := range []string{"2s", "4s", "6s", "9500ms", "13500ms", "17500ms", "21s", "21s", "26s", "28500ms"} {
		from := 0
		if at == "21s" { // two at once, made from the same
			from = 6
		}
		text += publishAt(at, n, from)
	}
	text += "publish {\n  at   = \"23500ms\"\n  text = \"{\\\"settings\\\":{\\\"family_info\\\":{\\\"class_read\\\":[\\\"old\\\"]}}}\"\n}\n"
	text += trouble("control_kill", "5500ms", "2s", "on = [0]") + trouble("control_pause", "9s", "3s", "on = [1]") +
		trouble("cut", "13s", "2500ms", `from = ["c2"];to = ["c0..1"];one_way = true`) + trouble("control_kill", "17s", "1s", "on = [2];folder = \"emptied\"") +
		trouble("driver_kill", "25s", "1s", "on = [1, 2, 3, 4]") + trouble("partition", "28s", "3s", `islands = [["c0", "c1", "d0..9"], ["c2", "d10..19"]]`)
	s, err := play.ParseScript([]byte(text), "configuration.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	r, err := playAbreast(s, 3, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	var course strings.Builder
	r.Course.Print(&course)
	defer func() {
		if t.Failed() {
			t.Log(course.String())
		}
	}()
	if len(r.Broken) > 0 {
		t.Errorf("rules are broken: %v", r.Broken[:min(3, len(r.Broken))])
	}
	if r.Utility < 0.9 {
		t.Errorf("utility %.3f", r.Utility)
	}
	excuses := []excuse{
		{25 * time.Second, 27 * time.Second, func(n int) bool { return n >= 1 && n <= 4 }},
		{28 * time.Second, 31 * time.Second, func(n int) bool { return n >= 10 }},
	}
	took, wrong := inForce(r, 20, excuses)
	if len(wrong) > 0 {
		t.Errorf("%v", wrong[:min(5, len(wrong))])
	}
	var all []time.Duration
	for version, each := range took {
		worst := slices.Max(each)
		if all = append(all, each...); worst > 4*time.Second {
			t.Errorf("version %d took %v to the last driver", version, worst)
		}
	}
	published, outdated, refused := make(map[string]bool), 0, make(map[string]bool)
	for _, m := range r.Course.Events {
		if strings.HasPrefix(m.Who, "publisher") && strings.HasPrefix(m.What, "version ") {
			if published[m.What] {
				t.Errorf("%s is published twice", m.What)
			}
			published[m.What] = true
		}
		outdated += strings.Count(m.What, "make it anew")
	}
	for _, s := range r.Versions {
		if s.Refused == 8 && strings.HasPrefix(s.Why, `settings.family_info.class_read is "old" for classes.0`) {
			refused[s.Source] = true
		}
	}
	if len(published) != 10 || len(took) != 10 || outdated != 1 {
		t.Errorf("%d versions count, %v are said to be published, %d publications were outdated", len(took), published, outdated)
	}
	if len(refused) < 20 {
		t.Errorf("%d drivers have told why they do not take what they cannot", len(refused))
	}
	slices.Sort(all)
	if len(all) > 0 {
		t.Logf("%d versions, %d drivers and versions: p50 %v, p99 %v, worst %v; utility %.3f of %d RPCs", len(took), len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1], r.Utility, r.Asked)
	}
}

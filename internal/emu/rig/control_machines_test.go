package rig

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/internal/emu/play"
)

const configurationScript = `lasts = "36s"
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

// publishBlock returns a publish block whose configuration differs for each n, and has one method more than the script.
func publishBlock(at string, n, from int) string {
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

// exemption is a period in which some drivers need not apply what is published; they have to within 4 s of its end.
type exemption struct {
	from, to time.Duration
	drivers  func(n int) bool
}

// activationTimes returns, for each version, how long each driver took to have it in force or to reject it, counted from the first time at which a
// control machine reported the version as committed, or from the end of the driver's exemption. Its second result names drivers that never did,
// and drivers whose version decreased.
func activationTimes(r *play.Result, drivers int, exemptions []exemption) (took map[uint64][]time.Duration, wrong []string) {
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
			down := slices.ContainsFunc(r.Script.Faults, func(fault play.Fault) bool { // it restarts; drivers of odd numbers may go back then
				return fault.Kind == "driver_kill" && slices.Contains(fault.On, d) && s.At >= fault.At && s.At < fault.At+fault.Duration+2*time.Second
			})
			if s.Version < last && (!down || d%2 == 0) {
				wrong = append(wrong, fmt.Sprintf("%s goes back from version %d to %d at %v", s.Source, last, s.Version, s.At))
			}
			last = s.Version
			for version, at := range counts {
				if done[version] || max(s.Version, s.RejectedVersion) < version {
					continue
				}
				for _, e := range exemptions {
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
				wrong = append(wrong, fmt.Sprintf("d%d never had version %d in force and never rejected it", d, version))
			}
		}
	}
	return took, wrong
}

// Three control machines and twenty drivers as processes, under load. Versions are published while control machines are killed, paused, cut off in
// one direction or restarted with an empty folder, while drivers restart and in a partition; two at once, and one that no driver can apply. Each
// version has to be in force, or rejected with a reason, at all drivers within 4 s of its commit; none may be published twice or go back.
func TestConfigurationInForceEverywhere(t *testing.T) {
	text := configurationScript
	for n, at := range []string{"2s", "4s", "6s", "9500ms", "13500ms", "17500ms", "21s", "21s", "26s", "28500ms"} {
		from := 0
		if at == "21s" { // two at once, made from the same version
			from = 6
		}
		text += publishBlock(at, n, from)
	}
	text += "publish {\n  at   = \"23500ms\"\n  text = \"{\\\"settings\\\":{\\\"family_info\\\":{\\\"class_read\\\":[\\\"old\\\"]}}}\"\n}\n"
	text += faultBlock("control_kill", "5500ms", "2s", "on = [0]") + faultBlock("control_pause", "9s", "3s", "on = [1]") +
		faultBlock("cut", "13s", "2500ms", `from = ["c2"];to = ["c0..1"];one_way = true`) + faultBlock("control_kill", "17s", "1s", "on = [2];folder = \"emptied\"") +
		faultBlock("driver_kill", "25s", "1s", "on = [1, 2, 3, 4]") + faultBlock("partition", "28s", "3s", `islands = [["c0", "c1", "d0..9"], ["c2", "d10..19"]]`)
	s, err := play.ParseScript([]byte(text), "configuration.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	r, err := playLimited(s, 3, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	var timeline strings.Builder
	r.Timeline.Print(&timeline)
	defer func() {
		if t.Failed() {
			t.Log(timeline.String())
		}
	}()
	if len(r.Broken) > 0 {
		t.Errorf("rules are broken: %v", r.Broken[:min(3, len(r.Broken))])
	}
	if r.Utility < 0.9 {
		t.Errorf("utility %.3f is below 0.9", r.Utility)
	}
	exemptions := []exemption{
		{25 * time.Second, 27 * time.Second, func(n int) bool { return n >= 1 && n <= 4 }},
		{28 * time.Second, 31 * time.Second, func(n int) bool { return n >= 10 }},
	}
	took, wrong := activationTimes(r, 20, exemptions)
	if len(wrong) > 0 {
		t.Errorf("%v", wrong[:min(5, len(wrong))])
	}
	var all []time.Duration
	for version, each := range took {
		worst := slices.Max(each)
		if all = append(all, each...); worst > 4*time.Second {
			t.Errorf("version %d took %v to be in force at the last driver, more than 4 s", version, worst)
		}
	}
	published, outdated, refused := make(map[string]bool), 0, make(map[string]bool)
	for _, event := range r.Timeline.Events {
		if strings.HasPrefix(event.Who, "publisher") && strings.HasPrefix(event.What, "version ") {
			if published[event.What] {
				t.Errorf("%s is published twice", event.What)
			}
			published[event.What] = true
		}
		outdated += strings.Count(event.What, "make it anew")
	}
	for _, s := range r.Versions {
		if s.RejectedVersion == 8 && strings.HasPrefix(s.RejectReason, `settings.family_info.class_read is "old" for classes.0`) {
			refused[s.Source] = true
		}
	}
	if len(published) != 10 || len(took) != 10 || outdated != 1 {
		t.Errorf("%d versions are committed, %v are reported as published, %d publications were outdated; want 10, 10 and 1", len(took), published, outdated)
	}
	if len(refused) < 20 {
		t.Errorf("%d of 20 drivers reported why they reject version 8", len(refused))
	}
	slices.Sort(all)
	if len(all) > 0 {
		t.Logf("%d versions, %d drivers and versions: p50 %v, p99 %v, worst %v; utility %.3f of %d RPCs", len(took), len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1], r.Utility, r.Asked)
	}
}

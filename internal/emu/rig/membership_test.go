package rig

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/emu"
	"passtack/internal/emu/play"
	"passtack/internal/pcg"
)

// membershipScript is a script whose drivers exchange membership messages five times a second.
func membershipScript(drivers, seconds int) string {
	text := leaseScript(drivers, seconds, "")
	return text[:strings.Index(text, "leases {")] + "view {\n  every = \"200ms\"\n}\n"
}

// settlingTime returns the time from which on the membership lists of all running drivers agree with the drivers that run, up to the end of
// the play; it is negative if they do not agree at the end. The drivers in down are expected to be down at the end.
func settlingTime(r *play.Result, drivers int, down map[int]bool) time.Duration {
	since, last := time.Duration(0), make(map[int]time.Duration)
	for _, s := range r.Views {
		if down[s.Driver] {
			continue
		}
		last[s.Driver] = s.At
		for d := range drivers {
			status, known := s.Statuses[play.Driver(d)]
			if down[d] == (known && (status == "alive" || status == "suspect")) || !down[d] && status != "alive" {
				since = max(since, s.At)
			}
		}
	}
	for d := range drivers {
		if !down[d] && last[d] <= since {
			return -1
		}
	}
	return since
}

// countDeadSamples counts how often a driver is listed as dead, over all samples.
func countDeadSamples(r *play.Result) (n int) {
	for _, s := range r.Views {
		for _, status := range s.Statuses {
			if status == "dead" {
				n++
			}
		}
	}
	return n
}

const maxSettlingTime = 7 * time.Second // after the last fault

func playMembershipScript(text string, seed uint64) (*play.Result, error) {
	return playLeases(text, seed, Programs{}, io.Discard)
}

// Each kind of fault, with nine drivers as processes: after the fault all membership lists agree and have exactly the running drivers. No driver
// may be listed as dead while another one can reach it.
func TestMembershipAgreesAfterFaults(t *testing.T) {
	rolling := ""
	for d := range 9 {
		rolling += faultBlock("driver_stop", fmt.Sprintf("%dms", 2000+300*d), "200ms", fmt.Sprintf("on = [%d]", d))
	}
	flaps := strings.Replace(faultBlock("cut", "2s", "4s", `from = ["d1"];to = ["d2..4"];every = "150ms"`), "", "", 1)
	for name, c := range map[string]struct {
		text string
		ends time.Duration // end of the last fault
		down []int
		none bool // no driver may be listed as dead
	}{
		"nothing":                          {"", 0, nil, true},
		"one crash":                        {faultBlock("driver_kill", "2s", "60s", "on = [4]"), 2 * time.Second, []int{4}, false},
		"a third crashes at once":          {faultBlock("driver_kill", "2s", "60s", "on = [0, 4, 8]"), 2 * time.Second, []int{0, 4, 8}, false},
		"a planned stop":                   {faultBlock("driver_stop", "2s", "60s", "on = [4]"), 2 * time.Second, []int{4}, true},
		"one paused":                       {faultBlock("driver_pause", "2s", "5s", "on = [4]"), 7 * time.Second, nil, false},
		"one direction cut":                {faultBlock("cut", "2s", "5s", `from = ["d1"];to = ["d2"];one_way = true`), 7 * time.Second, nil, true},
		"link between two cut":             {faultBlock("cut", "2s", "5s", `from = ["d1"];to = ["d2"]`), 7 * time.Second, nil, true},
		"two halves, crashes in both":      {faultBlock("partition", "2s", "5s", `islands = [["d0..3"], ["d4..8"]]`) + faultBlock("driver_kill", "3s", "60s", "on = [0]") + faultBlock("driver_kill", "3s", "1s", "on = [7]"), 7 * time.Second, []int{0}, false},
		"one isolated":                     {faultBlock("partition", "2s", "5s", `islands = [["d3"], ["d0..2", "d4..8"]]`), 7 * time.Second, nil, false},
		"flapping links":                   {flaps, 6 * time.Second, nil, true},
		"a third lost and a third doubled": {faultBlock("loss", "2s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3`) + faultBlock("double", "2s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3;by = "100ms"`), 7 * time.Second, nil, false},
		"all killed, restarts in waves":    {faultBlock("driver_kill", "2s", "300ms", `part = 1;within = "3s"`), 5300 * time.Millisecond, nil, false},
		"rolling restart":                  {rolling, 5 * time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seconds := int((c.ends + maxSettlingTime + 2*time.Second) / time.Second)
			r, err := playMembershipScript(membershipScript(9, seconds)+c.text, 1)
			if err != nil {
				t.Fatal(err)
			}
			down := make(map[int]bool)
			for _, d := range c.down {
				down[d] = true
			}
			settledAt := settlingTime(r, 9, down)
			t.Logf("lists agree %v after the last fault, %d samples", settledAt-c.ends, len(r.Views))
			if settledAt < 0 || settledAt > c.ends+maxSettlingTime {
				t.Errorf("membership lists agree from %v on, the last fault ended at %v; the last sample: %+v", settledAt, c.ends, r.Views[len(r.Views)-1])
			}
			if n := countDeadSamples(r); c.none && n > 0 {
				t.Errorf("a driver was listed as dead %d times", n)
			}
		})
	}
}

// Overlapping random faults on ten drivers: within maxSettlingTime after the last fault the membership lists of all running drivers agree, have
// none of the killed drivers, and list no running driver as dead.
func TestMembershipAgreesAfterRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := uint64(10)
	fmt.Sscan(os.Getenv("RIG_SEEDS"), &seeds)
	const drivers, ends = 10, 9 * time.Second
	var all sync.WaitGroup
	var mutex sync.Mutex
	longest := time.Duration(0)
	for seed := range seeds {
		all.Go(func() {
			rng := pcg.New(seed)
			var text strings.Builder
			down := make(map[int]bool)
			for range 8 {
				from := 1500 + rng.Below(5000)
				startsAt, lasts := fmt.Sprintf("%dms", from), fmt.Sprintf("%dms", 100+rng.Below(int(ends/time.Millisecond)-from-700))
				d, o := rng.Below(drivers), rng.Below(drivers-1)
				if o >= d {
					o++
				}
				between := fmt.Sprintf(`from = ["d%d"];to = ["d%d"]`, d, o)
				switch rng.Below(8) {
				case 0, 1:
					text.WriteString(faultBlock("driver_kill", startsAt, lasts, fmt.Sprintf("on = [%d]", d)))
				case 2:
					if len(down) < 3 && !down[d] {
						down[d] = true
						text.WriteString(faultBlock("driver_kill", startsAt, "60s", fmt.Sprintf("on = [%d]", d)))
					}
				case 3:
					text.WriteString(faultBlock("driver_pause", startsAt, lasts, fmt.Sprintf("on = [%d]", d)))
				case 4:
					text.WriteString(faultBlock("cut", startsAt, lasts, between+";one_way = true"))
				case 5:
					text.WriteString(faultBlock("partition", startsAt, lasts, fmt.Sprintf(`islands = [["d0..%d"], ["d%d..9"]]`, d%9, d%9+1)))
				case 6:
					text.WriteString(faultBlock("loss", startsAt, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3`))
				case 7:
					text.WriteString(faultBlock("driver_stop", startsAt, "200ms", fmt.Sprintf("on = [%d]", d)))
				}
			}
			r, err := playMembershipScript(membershipScript(drivers, int((ends+maxSettlingTime)/time.Second)+2)+text.String(), seed)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			settledAt := settlingTime(r, drivers, down)
			mutex.Lock()
			defer mutex.Unlock()
			if longest = max(longest, settledAt-ends); settledAt < 0 || settledAt > ends+maxSettlingTime {
				t.Errorf("seed %d: lists agree from %v on, the last sample %+v, down %v\n%s", seed, settledAt, r.Views[len(r.Views)-1], down, text.String())
			}
		})
	}
	all.Wait()
	t.Logf("%d plays, lists agree at most %v after the last fault", seeds, longest)
}

// Discovery answers only one driver when a member drains. With membership messages that driver forwards the drain notice to the others, and no
// attempt is sent to the member after the grace. Without them the others keep sending until discovery answers them.
func TestDrainNoticeReachesDriversWithoutEndpointList(t *testing.T) {
	t.Parallel()
	for _, sharesMembership := range []bool{false, true} {
		text := strings.Replace(membershipScript(6, 6), "members = 2", "members = 3", 1)
		text = strings.Replace(text, "rate = 20", "rate = 200", 1)
		if !sharesMembership {
			text = text[:strings.Index(text, "view {")]
		}
		text += faultBlock("discovery", "1s", "60s", "on = [1, 2, 3, 4, 5]") + faultBlock("drain", "2s", "60s", "on = [2]")
		r, err := playMembershipScript(text, 3)
		if err != nil {
			t.Fatal(err)
		}
		late := r.Ledger.Sum(emu.DrainedAttempts, 4, 6) // from 4 s on: the drain begins at 2 s, the list shows it within 1 s, and the grace is 250 ms
		t.Logf("membership messages: %v, %v attempts at the member after one driver knew of its drain", sharesMembership, late)
		if (late > 0) == sharesMembership || len(r.Broken) > 0 {
			t.Errorf("%v attempts at the drained member, broken rules: %v", late, r.Broken)
		}
	}
}

// Members accept thirty connections each. With connection shards that follow the membership lists no member rejects a connection, through high load,
// a partition, a crash and the restart of all drivers. Without shards members do reject some.
func TestConnectionShardsRespectMemberLimits(t *testing.T) {
	t.Parallel()
	const connectionLimit = 30
	for _, sharded := range []bool{false, true} {
		text := strings.NewReplacer("members = 2", fmt.Sprintf("members = 2\n  cores = 64\n  connections = %d", connectionLimit), "rate = 20", "rate = 300",
			`work = "2ms..4ms"`, `work = "60ms..140ms"`, "sessions = 10", "sessions = 500", `every = "200ms"`, `every = "100ms"`+"\n  connections = 30").Replace(membershipScript(6, 16))
		if !sharded {
			text = text[:strings.Index(text, "view {")]
		}
		text += faultBlock("partition", "6s", "4s", `islands = [["d0..1"], ["d2..5"]]`) + faultBlock("driver_kill", "7s", "60s", "on = [5]") + faultBlock("driver_kill", "12s", "200ms", "on = [0, 1, 2, 3, 4]")
		r, err := playMembershipScript(text, 4)
		if err != nil {
			t.Fatal(err)
		}
		rejected, maxOpen := r.Ledger.Sum(emu.RejectedConnections, 0, 16), 0.0
		for second := range 16 {
			maxOpen = max(maxOpen, r.Ledger.Second(emu.MaxOpen, second))
		}
		t.Logf("shards: %v, %v connections rejected, up to %v open at one member, utility %.3f", sharded, rejected, maxOpen, r.Utility)
		if (rejected > 0) == sharded || len(r.Broken) > 0 {
			t.Errorf("%v connections rejected, broken rules: %v", rejected, r.Broken)
		}
	}
}

// Two processes have the name of one voter. The duplicate is logged by the leases and by the membership list, that voter grants nothing, and no two
// drivers hold the lease at once, also when its holder is cut off.
func TestDuplicateDriverName(t *testing.T) {
	t.Parallel()
	text := strings.Replace(leaseScript(6, 9, "voters = [0, 1, 3]"), "peers = true", "peers = true\n  twins = [2]", 1) + "view {\n  every = \"200ms\"\n}\n" +
		faultBlock("cut", "3s", "2s", `from = ["d4"];to = ["d0..3"]`) + faultBlock("cut", "6s", "2s", `from = ["d5"];to = ["d0..3"]`)
	r, err := playLeases(text, 5, Programs{}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	reports := 0
	for _, event := range r.Timeline.Events {
		if strings.HasPrefix(event.What, "duplicate driver name") {
			reports++
		}
	}
	t.Logf("%d reports of the duplicate, %d terms, %d acts", reports, r.FencingServer.Terms(), len(r.FencingServer.Requests))
	if reports < 2 || len(r.Broken) > 0 || len(r.FencingServer.Requests) < 100 {
		t.Errorf("%d reports of the duplicate, %d acts, broken rules: %v", reports, len(r.FencingServer.Requests), r.Broken)
	}
}

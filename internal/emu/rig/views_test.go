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

// viewing is a fleet whose drivers ask each other five times a second.
func viewed(drivers, seconds int) string {
	text := fleetOf(drivers, seconds, "")
	return text[:strings.Index(text, "leases {")] + "view {\n  every = \"200ms\"\n}\n"
}

// settled tells since when all who are there have seen just those who are, up to the end; under 0: they do not in the end. Gone are drivers
// that are down then.
func settled(r *play.Result, drivers int, gone map[int]bool) time.Duration {
	since, last := time.Duration(0), make(map[int]time.Duration)
	for _, s := range r.Views {
		if gone[s.Driver] {
			continue
		}
		last[s.Driver] = s.At
		for d := range drivers {
			is, known := s.Is[play.Driver(d)]
			if gone[d] == (known && (is == "alive" || is == "suspect")) || !gone[d] && is != "alive" {
				since = max(since, s.At)
			}
		}
	}
	for d := range drivers {
		if !gone[d] && last[d] <= since {
			return -1
		}
	}
	return since
}

// dead counts the samples in which one is held dead.
func dead(r *play.Result) (n int) {
	for _, s := range r.Views {
		for _, is := range s.Is {
			if is == "dead" {
				n++
			}
		}
	}
	return n
}

const mostSettling = 7 * time.Second

func playViews(text string, seed uint64) (*play.Result, error) {
	return playLeases(text, seed, Programs{}, io.Discard)
}

// Each kind of fault, with nine processes whose views are read from them: once it is over all see the same, all who are there and nobody else;
// where everybody could be reached by somebody nobody was held dead.
func TestViewsOfProcesses(t *testing.T) {
	rolling := ""
	for d := range 9 {
		rolling += trouble("driver_stop", fmt.Sprintf("%dms", 2000+300*d), "200ms", fmt.Sprintf("on = [%d]", d))
	}
	flaps := strings.Replace(trouble("cut", "2s", "4s", `from = ["d1"];to = ["d2..4"];every = "150ms"`), "", "", 1)
	for name, c := range map[string]struct {
		text string
		ends time.Duration // the last fault
		gone []int
		none bool // nobody may be held dead
	}{
		"nothing":                           {"", 0, nil, true},
		"a crash":                           {trouble("driver_kill", "2s", "60s", "on = [4]"), 2 * time.Second, []int{4}, false},
		"a third crashes at once":           {trouble("driver_kill", "2s", "60s", "on = [0, 4, 8]"), 2 * time.Second, []int{0, 4, 8}, false},
		"a planned stop":                    {trouble("driver_stop", "2s", "60s", "on = [4]"), 2 * time.Second, []int{4}, true},
		"one stands still":                  {trouble("driver_pause", "2s", "5s", "on = [4]"), 7 * time.Second, nil, false},
		"one way is cut":                    {trouble("cut", "2s", "5s", `from = ["d1"];to = ["d2"];one_way = true`), 7 * time.Second, nil, true},
		"two do not hear each other":        {trouble("cut", "2s", "5s", `from = ["d1"];to = ["d2"]`), 7 * time.Second, nil, true},
		"halves with crashes in both":       {trouble("partition", "2s", "5s", `islands = [["d0..3"], ["d4..8"]]`) + trouble("driver_kill", "3s", "60s", "on = [0]") + trouble("driver_kill", "3s", "1s", "on = [7]"), 7 * time.Second, []int{0}, false},
		"an island of one":                  {trouble("partition", "2s", "5s", `islands = [["d3"], ["d0..2", "d4..8"]]`), 7 * time.Second, nil, false},
		"flapping links":                    {flaps, 6 * time.Second, nil, true},
		"a third is lost, and doubled":      {trouble("loss", "2s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3`) + trouble("double", "2s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3;by = "100ms"`), 7 * time.Second, nil, false},
		"all are killed, and come in waves": {trouble("driver_kill", "2s", "300ms", `part = 1;within = "3s"`), 5300 * time.Millisecond, nil, false},
		"one after the other starts again":  {rolling, 5 * time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seconds := int((c.ends + mostSettling + 2*time.Second) / time.Second)
			r, err := playViews(viewed(9, seconds)+c.text, 1)
			if err != nil {
				t.Fatal(err)
			}
			gone := make(map[int]bool)
			for _, d := range c.gone {
				gone[d] = true
			}
			at := settled(r, 9, gone)
			t.Logf("settled %v after the last fault, %d samples", at-c.ends, len(r.Views))
			if at < 0 || at > c.ends+mostSettling {
				t.Errorf("settled at %v, the last fault was over at %v; the last view: %+v", at, c.ends, r.Views[len(r.Views)-1])
			}
			if n := dead(r); c.none && n > 0 {
				t.Errorf("somebody was held dead in %d samples", n)
			}
		})
	}
}

// Overlapping faults drawn by seed on ten processes: after the last of them all living drivers hold the same view within the stated time, the dead
// are out, and none alive is held dead.
func TestViewSettles(t *testing.T) {
	t.Parallel()
	seeds := uint64(10)
	fmt.Sscan(os.Getenv("RIG_SEEDS"), &seeds)
	const drivers, ends = 10, 9 * time.Second
	var all sync.WaitGroup
	var mutex sync.Mutex
	longest := time.Duration(0)
	for seed := range seeds {
		all.Go(func() {
			chance := pcg.New(seed)
			var text strings.Builder
			gone := make(map[int]bool)
			for range 8 {
				from := 1500 + chance.Below(5000)
				at, lasts := fmt.Sprintf("%dms", from), fmt.Sprintf("%dms", 100+chance.Below(int(ends/time.Millisecond)-from-700))
				d, o := chance.Below(drivers), chance.Below(drivers-1)
				if o >= d {
					o++
				}
				between := fmt.Sprintf(`from = ["d%d"];to = ["d%d"]`, d, o)
				switch chance.Below(8) {
				case 0, 1:
					text.WriteString(trouble("driver_kill", at, lasts, fmt.Sprintf("on = [%d]", d)))
				case 2:
					if len(gone) < 3 && !gone[d] {
						gone[d] = true
						text.WriteString(trouble("driver_kill", at, "60s", fmt.Sprintf("on = [%d]", d)))
					}
				case 3:
					text.WriteString(trouble("driver_pause", at, lasts, fmt.Sprintf("on = [%d]", d)))
				case 4:
					text.WriteString(trouble("cut", at, lasts, between+";one_way = true"))
				case 5:
					text.WriteString(trouble("partition", at, lasts, fmt.Sprintf(`islands = [["d0..%d"], ["d%d..9"]]`, d%9, d%9+1)))
				case 6:
					text.WriteString(trouble("loss", at, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3`))
				case 7:
					text.WriteString(trouble("driver_stop", at, "200ms", fmt.Sprintf("on = [%d]", d)))
				}
			}
			r, err := playViews(viewed(drivers, int((ends+mostSettling)/time.Second)+2)+text.String(), seed)
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			at := settled(r, drivers, gone)
			mutex.Lock()
			defer mutex.Unlock()
			if longest = max(longest, at-ends); at < 0 || at > ends+mostSettling {
				t.Errorf("seed %d: settled at %v, the last view %+v, gone %v\n%s", seed, at, r.Views[len(r.Views)-1], gone, text.String())
			}
		})
	}
	all.Wait()
	t.Logf("%d plays, settled at most %v after the last fault", seeds, longest)
}

// Discovery is silent for all drivers but one when a member drains. With a view of the fleet that one tells the others, and nothing new is sent to
// the member after the grace; without it they go on sending until their lists come.
func TestDrainsReachThoseWithoutAList(t *testing.T) {
	t.Parallel()
	for _, talks := range []bool{false, true} {
		text := strings.Replace(viewed(6, 6), "members = 2", "members = 3", 1)
		text = strings.Replace(text, "rate = 20", "rate = 200", 1)
		if !talks {
			text = text[:strings.Index(text, "view {")]
		}
		text += trouble("discovery", "1s", "60s", "on = [1, 2, 3, 4, 5]") + trouble("drain", "2s", "60s", "on = [2]")
		r, err := playViews(text, 3)
		if err != nil {
			t.Fatal(err)
		}
		late := r.Ledger.Sum(emu.Drained, 4, 6) // a second until the list has it, a quarter of one of grace
		t.Logf("talks: %v, %v attempts at the member after its drain was known to one", talks, late)
		if (late > 0) == talks || len(r.Broken) > 0 {
			t.Errorf("%v attempts, %v", late, r.Broken)
		}
	}
}

// Members take thirty connections each from all drivers. With parts that follow the view they never have to turn one away, through a burst, all drivers
// killed, halves that do not hear each other and a crash; without them they do.
func TestPartsKeepConnectionsWithinWhatMembersTake(t *testing.T) {
	t.Parallel()
	const takes = 30
	for _, parted := range []bool{false, true} {
		text := strings.NewReplacer("members = 2", fmt.Sprintf("members = 2\n  cores = 64\n  connections = %d", takes), "rate = 20", "rate = 300",
			`work = "2ms..4ms"`, `work = "60ms..140ms"`, "sessions = 10", "sessions = 500", `every = "200ms"`, `every = "100ms"`+"\n  connections = 30").Replace(viewed(6, 16))
		if !parted {
			text = text[:strings.Index(text, "view {")]
		}
		text += trouble("partition", "6s", "4s", `islands = [["d0..1"], ["d2..5"]]`) + trouble("driver_kill", "7s", "60s", "on = [5]") + trouble("driver_kill", "12s", "200ms", "on = [0, 1, 2, 3, 4]")
		r, err := playViews(text, 4)
		if err != nil {
			t.Fatal(err)
		}
		away, most := r.Ledger.Sum(emu.TurnedAway, 0, 16), 0.0
		for second := range 16 {
			most = max(most, r.Ledger.Second(emu.MaxOpen, second))
		}
		t.Logf("parts: %v, %v connections turned away, up to %v open at one, utility %.3f", parted, away, most, r.Utility)
		if (away > 0) == parted || len(r.Broken) > 0 {
			t.Errorf("%v turned away, %v", away, r.Broken)
		}
	}
}

// Two processes have the name of one voter. It is told, that voter is silent, and no two hold at once, also when the holder is cut off; the view tells too.
func TestANameUsedTwice(t *testing.T) {
	t.Parallel()
	text := strings.Replace(fleetOf(6, 9, "voters = [0, 1, 3]"), "peers = true", "peers = true\n  twins = [2]", 1) + "view {\n  every = \"200ms\"\n}\n" +
		trouble("cut", "3s", "2s", `from = ["d4"];to = ["d0..3"]`) + trouble("cut", "6s", "2s", `from = ["d5"];to = ["d0..3"]`)
	r, err := playLeases(text, 5, Programs{}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	told := 0
	for _, m := range r.Course.Events {
		if strings.HasPrefix(m.What, "duplicate driver name") {
			told++
		}
	}
	t.Logf("told %d times, %d terms, %d acts", told, r.FencingServer.Terms(), len(r.FencingServer.Requests))
	if told < 2 || len(r.Broken) > 0 || len(r.FencingServer.Requests) < 100 {
		t.Errorf("told %d times, %d acts, %v", told, len(r.FencingServer.Requests), r.Broken)
	}
}

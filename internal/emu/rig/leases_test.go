package rig

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/emu/play"
	"passtack/internal/pcg"
	"passtack/internal/testprogram"
)

// leaseScript is a script of a small fleet whose lease holder acts fifty times a second. Blocks of faults can be appended.
func leaseScript(drivers, seconds int, leases string) string {
	return fmt.Sprintf(`lasts = "%ds"
fleet {
  drivers = %d
  members = 2
  peers = true
}
load {
  rate = 20
  retries = 4
  sessions = 10
  method "look" {
    need = "any"
    work = "2ms..4ms"
    soft = "1s"
    limit = "1500ms"
    share = 1
  }
}
leases {
  lasts = "1s"
  summary = "20ms"
  folders = true
  %s
}
`, seconds, drivers, leases)
}

// leaseSlots limits concurrent lease plays; they need little CPU time.
var leaseSlots = make(chan bool, 10)

func playLeases(text string, seed uint64, programs Programs, log io.Writer) (*play.Result, error) {
	s, err := play.ParseScript([]byte(text), "leases.hcl")
	if err != nil {
		return nil, err
	}
	if programs.Path == "" {
		if programs.Path, err = testprogram.Path(); err != nil {
			return nil, err
		}
	}
	leaseSlots <- true
	defer func() { <-leaseSlots }()
	return Play(s, seed, programs, log)
}

func faultBlock(kind, at, lasts, more string) string {
	return fmt.Sprintf("trouble %q {\n  at = %q\n  lasts = %q\n  %s\n}\n", kind, at, lasts, strings.ReplaceAll(more, ";", "\n  "))
}

// randomFaults returns overlapping faults of drivers, folders and links.
func randomFaults(seed uint64, drivers, seconds int) string {
	rng := pcg.New(seed)
	var text strings.Builder
	for range 8 {
		at := fmt.Sprintf("%dms", 1500+rng.Below((seconds-4)*1000))
		lasts := fmt.Sprintf("%dms", 50+rng.Below(2500))
		d, o := rng.Below(drivers), rng.Below(drivers-1)
		if o >= d {
			o++
		}
		between := fmt.Sprintf(`from = ["d%d"];to = ["d%d"]`, d, o)
		switch rng.Below(8) {
		case 0, 1:
			folder := []string{"kept", "emptied", "older", "flipped"}[rng.Below(4)]
			text.WriteString(faultBlock("driver_kill", at, lasts, fmt.Sprintf(`on = [%d];folder = %q`, d, folder)))
		case 2:
			text.WriteString(faultBlock("driver_pause", at, lasts, fmt.Sprintf("on = [%d]", d)))
		case 3:
			text.WriteString(faultBlock("cut", at, lasts, between))
		case 4:
			text.WriteString(faultBlock("cut", at, lasts, between+";one_way = true"))
		case 5:
			text.WriteString(faultBlock("partition", at, lasts, fmt.Sprintf(`islands = [["d0..%d"], ["d%d..%d"]]`, d%(drivers-1), d%(drivers-1)+1, drivers-1)))
		case 6:
			text.WriteString(faultBlock("loss", at, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3`) +
				faultBlock("double", at, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3;by = "300ms"`))
		case 7:
			text.WriteString(faultBlock("delay", at, lasts, fmt.Sprintf(`from = ["d%d"];to = ["drivers"];by = "%dms"`, d, rng.Below(1500))))
		}
	}
	return text.String()
}

// Random faults on several drivers as processes. A fencing server outside of the drivers records the acts of lease holders: no two holders may act at
// the same moment, and no fencing token may decrease or belong to two drivers. RIG_SEEDS sets the number of seeds, to play more than CI does.
func TestTwoLeaseHoldersNeverAct(t *testing.T) {
	t.Parallel()
	seeds := uint64(20)
	fmt.Sscan(os.Getenv("RIG_SEEDS"), &seeds)
	var mutex sync.Mutex
	var all sync.WaitGroup
	acts, terms, refused := 0, 0, 0
	for seed := range seeds {
		all.Go(func() {
			r, err := playLeases(leaseScript(6, 9, "voters = [0, 1, 2]")+randomFaults(seed, 6, 9), seed, Programs{}, io.Discard)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				t.Errorf("seed %d: %v", seed, err)
				return
			}
			if len(r.Broken) > 0 {
				t.Errorf("seed %d: %v", seed, r.Broken[:min(3, len(r.Broken))])
			}
			acts, terms, refused = acts+len(r.FencingServer.Requests), terms+r.FencingServer.Terms(), refused+r.FencingServer.Refused
		})
	}
	all.Wait()
	t.Logf("%d plays, %d terms, %d acts, %d refused", seeds, terms, acts, refused)
	if terms < int(seeds) || acts < 50*int(seeds) {
		t.Errorf("%d terms and %d acts are too few for a result", terms, acts)
	}
}

// Each kind of fault for leases, with drivers as processes. Driver 3 holds the lease first, as driver 4 is cut off from the voters for the first 2.5 s.
func TestLeasesUnderFaults(t *testing.T) {
	const first = `voters = [0, 1, 2]
  askers = [3, 4]`
	cutOff := faultBlock("cut", "0s", "2500ms", `from = ["d4"];to = ["d0..2"]`)
	script := func(more ...string) string { return leaseScript(5, 9, first) + cutOff + strings.Join(more, "") }
	for name, c := range map[string]struct {
		text  string
		terms [2]int        // minimum and maximum
		gap   time.Duration // longest allowed time without an act, from 0.8 s after the first act on
	}{
		"no fault":                                {script(), [2]int{1, 1}, 500 * time.Millisecond},
		"cut off from the voters":                 {script(faultBlock("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"]`)), [2]int{2, 2}, 2 * time.Second},
		"cut off from the askers":                 {script(faultBlock("cut", "4s", "3s", `from = ["d3"];to = ["d4"]`)), [2]int{1, 1}, 500 * time.Millisecond},
		"requests to voters lost":                 {script(faultBlock("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"];one_way = true`)), [2]int{2, 2}, 2 * time.Second},
		"answers of voters lost":                  {script(faultBlock("cut", "4s", "3s", `from = ["d0..2"];to = ["d3"];one_way = true`)), [2]int{2, 3}, 2 * time.Second},
		"holder paused past the end of its lease": {script(faultBlock("driver_pause", "4s", "3s", `on = [3]`)), [2]int{2, 2}, 2 * time.Second},
		"holder killed":                           {script(faultBlock("driver_kill", "4s", "1s", `on = [3]`)), [2]int{2, 2}, 2 * time.Second},
		"holder shut down":                        {script(faultBlock("driver_stop", "4s", "1s", `on = [3]`)), [2]int{2, 2}, 700 * time.Millisecond},
		"voters restart with their folders":       {script(faultBlock("driver_kill", "4s", "200ms", `on = [0, 1, 2]`)), [2]int{1, 3}, 3 * time.Second},
		"voters restart with empty folders":       {script(faultBlock("driver_kill", "4s", "200ms", `on = [0, 1, 2];folder = "emptied"`)), [2]int{1, 3}, 3 * time.Second},
		"voters restart with older folders":       {script(faultBlock("driver_kill", "4s", "200ms", `on = [0, 1, 2];folder = "older"`)), [2]int{1, 3}, 3 * time.Second},
		"no majority for a while":                 {script(faultBlock("driver_kill", "4s", "2s", `on = [0, 1]`)), [2]int{2, 3}, 5 * time.Second},
		"all killed":                              {script(faultBlock("driver_kill", "4s", "300ms", `part = 1;folder = "emptied"`)), [2]int{2, 4}, 3 * time.Second},
		"a voter answers late":                    {script(faultBlock("delay", "3s", "5s", `from = ["d0"];to = ["d3..4"];by = "1500ms"`)), [2]int{1, 1}, 500 * time.Millisecond},
		"a third lost and a third doubled": {script(faultBlock("loss", "3s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3`),
			faultBlock("double", "3s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3;by = "200ms"`)), [2]int{1, 6}, 3 * time.Second},
		"voters change in a partition": {script(faultBlock("partition", "4s", "3s", `islands = [["d0", "d3"], ["d1..2", "d4"]]`),
			faultBlock("voters", "4500ms", "3s", `on = [1, 2, 4]`)), [2]int{2, 3}, 5 * time.Second},
		"twenty candidates at once": {leaseScript(20, 7, "voters = [0, 1, 2]"), [2]int{1, 1}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log strings.Builder
			r, err := playLeases(c.text, 1, Programs{}, &log)
			if err != nil {
				t.Fatalf("%v\n%s", err, log.String())
			}
			server := r.FencingServer
			if len(r.Broken) > 0 {
				t.Errorf("%v", r.Broken[:min(3, len(r.Broken))])
			}
			end := server.Requests[len(server.Requests)-1].ReceivedAt
			from := server.Requests[0].ReceivedAt + 800*time.Millisecond
			gap, terms := server.LongestGap(from, end), server.Terms()
			t.Logf("%d terms, %d acts, %d refused, the longest time without an act %v", terms, len(server.Requests), server.Refused, gap)
			if terms < c.terms[0] || terms > c.terms[1] || gap > c.gap {
				var timeline strings.Builder
				r.Timeline.Print(&timeline)
				t.Errorf("%d terms, want %d to %d; %v without an act, at most %v is allowed\n%s", terms, c.terms[0], c.terms[1], gap, c.gap, timeline.String())
			}
		})
	}
}

// buildMutatedProgram builds the program with the mutations of leases, of which an environment variable selects one.
var buildMutatedProgram = sync.OnceValues(func() (string, error) {
	at, err := testprogram.Path()
	if err != nil {
		return "", err
	}
	name := filepath.Join(filepath.Dir(at), "mutated")
	if out, err := exec.Command("go", "build", "-tags", "mutation", "-o", name, "passtack/cmd/passtack").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return name, nil
})

// The fencing server has to detect bugs of leases that are built in on purpose, and report nothing without them. In reuses-number the holder stays down
// for longer than its lease lasts, so that another driver acquires the lease in between: under its own old token its next term would look like the same.
func TestWitnessDetectsMutations(t *testing.T) {
	at, err := buildMutatedProgram()
	if err != nil {
		t.Fatal(err)
	}
	const first = `voters = [0, 1, 2]
  askers = [3, 4]`
	text := leaseScript(5, 7, first) + faultBlock("cut", "0s", "2500ms", `from = ["d4"];to = ["d0..2"]`)
	for mutation, more := range map[string]string{
		"counts-from-answer": faultBlock("delay", "2s", "4s", `from = ["d0..2"];to = ["d3"];by = "350ms";one_way = true`) +
			faultBlock("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"];one_way = true`),
		"answers-at-once": faultBlock("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"]`) + faultBlock("driver_kill", "4s", "50ms", `on = [0, 1, 2, 4];folder = "emptied"`),
		"half-decides":    faultBlock("partition", "3s", "4s", `islands = [["d0", "d3"], ["d1..2", "d4"]]`),
		"reuses-number":   faultBlock("driver_kill", "4s", "2s", `on = [3]`),
	} {
		t.Run(mutation, func(t *testing.T) {
			t.Parallel()
			wrapper := filepath.Join(t.TempDir(), "program")
			if err := os.WriteFile(wrapper, fmt.Appendf(nil, "#!/bin/sh\nPASSTACK_PLANTED=%s exec %s \"$@\"\n", mutation, at), 0o700); err != nil {
				t.Fatal(err)
			}
			r, err := playLeases(text+more, 1, Programs{Path: wrapper}, io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			if len(r.FencingServer.Broken()) == 0 {
				var timeline strings.Builder
				r.Timeline.Print(&timeline)
				t.Errorf("the fencing server does not detect the mutation\n%s", timeline.String())
			}
			if r, err = playLeases(text+more, 1, Programs{}, io.Discard); err != nil || len(r.FencingServer.Broken()) > 0 {
				t.Errorf("without the mutation: %v", errors.Join(err, fmt.Errorf("%v", r.FencingServer.Broken())))
			}
		})
	}
}

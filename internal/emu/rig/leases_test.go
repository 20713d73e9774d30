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
)

// fleetOf is a small fleet whose holder acts fifty times a second. Times of troubles are to come behind it.
func fleetOf(drivers, seconds int, leases string) string {
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

// leaseAbreast bounds plays that take little of the machine.
var leaseAbreast = make(chan bool, 10)

func playLeases(text string, seed uint64, programs Programs, log io.Writer) (*play.Result, error) {
	s, err := play.ParseScript([]byte(text), "leases.hcl")
	if err != nil {
		return nil, err
	}
	if programs.Path == "" {
		if programs.Path, err = program(); err != nil {
			return nil, err
		}
	}
	leaseAbreast <- true
	defer func() { <-leaseAbreast }()
	return Play(s, seed, programs, log)
}

func trouble(kind, at, lasts, more string) string {
	return fmt.Sprintf("trouble %q {\n  at = %q\n  lasts = %q\n  %s\n}\n", kind, at, lasts, strings.ReplaceAll(more, ";", "\n  "))
}

// drawn are overlapping troubles of drivers, folders, links and voters.
func drawn(seed uint64, drivers, seconds int) string {
	chance := pcg.New(seed)
	var text strings.Builder
	for range 8 {
		at := fmt.Sprintf("%dms", 1500+chance.Below((seconds-4)*1000))
		lasts := fmt.Sprintf("%dms", 50+chance.Below(2500))
		d, o := chance.Below(drivers), chance.Below(drivers-1)
		if o >= d {
			o++
		}
		between := fmt.Sprintf(`from = ["d%d"];to = ["d%d"]`, d, o)
		switch chance.Below(8) {
		case 0, 1:
			folder := []string{"kept", "emptied", "older", "flipped"}[chance.Below(4)]
			text.WriteString(trouble("driver_kill", at, lasts, fmt.Sprintf(`on = [%d];folder = %q`, d, folder)))
		case 2:
			text.WriteString(trouble("driver_pause", at, lasts, fmt.Sprintf("on = [%d]", d)))
		case 3:
			text.WriteString(trouble("cut", at, lasts, between))
		case 4:
			text.WriteString(trouble("cut", at, lasts, between+";one_way = true"))
		case 5:
			text.WriteString(trouble("partition", at, lasts, fmt.Sprintf(`islands = [["d0..%d"], ["d%d..%d"]]`, d%(drivers-1), d%(drivers-1)+1, drivers-1)))
		case 6:
			text.WriteString(trouble("loss", at, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3`) +
				trouble("double", at, lasts, `from = ["drivers"];to = ["drivers"];times = 0.3;by = "300ms"`))
		case 7:
			text.WriteString(trouble("delay", at, lasts, fmt.Sprintf(`from = ["d%d"];to = ["drivers"];by = "%dms"`, d, chance.Below(1500))))
		}
	}
	return text.String()
}

// Several processes, faults drawn by seed. A witness outside of the drivers takes the acts: the guards of no two holders ever said yes in the
// same moment, and no number goes back or belongs to two. RIG_SEEDS plays more seeds than CI does.
func TestTwoHoldersNeverAct(t *testing.T) {
	t.Parallel()
	seeds := uint64(20)
	fmt.Sscan(os.Getenv("RIG_SEEDS"), &seeds)
	var mutex sync.Mutex
	var all sync.WaitGroup
	acts, terms, refused := 0, 0, 0
	for seed := range seeds {
		all.Go(func() {
			r, err := playLeases(fleetOf(6, 9, "voters = [0, 1, 2]")+drawn(seed, 6, 9), seed, Programs{}, io.Discard)
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
		t.Errorf("%d terms and %d acts show little", terms, acts)
	}
}

// Each hard case of leases, with several processes. Driver 3 holds first, as 4 is kept from the voters until then.
func TestLeasesOfProcesses(t *testing.T) {
	const first = `voters = [0, 1, 2]
  askers = [3, 4]`
	keptOff := trouble("cut", "0s", "2500ms", `from = ["d4"];to = ["d0..2"]`)
	all := func(more ...string) string { return fleetOf(5, 9, first) + keptOff + strings.Join(more, "") }
	for name, c := range map[string]struct {
		text  string
		terms [2]int        // least and most
		gap   time.Duration // the longest without an act, from 2 s on
	}{
		"nothing happens":                 {all(), [2]int{1, 1}, 500 * time.Millisecond},
		"cut off from the voters":         {all(trouble("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"]`)), [2]int{2, 2}, 2 * time.Second},
		"cut off from the askers":         {all(trouble("cut", "4s", "3s", `from = ["d3"];to = ["d4"]`)), [2]int{1, 1}, 500 * time.Millisecond},
		"questions lost":                  {all(trouble("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"];one_way = true`)), [2]int{2, 2}, 2 * time.Second},
		"answers lost":                    {all(trouble("cut", "4s", "3s", `from = ["d0..2"];to = ["d3"];one_way = true`)), [2]int{2, 3}, 2 * time.Second},
		"stopped past its end":            {all(trouble("driver_pause", "4s", "3s", `on = [3]`)), [2]int{2, 2}, 2 * time.Second},
		"killed":                          {all(trouble("driver_kill", "4s", "1s", `on = [3]`)), [2]int{2, 2}, 2 * time.Second},
		"told to end":                     {all(trouble("driver_stop", "4s", "1s", `on = [3]`)), [2]int{2, 2}, 700 * time.Millisecond},
		"voters start with their folders": {all(trouble("driver_kill", "4s", "200ms", `on = [0, 1, 2]`)), [2]int{1, 3}, 3 * time.Second},
		"voters start without":            {all(trouble("driver_kill", "4s", "200ms", `on = [0, 1, 2];folder = "emptied"`)), [2]int{1, 3}, 3 * time.Second},
		"voters start with older ones":    {all(trouble("driver_kill", "4s", "200ms", `on = [0, 1, 2];folder = "older"`)), [2]int{1, 3}, 3 * time.Second},
		"no majority for a while":         {all(trouble("driver_kill", "4s", "2s", `on = [0, 1]`)), [2]int{2, 3}, 5 * time.Second},
		"all are killed":                  {all(trouble("driver_kill", "4s", "300ms", `part = 1;folder = "emptied"`)), [2]int{2, 4}, 3 * time.Second},
		"a voter answers late":            {all(trouble("delay", "3s", "5s", `from = ["d0"];to = ["d3..4"];by = "1500ms"`)), [2]int{1, 1}, 500 * time.Millisecond},
		"a third is lost and doubled": {all(trouble("loss", "3s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3`),
			trouble("double", "3s", "5s", `from = ["drivers"];to = ["drivers"];times = 0.3;by = "200ms"`)), [2]int{1, 6}, 3 * time.Second},
		"voters change in a partition": {all(trouble("partition", "4s", "3s", `islands = [["d0", "d3"], ["d1..2", "d4"]]`),
			trouble("voters", "4500ms", "3s", `on = [1, 2, 4]`)), [2]int{2, 3}, 5 * time.Second},
		"twenty ask at once": {fleetOf(20, 7, "voters = [0, 1, 2]"), [2]int{1, 1}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var log strings.Builder
			r, err := playLeases(c.text, 1, Programs{}, &log)
			if err != nil {
				t.Fatalf("%v\n%s", err, log.String())
			}
			w := r.FencingServer
			if len(r.Broken) > 0 {
				t.Errorf("%v", r.Broken[:min(3, len(r.Broken))])
			}
			end := w.Requests[len(w.Requests)-1].ReceivedAt
			from := w.Requests[0].ReceivedAt + 800*time.Millisecond
			gap, terms := w.LongestGap(from, end), w.Terms()
			t.Logf("%d terms, %d acts, %d refused, the longest time without one %v", terms, len(w.Requests), w.Refused, gap)
			if terms < c.terms[0] || terms > c.terms[1] || gap > c.gap {
				var course strings.Builder
				r.Course.Print(&course)
				t.Errorf("%d terms, from %d to %d are right; %v without an act, %v is allowed\n%s", terms, c.terms[0], c.terms[1], gap, c.gap, course.String())
			}
		})
	}
}

// mutatedProgram builds the program so that its environment names a mutation of leases.
var mutatedProgram = sync.OnceValues(func() (string, error) {
	at, err := program()
	if err != nil {
		return "", err
	}
	name := filepath.Join(filepath.Dir(at), "mutated")
	if out, err := exec.Command("go", "build", "-tags", "mutation", "-o", name, "passtack/cmd/passtack").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return name, nil
})

// TestMutationsFoundByWitness shows that the witness finds bugs that are put in.
func TestMutationsFoundByWitness(t *testing.T) {
	at, err := mutatedProgram()
	if err != nil {
		t.Fatal(err)
	}
	const first = `voters = [0, 1, 2]
  askers = [3, 4]`
	text := fleetOf(5, 7, first) + trouble("cut", "0s", "2500ms", `from = ["d4"];to = ["d0..2"]`)
	for mutation, more := range map[string]string{
		"counts-from-answer": trouble("delay", "2s", "4s", `from = ["d0..2"];to = ["d3"];by = "350ms";one_way = true`) +
			trouble("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"];one_way = true`),
		"answers-at-once": trouble("cut", "4s", "3s", `from = ["d3"];to = ["d0..2"]`) + trouble("driver_kill", "4s", "50ms", `on = [0, 1, 2, 4];folder = "emptied"`),
		"half-decides":    trouble("partition", "3s", "4s", `islands = [["d0", "d3"], ["d1..2", "d4"]]`),
		"reuses-number":   trouble("driver_kill", "4s", "1s", `on = [3]`),
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
				var course strings.Builder
				r.Course.Print(&course)
				t.Errorf("it is not found\n%s", course.String())
			}
			if r, err = playLeases(text+more, 1, Programs{}, io.Discard); err != nil || len(r.FencingServer.Broken()) > 0 {
				t.Errorf("without it: %v", errors.Join(err, fmt.Errorf("%v", r.FencingServer.Broken())))
			}
		})
	}
}

package membership

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite golden files")

// checkGolden compares what was written with the golden file, or writes the file with -update.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != got {
		t.Errorf("%s differs from what was written before:\n%s", path, got)
	}
}

// goldenNames are the files of the datagrams by the number of their kind on the wire.
var goldenNames = map[byte]string{1: "ping", 2: "ack", 3: "ping-request", 4: "ping-request-accepted", 5: "indirect-ack", 6: "sync-request", 7: "sync-part"}

// describeEntry writes an entry's values, a line.
func describeEntry(e Entry) string {
	return fmt.Sprintf("node %016x name %q incarnation %d refutation %d status %d suspector %d digest %d %d %d %d\n", uint64(e.ID), e.Name, e.Incarnation,
		e.Refutation, e.Status, e.Suspector, e.Summary.Sequence, e.Summary.ReadyPercent, e.Summary.RequestRate, e.Summary.ListRevision)
}

// describe writes all values of a decoded message.
func describe(m message) string {
	text := fmt.Sprintf("kind %d number %d target %016x sum %016x more %v sums %x\n", m.kind, m.sequence, uint64(m.target), m.checksum, m.more, m.rangeChecksums) + describeEntry(m.sender)
	for _, e := range m.entries {
		text += describeEntry(e)
	}
	return text
}

// encode writes a decoded message again. An entry without a name is a compact one.
func encode(m message) []byte {
	e := newEncoder(m.header, &m.sender, m.rangeChecksums)
	for _, entry := range m.entries {
		if entry.Name == "" {
			e.appendCompactEntry(&entry)
		} else {
			e.appendEntry(&entry)
		}
	}
	return e.finish()
}

// playFaults plays faults drawn by the seed and gives each datagram with its time, sender and receiver.
func playFaults(seed uint64, record func(at time.Duration, from, to int, text []byte)) {
	sim := newSimulation(seed, 12)
	sim.record = func(from, to int, text []byte) { record(sim.now, from, to, text) }
	sim.startAll(time.Second)
	for i, h := range sim.hosts {
		for n := range 5 {
			sim.after(time.Duration((2+sim.random.Float()*80)*float64(time.Second)), func() {
				h.whenRunning(func() {
					h.list.UpdateSummary(Summary{ReadyPercent: uint8(20 * n), RequestRate: uint16(1000 * (i + n)), ListRevision: uint32(7*n + i)})
				})
			})
		}
	}
	for range 10 {
		sim.after(time.Duration((10+sim.random.Float()*70)*float64(time.Second)), sim.injectFault)
	}
	sim.advance(100 * time.Second)
}

// Datagrams of each kind that earlier builds wrote are read as the same values, and these are written as the same bytes.
func TestGoldenDatagrams(t *testing.T) {
	if *update {
		richest := make(map[byte][]byte) // of each kind the one with most entries
		for seed := range uint64(5) {
			playFaults(seed, func(_ time.Duration, _, _ int, text []byte) {
				if best := richest[text[0]]; best == nil || text[22] > best[22] {
					richest[text[0]] = slices.Clone(text)
				}
			})
		}
		for kind, text := range richest {
			checkGolden(t, goldenNames[kind]+".hex", hex.EncodeToString(text)+"\n")
		}
	}
	for kind, name := range goldenNames {
		line, err := os.ReadFile(filepath.Join("testdata", name+".hex"))
		if err != nil {
			t.Fatal(err)
		}
		text, err := hex.DecodeString(strings.TrimSpace(string(line)))
		if err != nil {
			t.Fatal(err)
		}
		m, ok := decodeMessage(text)
		if !ok || text[0] != kind {
			t.Fatalf("%s is not read", name)
		}
		checkGolden(t, name+".txt", describe(m))
		if again := encode(m); !bytes.Equal(again, text) {
			t.Errorf("%s is written as %x, not as %x", name, again, text)
		}
	}
}

// Whole courses of drivers that talk to each other, with faults drawn by seed, are the same datagrams at the same times as those of earlier builds.
func TestGoldenTranscripts(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(10) {
		sum, count := sha256.New(), 0
		playFaults(seed, func(at time.Duration, from, to int, text []byte) {
			count++
			fmt.Fprintf(sum, "%d %d %d %x\n", at, from, to, text)
		})
		fmt.Fprintf(&lines, "seed %d datagrams %d sha256 %x\n", seed, count, sum.Sum(nil))
	}
	checkGolden(t, "courses.txt", lines.String())
}

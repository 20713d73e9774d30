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

// checkGolden compares got with the golden file, after writing got to the file if -update is set.
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
		t.Errorf("output differs from the golden file %s:\n%s", path, got)
	}
}

// goldenNames are the names of the golden files, by the number of the message kind on the wire.
var goldenNames = map[byte]string{1: "ping", 2: "ack", 3: "ping-request", 4: "ping-request-accepted", 5: "indirect-ack", 6: "sync-request", 7: "sync-part"}

// describeEntry formats the fields of an entry as one line.
func describeEntry(e Entry) string {
	return fmt.Sprintf("node %016x name %q incarnation %d refutation %d status %d suspector %d digest %d %d %d %d\n", uint64(e.ID), e.Name, e.Incarnation,
		e.Refutation, e.Status, e.Suspector, e.Summary.Sequence, e.Summary.ReadyPercent, e.Summary.RequestRate, e.Summary.ListRevision)
}

// describe formats all fields of a decoded message.
func describe(m message) string {
	text := fmt.Sprintf("kind %d number %d target %016x sum %016x more %v sums %x\n", m.kind, m.sequence, uint64(m.target), m.checksum, m.more, m.rangeChecksums) + describeEntry(m.sender)
	for _, e := range m.entries {
		text += describeEntry(e)
	}
	return text
}

// encode encodes a decoded message again. An entry without a name is encoded as a compact one.
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

// simulateFaults runs a simulation with random faults and calls record for each datagram that is sent.
func simulateFaults(seed uint64, record func(sentAt time.Duration, from, to int, datagram []byte)) {
	sim := newSimulation(seed, 12)
	sim.record = func(from, to int, datagram []byte) { record(sim.now, from, to, datagram) }
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

// TestGoldenDatagrams checks that a datagram of each kind from an earlier build is decoded to the same values, and that these are encoded as the
// same bytes.
func TestGoldenDatagrams(t *testing.T) {
	if *update {
		largest := make(map[byte][]byte) // by kind: the datagram with the most entries
		for seed := range uint64(5) {
			simulateFaults(seed, func(_ time.Duration, _, _ int, datagram []byte) {
				if best := largest[datagram[0]]; best == nil || datagram[22] > best[22] {
					largest[datagram[0]] = slices.Clone(datagram)
				}
			})
		}
		for kind, datagram := range largest {
			checkGolden(t, goldenNames[kind]+".hex", hex.EncodeToString(datagram)+"\n")
		}
	}
	for kind, name := range goldenNames {
		line, err := os.ReadFile(filepath.Join("testdata", name+".hex"))
		if err != nil {
			t.Fatal(err)
		}
		datagram, err := hex.DecodeString(strings.TrimSpace(string(line)))
		if err != nil {
			t.Fatal(err)
		}
		m, ok := decodeMessage(datagram)
		if !ok || datagram[0] != kind {
			t.Fatalf("golden datagram %s is not decoded as a message of its kind", name)
		}
		checkGolden(t, name+".txt", describe(m))
		if encoded := encode(m); !bytes.Equal(encoded, datagram) {
			t.Errorf("%s is encoded as %x, want %x", name, encoded, datagram)
		}
	}
}

// TestGoldenTranscripts checks that simulations with random faults send the same datagrams at the same times as in earlier builds.
func TestGoldenTranscripts(t *testing.T) {
	var lines strings.Builder
	for seed := range uint64(10) {
		sum, count := sha256.New(), 0
		simulateFaults(seed, func(sentAt time.Duration, from, to int, datagram []byte) {
			count++
			fmt.Fprintf(sum, "%d %d %d %x\n", sentAt, from, to, datagram)
		})
		fmt.Fprintf(&lines, "seed %d datagrams %d sha256 %x\n", seed, count, sum.Sum(nil))
	}
	checkGolden(t, "courses.txt", lines.String())
}

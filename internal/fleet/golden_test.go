package fleet

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/driver"
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
	return fmt.Sprintf("node %016x name %q incarnation %d refutation %d status %d suspector %d digest %d %d %d %d\n", uint64(e.Node), e.Name, e.Life,
		e.Incarnation, e.Status, e.By, e.Digest.Count, e.Digest.Ready, e.Digest.Load, e.Digest.Revision)
}

// describe writes all values of a decoded message.
func describe(m message) string {
	text := fmt.Sprintf("kind %d number %d target %016x sum %016x more %v sums %x\n", m.op, m.number, uint64(m.target), m.view, m.more, m.sums) + describeEntry(m.sender)
	for _, e := range m.entries {
		text += describeEntry(e)
	}
	return text
}

// encode writes a decoded message again. An entry without a name is a brief one.
func encode(m message) []byte {
	out := make([]byte, headSize)
	out[0], out[22] = byte(m.op), byte(len(m.entries))
	if m.more {
		out[1] = 1
	}
	binary.LittleEndian.PutUint32(out[2:], m.number)
	binary.LittleEndian.PutUint64(out[6:], uint64(m.target))
	binary.LittleEndian.PutUint64(out[14:], m.view)
	out = appendEntry(out, &m.sender)
	for _, e := range m.entries {
		if e.Name == "" {
			out = appendBrief(out, &e)
		} else {
			out = appendEntry(out, &e)
		}
	}
	return append(out, m.sums...)
}

// playFaults plays faults drawn by the seed and gives each datagram with its time, sender and receiver.
func playFaults(seed uint64, record func(at time.Duration, from, to int, text []byte)) {
	w := newWorld(seed, 12)
	w.record = func(from, to int, text []byte) { record(w.now, from, to, text) }
	w.startAll(time.Second)
	for i, h := range w.all {
		for n := range 5 {
			w.at(time.Duration((2+w.chance.Float()*80)*float64(time.Second)), func() {
				h.soon(func() {
					h.view.Say(Digest{Ready: uint8(20 * n), Load: uint16(1000 * (i + n)), Revision: uint32(7*n + i)})
				})
			})
		}
	}
	for range 10 {
		w.at(time.Duration((10+w.chance.Float()*70)*float64(time.Second)), w.trouble)
	}
	w.run(100 * time.Second)
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
		m, ok := readMessage(text)
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
func TestGoldenCourses(t *testing.T) {
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

// The datagram of draining members is read as the same values and written as the same bytes.
func TestGoldenDrains(t *testing.T) {
	all := []Drain{{Member: 0x0123456789abcdef, Started: 90 * time.Minute}, {Member: 1, Started: driver.LongAgo}, {Member: 1<<64 - 1, Started: 1_700_000_000_123_456_789}}
	checkGolden(t, "drain.hex", hex.EncodeToString(AppendDrains(nil, all))+"\n")
	line, err := os.ReadFile(filepath.Join("testdata", "drain.hex"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := hex.DecodeString(strings.TrimSpace(string(line)))
	if err != nil {
		t.Fatal(err)
	}
	if got, ok := ReadDrains(text); !ok || !slices.Equal(got, all) {
		t.Errorf("read as %v", got)
	}
}

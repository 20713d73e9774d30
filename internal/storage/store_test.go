package storage

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"passtack/internal/pcg"
	"passtack/internal/seeded"
)

const testOwner, testMaxSize = 7, 64 << 20

func contents(s *Store) map[string]string {
	all := make(map[string]string)
	s.ForEach(func(name string, value []byte) { all[name] = string(value) })
	return all
}

// randomChanges returns the changes of one commit.
func randomChanges(random *pcg.Source, n int) (changes []Change) {
	for range 1 + random.Below(4) {
		c := Change{Name: fmt.Sprint("name", random.Below(12))}
		if random.Below(4) > 0 {
			c.Value = bytes.Repeat([]byte{byte(n)}, random.Below(9000))
		}
		if c.Value != nil && len(c.Value) == 0 {
			c.Value = []byte{}
		}
		changes = append(changes, c)
	}
	return changes
}

func applied(state map[string]string, changes []Change) map[string]string {
	next := maps.Clone(state)
	for _, c := range changes {
		if c.Value == nil {
			delete(next, c.Name)
		} else {
			next[c.Name] = string(c.Value)
		}
	}
	return next
}

// The machine crashes at each disk operation in turn. The next start recovers a complete state: that of the last successful commit or
// of the one that was in progress.
func TestCrashAtEveryOperationLeavesACompleteState(t *testing.T) {
	crashes := 0
	for seed := range uint64(3) {
		for at := 1; ; at++ {
			disk := newFakeDisk(seed*1000 + uint64(at))
			disk.crashAt = at
			committed := map[string]string{}
			attempted := committed
			s, _, err := Open(disk, testOwner, testMaxSize)
			for n := 0; err == nil && n < 30; n++ {
				changes := randomChanges(pcg.New(seed*100+uint64(n)), n)
				attempted = applied(committed, changes)
				if err = s.Commit(changes); err == nil {
					if committed = attempted; n%7 == 6 {
						err = s.Compact()
					}
				}
			}
			if !disk.down {
				break // the run needs fewer operations
			}
			crashes++
			reopened, report, err := Open(disk.restart(), testOwner, testMaxSize)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, at, err)
			}
			if got := contents(reopened); !maps.Equal(got, committed) && !maps.Equal(got, attempted) {
				t.Fatalf("seed %d, operation %d: neither the state before nor after, report %+v", seed, at, report)
			}
			last := applied(contents(reopened), []Change{{"after", []byte("it")}})
			if err := reopened.Commit([]Change{{"after", []byte("it")}}); err != nil || !maps.Equal(contents(reopened), last) {
				t.Fatalf("seed %d, operation %d: after the restart %v", seed, at, err)
			}
		}
	}
	if crashes < 200 {
		t.Errorf("%d crashes only", crashes)
	}
}

// Each disk operation fails once, as on a full or broken disk. What Commit reported as durable is recovered, what it reported as failed
// is not in the store, and the store works again once the disk does.
func TestDiskFailuresAreReportedAndRecoveredFrom(t *testing.T) {
	for _, failure := range []error{errFull, errIO} {
		for seed := range uint64(2) {
			for at := 1; ; at++ {
				disk := newFakeDisk(seed*1000 + uint64(at))
				disk.failAt, disk.failure = at, failure
				s, _, err := Open(disk, testOwner, testMaxSize)
				if err != nil {
					continue // not opened, so nothing is lost
				}
				committed, failed := map[string]string{}, 0
				var attempted map[string]string // if the last commit failed: it may be durable nevertheless
				for n := range 30 {
					changes := randomChanges(pcg.New(seed*100+uint64(n)), n)
					attempted = nil
					if err := s.Commit(changes); err == nil {
						committed = applied(committed, changes)
					} else if failed++; !errors.Is(err, failure) {
						t.Fatalf("operation %d: %v", at, err)
					} else {
						attempted = applied(committed, changes)
					}
					if got := contents(s); !maps.Equal(got, committed) {
						t.Fatalf("operation %d: the store holds what it reported as failed", at)
					}
				}
				if failed > 1 {
					t.Fatalf("operation %d: %d commits failed though the disk failed once", at, failed)
				}
				if disk.operations < at {
					break
				}
				reopened, _, err := Open(disk.restart(), testOwner, testMaxSize)
				if got := contents(reopened); err != nil || !maps.Equal(got, committed) && (attempted == nil || !maps.Equal(got, attempted)) {
					t.Fatalf("operation %d fails with %v: after a restart the state is another (%v)", at, failure, err)
				}
			}
		}
	}
}

// While the disk is full the last state stays; the store works again once there is space.
func TestDiskFullForAWhile(t *testing.T) {
	disk := newFakeDisk(1)
	s, _, err := Open(disk, testOwner, testMaxSize)
	if err != nil {
		t.Fatal(err)
	}
	s.Commit([]Change{{"a", []byte("1")}})
	disk.freeBytes = 100
	for range 50 {
		if err := s.Commit([]Change{{"b", make([]byte, 500)}}); !errors.Is(err, errFull) {
			t.Fatalf("a full disk: %v", err)
		}
	}
	disk.freeBytes = -1
	if err := s.Commit([]Change{{"c", []byte("3")}}); err != nil {
		t.Fatal(err)
	}
	reopened, _, err := Open(disk.restart(), testOwner, testMaxSize)
	if err != nil || !maps.Equal(contents(reopened), map[string]string{"a": "1", "c": "3"}) {
		t.Errorf("%v, %v", contents(reopened), err)
	}
	if err := s.Commit([]Change{{"d", make([]byte, 16<<20)}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("16 MiB at once: %v", err)
	}
}

// Whatever byte is flipped and wherever a file is truncated, what is recovered is a state that was once committed, or none.
func TestCorruptedFilesAreDetected(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		disk := newFakeDisk(rapid.Uint64().Draw(t, "seed"))
		s, _, err := Open(disk, testOwner, testMaxSize)
		if err != nil {
			t.Fatal(err)
		}
		states := []map[string]string{{}}
		for n := range rapid.IntRange(1, 40).Draw(t, "commits") {
			changes := randomChanges(pcg.New(uint64(n)+disk.randomSeed()), n)
			if err := s.Commit(changes); err != nil {
				t.Fatal(err)
			}
			states = append(states, contents(s))
		}
		names, _ := disk.List()
		name := rapid.SampledFrom(names).Draw(t, "name")
		file := disk.files[name]
		at := rapid.IntRange(0, len(file.content)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			file.content = file.content[:at]
		} else {
			file.content[at] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		}
		disk.locked = false
		reopened, report, err := Open(disk, testOwner, testMaxSize)
		if errors.Is(err, ErrNewerVersion) || errors.Is(err, ErrWrongOwner) {
			return // the version or the owner was hit: nothing is touched
		}
		if err != nil {
			t.Fatal(err)
		}
		got := contents(reopened)
		for _, state := range states {
			if maps.Equal(got, state) {
				return
			}
		}
		t.Fatalf("the recovered state was never committed: %+v", report)
	})
}

func (d *fakeDisk) randomSeed() uint64 { return uint64(d.random.Uint32()) }

// What one process writes to a real directory is recovered by the next of the same owner and refused to others.
func TestRealDirectory(t *testing.T) {
	path := t.TempDir()
	open := func(owner uint64) (*Store, error) {
		directory, err := OpenDirectory(path)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(directory, owner, testMaxSize)
		return s, err
	}
	s, err := open(testOwner)
	if err != nil {
		t.Fatal(err)
	}
	for n := range 200 {
		if err := s.Commit([]Change{{fmt.Sprint("n", n%20), make([]byte, 4000)}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := open(testOwner); !errors.Is(err, ErrLocked) {
		t.Errorf("a second process: %v", err)
	}
	want := contents(s)
	s.Close()
	if s, err = open(testOwner); err != nil || !maps.Equal(contents(s), want) {
		t.Fatalf("recovered: %v", err)
	}
	s.Close()
	if entries, _ := os.ReadDir(path); len(entries) > 5 {
		t.Errorf("%d files are left", len(entries))
	}
	if _, err := open(8); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another driver's directory: %v", err)
	}
	names, _ := filepath.Glob(filepath.Join(path, "state-*"))
	text, _ := os.ReadFile(names[0])
	text[8] = 99
	os.WriteFile(names[0], text, 0o600)
	if _, err := open(testOwner); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("a newer version: %v", err)
	}
	if after, _ := os.ReadFile(names[0]); !bytes.Equal(after, text) {
		t.Error("a file of a newer version was touched")
	}
	if _, err := OpenDirectory(names[0]); err == nil {
		t.Error("a file is opened as a directory")
	}
}

func BenchmarkCommit(b *testing.B) {
	directory, err := OpenDirectory(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(directory, testOwner, testMaxSize)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	for n := 0; b.Loop(); n++ {
		if err := s.Commit([]Change{{fmt.Sprint("session", n%100000), make([]byte, 24)}}); err != nil {
			b.Fatal(err)
		}
	}
}

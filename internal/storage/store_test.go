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
	"passtack/internal/proptest"
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

// The machine crashes at each disk operation in turn. The next start must recover a complete state: that after the last successful
// commit or that after the commit in progress.
func TestCrashAtEveryOperationLeavesACompleteState(t *testing.T) {
	crashes := 0
	for seed := range uint64(3) {
		for operation := 1; ; operation++ {
			disk := newFakeDisk(seed*1000 + uint64(operation))
			disk.crashAt = operation
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
				break // the run has fewer operations
			}
			crashes++
			reopened, report, err := Open(disk.restart(), testOwner, testMaxSize)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, operation, err)
			}
			if got := contents(reopened); !maps.Equal(got, committed) && !maps.Equal(got, attempted) {
				t.Fatalf("seed %d, operation %d: recovered neither the state before nor after the last commit, report %+v", seed, operation, report)
			}
			last := applied(contents(reopened), []Change{{"after", []byte("it")}})
			if err := reopened.Commit([]Change{{"after", []byte("it")}}); err != nil || !maps.Equal(contents(reopened), last) {
				t.Fatalf("seed %d, operation %d: commit after the restart: %v", seed, operation, err)
			}
		}
	}
	if crashes < 200 {
		t.Errorf("only %d crashes were simulated, want at least 200", crashes)
	}
}

// Each disk operation fails once in turn, as on a full or defective disk. Changes that Commit reported as durable must be recovered,
// changes that it reported as failed must not be in the store, and the store must work again once the disk does.
func TestDiskFailuresAreReportedAndRecoveredFrom(t *testing.T) {
	for _, failure := range []error{errFull, errIO} {
		for seed := range uint64(2) {
			for operation := 1; ; operation++ {
				disk := newFakeDisk(seed*1000 + uint64(operation))
				disk.failAt, disk.failure = operation, failure
				s, _, err := Open(disk, testOwner, testMaxSize)
				if err != nil {
					continue // nothing was committed that could be lost
				}
				committed, failed := map[string]string{}, 0
				var attempted map[string]string // set if the last commit failed, whose changes may still be durable
				for n := range 30 {
					changes := randomChanges(pcg.New(seed*100+uint64(n)), n)
					attempted = nil
					if err := s.Commit(changes); err == nil {
						committed = applied(committed, changes)
					} else if failed++; !errors.Is(err, failure) {
						t.Fatalf("operation %d: %v", operation, err)
					} else {
						attempted = applied(committed, changes)
					}
					if got := contents(s); !maps.Equal(got, committed) {
						t.Fatalf("operation %d: the store holds changes of a commit that failed", operation)
					}
				}
				if failed > 1 {
					t.Fatalf("operation %d: %d commits failed, but only one disk operation", operation, failed)
				}
				if disk.operations < operation {
					break
				}
				reopened, _, err := Open(disk.restart(), testOwner, testMaxSize)
				if got := contents(reopened); err != nil || !maps.Equal(got, committed) && (attempted == nil || !maps.Equal(got, attempted)) {
					t.Fatalf("operation %d failed with %v: the recovered state is not the committed one (%v)", operation, failure, err)
				}
			}
		}
	}
}

// Commits to a full disk must fail and leave the last state unchanged; the store must work again once there is space.
func TestTemporarilyFullDisk(t *testing.T) {
	disk := newFakeDisk(1)
	s, _, err := Open(disk, testOwner, testMaxSize)
	if err != nil {
		t.Fatal(err)
	}
	s.Commit([]Change{{"a", []byte("1")}})
	disk.freeBytes = 100
	for range 50 {
		if err := s.Commit([]Change{{"b", make([]byte, 500)}}); !errors.Is(err, errFull) {
			t.Fatalf("commit to a full disk: %v", err)
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
		t.Errorf("commit of a value of 16 MiB: %v", err)
	}
}

// A bit of a file is flipped, or the file is truncated. The recovered state must be one that was committed, or the empty state.
func TestCorruptedFilesAreDetected(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
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
		offset := rapid.IntRange(0, len(file.content)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			file.content = file.content[:offset]
		} else {
			file.content[offset] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		}
		disk.locked = false
		reopened, report, err := Open(disk, testOwner, testMaxSize)
		if errors.Is(err, ErrNewerVersion) || errors.Is(err, ErrWrongOwner) {
			return // the flipped bit is in the version or the owner: no file is changed
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

// The values that a process writes to a real directory must be recovered by the next process of the same owner and refused to others.
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
		t.Errorf("opened by a second process: %v", err)
	}
	want := contents(s)
	s.Close()
	if s, err = open(testOwner); err != nil || !maps.Equal(contents(s), want) {
		t.Fatalf("values differ after reopening: %v", err)
	}
	s.Close()
	if entries, _ := os.ReadDir(path); len(entries) > 5 {
		t.Errorf("%d files are left, want at most 5", len(entries))
	}
	if _, err := open(8); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("directory of another driver: %v", err)
	}
	names, _ := filepath.Glob(filepath.Join(path, "state-*"))
	content, _ := os.ReadFile(names[0])
	content[8] = 99
	os.WriteFile(names[0], content, 0o600)
	if _, err := open(testOwner); !errors.Is(err, ErrNewerVersion) || !strings.Contains(err.Error(), "version 99") {
		t.Errorf("file of a newer version: %v", err)
	}
	if after, _ := os.ReadFile(names[0]); !bytes.Equal(after, content) {
		t.Error("a file of a newer version was changed")
	}
	if _, err := OpenDirectory(names[0]); err == nil {
		t.Error("a file was opened as a directory")
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

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

// draw makes the changes of one commit.
func randomChanges(chance *pcg.Source, n int) (changes []Change) {
	for range 1 + chance.Below(4) {
		c := Change{Name: fmt.Sprint("name", chance.Below(12))}
		if chance.Below(4) > 0 {
			c.Value = bytes.Repeat([]byte{byte(n)}, chance.Below(9000))
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

// The machine goes down at every single operation on the disk, one after the other. What the next start finds is a whole state: that
// of the last commit that was told to be on the disk, or of the one that was under way.
func TestCrashAtEveryOperationLeavesACompleteState(t *testing.T) {
	crashes := 0
	for seed := range uint64(3) {
		for at := 1; ; at++ {
			disk := newFakeDisk(seed*1000 + uint64(at))
			disk.crashAt = at
			told := map[string]string{}
			under := told
			s, _, err := Open(disk, testOwner, testMaxSize)
			for n := 0; err == nil && n < 30; n++ {
				changes := randomChanges(pcg.New(seed*100+uint64(n)), n)
				under = applied(told, changes)
				if err = s.Commit(changes); err == nil {
					if told = under; n%7 == 6 {
						err = s.Compact()
					}
				}
			}
			if !disk.down {
				break // it had nothing more to do
			}
			crashes++
			again, found, err := Open(disk.restart(), testOwner, testMaxSize)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, at, err)
			}
			if got := contents(again); !maps.Equal(got, told) && !maps.Equal(got, under) {
				t.Fatalf("seed %d, operation %d: neither the state before nor after, found %+v", seed, at, found)
			}
			last := applied(contents(again), []Change{{"after", []byte("it")}})
			if err := again.Commit([]Change{{"after", []byte("it")}}); err != nil || !maps.Equal(contents(again), last) {
				t.Fatalf("seed %d, operation %d: after the restart %v", seed, at, err)
			}
		}
	}
	if crashes < 200 {
		t.Errorf("%d crashes only", crashes)
	}
}

// Each operation fails once, as a full disk or a broken one does. What was told to be kept still is, what was told not to be is not,
// and once the disk works again the store does.
func TestDiskFailuresAreReportedAndRecoveredFrom(t *testing.T) {
	for _, failure := range []error{errFull, errIO} {
		for seed := range uint64(2) {
			for at := 1; ; at++ {
				disk := newFakeDisk(seed*1000 + uint64(at))
				disk.failAt, disk.failure = at, failure
				s, _, err := Open(disk, testOwner, testMaxSize)
				if err != nil {
					continue // nothing was opened, and nothing is lost
				}
				told, failed := map[string]string{}, 0
				var under map[string]string // of the last commit, where that failed: it may have reached the disk all the same
				for n := range 30 {
					changes := randomChanges(pcg.New(seed*100+uint64(n)), n)
					under = nil
					if err := s.Commit(changes); err == nil {
						told = applied(told, changes)
					} else if failed++; !errors.Is(err, failure) {
						t.Fatalf("operation %d: %v", at, err)
					} else {
						under = applied(told, changes)
					}
					if got := contents(s); !maps.Equal(got, told) {
						t.Fatalf("operation %d: the store holds what it said is not kept", at)
					}
				}
				if failed > 1 {
					t.Fatalf("operation %d: %d commits failed though the disk failed once", at, failed)
				}
				if disk.operations < at {
					break
				}
				again, _, err := Open(disk.restart(), testOwner, testMaxSize)
				if got := contents(again); err != nil || !maps.Equal(got, told) && (under == nil || !maps.Equal(got, under)) {
					t.Fatalf("operation %d fails with %v: after a restart the state is another (%v)", at, failure, err)
				}
			}
		}
	}
}

// A disk that stays full keeps the last state; once it has room again so does the store.
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
	again, _, err := Open(disk.restart(), testOwner, testMaxSize)
	if err != nil || !maps.Equal(contents(again), map[string]string{"a": "1", "c": "3"}) {
		t.Errorf("%v, %v", contents(again), err)
	}
	if err := s.Commit([]Change{{"d", make([]byte, 16<<20)}}); !errors.Is(err, ErrTooLarge) {
		t.Errorf("16 MiB at once: %v", err)
	}
}

// Any byte of any file may be flipped, and any file cut short: what is read is a state that once was whole, or none.
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
		sheet := disk.files[name]
		at := rapid.IntRange(0, len(sheet.content)-1).Draw(t, "at")
		if rapid.Bool().Draw(t, "cut") {
			sheet.content = sheet.content[:at]
		} else {
			sheet.content[at] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
		}
		disk.locked = false
		again, found, err := Open(disk, testOwner, testMaxSize)
		if errors.Is(err, ErrNewerVersion) || errors.Is(err, ErrWrongOwner) {
			return // a version or an owner that was spoilt: nothing is touched
		}
		if err != nil {
			t.Fatal(err)
		}
		got := contents(again)
		for _, state := range states {
			if maps.Equal(got, state) {
				return
			}
		}
		t.Fatalf("the state found never was: %+v", found)
	})
}

func (p *fakeDisk) randomSeed() uint64 { return uint64(p.random.Uint32()) }

// What is written on a real folder is found again by the next process, and refused to others.
func TestRealDirectory(t *testing.T) {
	path := t.TempDir()
	open := func(owner uint64) (*Store, error) {
		folder, err := OpenDirectory(path)
		if err != nil {
			t.Fatal(err)
		}
		s, _, err := Open(folder, owner, testMaxSize)
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
		t.Fatalf("found again: %v", err)
	}
	s.Close()
	if entries, _ := os.ReadDir(path); len(entries) > 5 {
		t.Errorf("%d files are left", len(entries))
	}
	if _, err := open(8); !errors.Is(err, ErrWrongOwner) {
		t.Errorf("another driver's folder: %v", err)
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
		t.Error("a file is taken for a folder")
	}
}

func BenchmarkCommit(b *testing.B) {
	folder, err := OpenDirectory(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(folder, testOwner, testMaxSize)
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

package state

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/driver"
	"passtack/internal/keep"
	"passtack/internal/seeded"
)

const ms = time.Millisecond

func open(t interface {
	TempDir() string
	Fatal(...any)
}, path string) *keep.Store {
	s, _, err := Open(path, "n0", 32<<20)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What is learned, forgotten and learned again is recalled as it was when it was last told to be saved; failed commits and those that
// come late change nothing of that.
func TestWhatIsSavedIsRecalled(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		path := t.TempDir()
		s := open(t, path)
		v := NewSaver(s, 100*ms, 0)
		members, sessions := make(map[string]driver.Known), make(map[driver.Session]time.Duration)
		savedMembers, savedSessions := maps.Clone(members), maps.Clone(sessions)
		now, savedAt := time.Hour, time.Duration(0)
		learned := func(member func(string, driver.Known), session func(driver.Session, time.Duration)) {
			for uid, k := range members {
				member(uid, k)
			}
			for who, commit := range sessions {
				session(who, commit)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(50, 2000).Draw(rt, "ms")) * ms
			uid, who := fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(rt, "member")), driver.Session(rapid.IntRange(1, 5).Draw(rt, "session"))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				members[uid] = driver.Known{Position: now, Replica: now - time.Second, Timed: now - 10*ms, Ratio: 1.5}
			case 1:
				delete(members, uid)
			case 2:
				sessions[who] = now
			case 3:
				delete(sessions, who)
			}
			changes := v.Collect(now, learned)
			if changes == nil {
				continue
			}
			if again := v.Collect(now+time.Hour, learned); again != nil {
				rt.Fatal("two commits are out at once")
			}
			if rapid.IntRange(0, 3).Draw(rt, "fate") == 0 {
				v.Committed(now, errors.New("the disk is full"))
				continue
			}
			err := s.Commit(changes)
			if v.Committed(now, err); err != nil {
				rt.Fatal(err)
			}
			savedMembers, savedSessions, savedAt = maps.Clone(members), maps.Clone(sessions), now
		}
		s.Close()
		s = open(t, path)
		defer s.Close()
		r := Read(s)
		if !maps.Equal(r.Sessions, savedSessions) || r.Saved != savedAt || len(r.Members) != len(savedMembers) {
			rt.Fatalf("recalled %+v, saved %+v and %+v at %v", r, savedMembers, savedSessions, savedAt)
		}
		for uid, k := range savedMembers { // what moves on all the time is saved when it has moved on a little
			if got := r.Members[uid]; got.Ratio != k.Ratio || k.Position-got.Position > still || got.Position > k.Position {
				rt.Fatalf("%s: %+v, saved %+v", uid, got, k)
			}
		}
	})
}

// A disk that fails is asked less and less often, and as often as before once it works.
func TestFailuresAreTriedAgainMoreSeldom(t *testing.T) {
	s := open(t, t.TempDir())
	defer s.Close()
	v := NewSaver(s, 100*ms, 0)
	learned := func(member func(string, driver.Known), _ func(driver.Session, time.Duration)) {
		member("s-1", driver.Known{Ratio: 1})
	}
	tries := 0
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * ms {
		if v.Collect(now, learned) != nil {
			tries++
			v.Committed(now, errors.New("no"))
		}
	}
	if tries < 10 || tries > 25 {
		t.Errorf("%d tries in ten minutes", tries)
	}
	now := 11 * time.Minute
	if v.Collect(now, learned) == nil {
		t.Fatal("it does not try again")
	}
	v.Committed(now, nil)
	if v.Collect(now+200*ms, learned) != nil {
		t.Error("what has not changed is written again")
	}
}

// A folder of another driver, one that is not there, and values of another form.
func TestFoldersThatCannotBeUsed(t *testing.T) {
	path := t.TempDir()
	s := open(t, path)
	if err := s.Commit([]keep.Change{{Name: memberPrefix + "s-1", Value: []byte("short")}, {Name: sessionPrefix + "zz", Value: make([]byte, 8)},
		{Name: sessionPrefix + "5", Value: make([]byte, 8)}, {Name: "other", Value: []byte{}}}); err != nil {
		t.Fatal(err)
	}
	if r := Read(s); len(r.Members) != 0 || len(r.Sessions) != 1 {
		t.Errorf("%+v", r)
	}
	s.Close()
	if _, _, err := Open(path, "n1", 1<<20); !errors.Is(err, keep.ErrOwner) {
		t.Errorf("another driver's folder: %v", err)
	}
	if _, _, err := Open(path+"/none", "n0", 1<<20); err == nil {
		t.Error("a folder that is not there is opened")
	}
}

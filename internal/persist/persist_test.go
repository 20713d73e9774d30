package persist

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/driver"
	"passtack/internal/proptest"
	"passtack/internal/storage"
)

const ms = time.Millisecond

func openStore(t *testing.T, path string) *storage.Store {
	s, _, err := Open(path, "n0", 32<<20)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// testState is the learned state that a test expects.
type testState struct {
	members   map[string]driver.MemberSnapshot
	sessions  map[driver.Session]time.Duration
	endpoints map[string]string
	requests  map[uint64]string
}

func (k testState) copy() testState {
	return testState{maps.Clone(k.members), maps.Clone(k.sessions), maps.Clone(k.endpoints), maps.Clone(k.requests)}
}

// saveRound runs one round of the saver over all members and returns the changes to commit.
func (k testState) saveRound(v *Saver, now time.Duration) []storage.Change {
	v.BeginRound()
	for uid, member := range k.members {
		v.SaveMember(uid, member)
	}
	return v.FinishRound(now)
}

// Values are set and deleted in random order, also during commits, and some commits fail. The state as of the last successful commit
// must be restored, including the changes of failed commits before it.
func TestSavedStateIsRestored(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		path := t.TempDir()
		s := openStore(t, path)
		v := NewSaver(s, 32<<20)
		current := testState{make(map[string]driver.MemberSnapshot), make(map[driver.Session]time.Duration), make(map[string]string), make(map[uint64]string)}
		saved, rev := current.copy(), int64(0)
		now, savedAt := time.Hour, time.Duration(0)
		change := func() {
			uid, session := fmt.Sprint("s-", rapid.IntRange(0, 5).Draw(rt, "member")), driver.Session(rapid.IntRange(1, 5).Draw(rt, "session"))
			switch rapid.IntRange(0, 4).Draw(rt, "kind of change") {
			case 0:
				current.members[uid] = driver.MemberSnapshot{Position: now, Replica: now - time.Second, Timed: now - 10*ms, Ratio: 1.5}
			case 1:
				delete(current.members, uid)
			case 2:
				current.sessions[session] = now
				v.SessionWrote(session, now)
			case 3:
				entry := fmt.Sprintf(`{"uid":%q,"rev":%d}`, uid, rev)
				rev++
				if current.endpoints[uid] = entry; rapid.Bool().Draw(rt, "deleted") {
					delete(current.endpoints, uid)
					v.SetEndpoint(uid, nil)
				} else {
					v.SetEndpoint(uid, []byte(entry))
				}
				v.SetListVersion(ListVersion{Revision: rev, Discovery: netip.MustParseAddrPort("127.0.0.1:1")})
			case 4:
				key := uint64(rapid.IntRange(0, 3).Draw(rt, "key"))
				if current.requests[key] = fmt.Sprint("answer ", now); rapid.Bool().Draw(rt, "deleted") {
					delete(current.requests, key)
					v.SetRequest("offices", key, nil)
				} else {
					v.SetRequest("offices", key, []byte(current.requests[key]))
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(50, 2000).Draw(rt, "ms")) * ms
			change()
			changes := current.saveRound(v, now)
			if changes == nil {
				continue
			}
			inCommit := current.copy()
			if rapid.Bool().Draw(rt, "change during the commit") {
				change()
			}
			if rapid.IntRange(0, 3).Draw(rt, "result of the commit") == 0 {
				v.Committed(errors.New("the disk is full"))
				continue
			}
			err := s.Commit(changes)
			if v.Committed(err); err != nil {
				rt.Fatal(err)
			}
			saved, savedAt = inCommit, now
		}
		s.Close()
		s = openStore(t, path)
		defer s.Close()
		r := Restore(s)
		if !maps.Equal(sessionWrites(s), saved.sessions) || r.SavedAt != savedAt || len(r.Members) != len(saved.members) {
			rt.Fatalf("restored %+v, saved %+v at %v", r, saved, savedAt)
		}
		for uid, k := range saved.members { // positions and times are saved only if they have advanced by minProgress
			if got := r.Members[uid]; got.Ratio != k.Ratio || k.Position-got.Position > minProgress || got.Position > k.Position {
				rt.Fatalf("%s: %+v, saved %+v", uid, got, k)
			}
		}
		entries, answers := slices.Sorted(maps.Values(saved.endpoints)), slices.Sorted(maps.Values(saved.requests))
		if got := sortedTexts(r.Endpoints); !slices.Equal(got, entries) {
			rt.Fatalf("endpoints %q, saved %q", got, entries)
		}
		if got := sortedTexts(r.Requests["offices"]); !slices.Equal(got, answers) {
			rt.Fatalf("requests %q, saved %q", got, answers)
		}
	})
}

// sessionWrites returns the latest write of each session.
func sessionWrites(s *storage.Store) map[driver.Session]time.Duration {
	all := make(map[driver.Session]time.Duration)
	ForEachSessionWrite(s, func(session driver.Session, writtenAt time.Duration) { all[session] = max(all[session], writtenAt) })
	return all
}

func sortedTexts(all [][]byte) (out []string) {
	for _, text := range all {
		out = append(out, string(text))
	}
	slices.Sort(out)
	return out
}

// The writes of many sessions must stay within their share of the maximum size, and the newest must be kept. Expired batches must be
// deleted, and so must batches with a time in the future, which remain after the clock was set back.
func TestSessionWritesStayWithinTheirShare(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	const maxSize = 64 << 10
	v, now := NewSaver(s, maxSize), time.Hour
	step := func(sessions int) {
		now += time.Second
		for n := range sessions {
			v.SessionWrote(driver.Session(n+1), now)
		}
		if changes := (testState{}).saveRound(v, now); changes != nil {
			v.Committed(s.Commit(changes))
		}
	}
	for range 100 {
		step(50) // 800 bytes each: twenty seconds fill a quarter of the maximum size
	}
	r, bytes := Restore(s), 0
	s.ForEach(func(name string, value []byte) { bytes += len(value) })
	if bytes > maxSize/4+1000 || len(sessionWrites(s)) != 50 || sessionWrites(s)[7] != now || v.Dropped() == 0 {
		t.Errorf("%d bytes, %d session writes, the latest %v before now", bytes, r.SessionWrites, now-sessionWrites(s)[7])
	}
	now += sessionRetention
	step(0)
	if r := Restore(s); r.SessionWrites != 0 {
		t.Errorf("%d expired session writes are kept", r.SessionWrites)
	}
	step(1)
	now -= time.Hour
	step(0)
	if r := Restore(s); r.SessionWrites != 0 {
		t.Error("a session write with a time in the future is kept")
	}
}

// Sessions that an earlier version stored under names of their own must be restored, and must be moved to a batch by the first commit.
func TestLegacySessionsAreMigrated(t *testing.T) {
	path := t.TempDir()
	s := openStore(t, path)
	k := driver.MemberSnapshot{Position: time.Hour, Replica: time.Hour, Timed: time.Hour, Ratio: 1}
	if err := s.Commit([]storage.Change{{Name: "session/a", Value: appendDuration(nil, time.Hour)}, {Name: "member/s-1", Value: encodeMember(k)},
		{Name: "saved", Value: appendDuration(nil, time.Hour)}}); err != nil {
		t.Fatal(err)
	}
	r, v := Restore(s), NewSaver(s, 1<<20)
	if sessionWrites(s)[10] != time.Hour || r.Members["s-1"] != k || r.SavedAt != time.Hour || r.EndpointList() != nil {
		t.Fatalf("%+v", r)
	}
	v.BeginRound()
	v.KeepMember("s-1")
	v.Committed(s.Commit(v.FinishRound(time.Hour + time.Second)))
	var names []string
	s.ForEach(func(name string, _ []byte) { names = append(names, strings.Split(name, "/")[0]) })
	if again := Restore(s); sessionWrites(s)[10] != time.Hour || again.Members["s-1"] != k || !slices.Equal(names, []string{"member", "saved", "written"}) {
		t.Errorf("restored %+v from values with the prefixes %v", again, names)
	}
	s.Close()
}

// Prune must delete the values that have not changed for longer than the maximum age, and no others.
func TestPrune(t *testing.T) {
	path := t.TempDir()
	s := openStore(t, path)
	v := NewSaver(s, 1<<20)
	now := 100 * time.Hour
	v.SessionWrote(1, now)
	v.BeginRound()
	v.SaveMember("old", driver.MemberSnapshot{Position: now - 30*time.Hour, Replica: driver.LongAgo, Timed: now - 30*time.Hour, Ratio: 1})
	v.SaveMember("new", driver.MemberSnapshot{Position: now, Replica: driver.LongAgo, Timed: now - 30*time.Hour, Ratio: 1})
	v.Committed(s.Commit(v.FinishRound(now)))
	if _, err := Prune(path, Owner("n0"), 24*time.Hour, now, 1<<20); !errors.Is(err, storage.ErrLocked) {
		t.Errorf("a directory that a driver has locked: %v", err)
	}
	s.Close()
	if result, err := Prune(path, Owner("n0"), 24*time.Hour, now, 1<<20); err != nil || result.SizeAfter >= result.SizeBefore {
		t.Errorf("%+v, %v", result, err)
	}
	s = openStore(t, path)
	defer s.Close()
	if r := Restore(s); len(r.Members) != 1 || r.Members["new"].Position != now || r.SessionWrites != 1 {
		t.Errorf("%+v", r)
	}
}

// Missing directories and those of another driver must be refused, and values that cannot be decoded must be skipped.
func TestUnusableDirectories(t *testing.T) {
	path := t.TempDir()
	s := openStore(t, path)
	if err := s.Commit([]storage.Change{{Name: memberPrefix + "s-1", Value: []byte("short")}, {Name: legacySessionPrefix + "zz", Value: make([]byte, 8)},
		{Name: legacySessionPrefix + "5", Value: make([]byte, 8)}, {Name: "other", Value: []byte{}}}); err != nil {
		t.Fatal(err)
	}
	if r := Restore(s); len(r.Members) != 0 || r.SessionWrites != 1 {
		t.Errorf("%+v", r)
	}
	s.Close()
	if _, _, err := Open(path, "n1", 1<<20); !errors.Is(err, storage.ErrWrongOwner) {
		t.Errorf("directory of another driver: %v", err)
	}
	if _, _, err := Open(path+"/none", "n0", 1<<20); err == nil {
		t.Error("a missing directory was opened")
	}
}

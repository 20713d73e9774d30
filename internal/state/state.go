// Package state keeps what a driver has learned in a folder, so that its next life need not begin with nothing. What is saved
// are values by name; a Saver decides what has to be written and when, and lets a worker write it. What is recalled is for the
// module to judge.
package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/keep"
)

// Names of what is kept: a member by its uid, a session by its number, and when all of it was saved.
const (
	memberPrefix  = "member/"
	sessionPrefix = "session/"
	savedName     = "saved"
)

// Owner is the number under which a driver owns its folder.
func Owner(driver string) uint64 { return xxh3.HashString(driver) }

func appendSpan(out []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(out, uint64(d))
}

func memberValue(k driver.Known) []byte {
	out := appendSpan(appendSpan(appendSpan(make([]byte, 0, 32), k.Position), k.Replica), k.Timed)
	return binary.LittleEndian.AppendUint64(out, math.Float64bits(k.Ratio))
}

func span(in []byte, n int) time.Duration { return time.Duration(binary.LittleEndian.Uint64(in[8*n:])) }

func memberOf(in []byte) (k driver.Known, ok bool) {
	if len(in) != 32 {
		return k, false
	}
	k = driver.Known{Position: span(in, 0), Replica: span(in, 1), Timed: span(in, 2), Ratio: math.Float64frombits(binary.LittleEndian.Uint64(in[24:]))}
	return k, k.Ratio > 0 && !math.IsInf(k.Ratio, 0)
}

// Recalled is what an earlier life of a driver saved.
type Recalled struct {
	Saved    time.Duration // when
	Members  map[string]driver.Known
	Sessions map[driver.Session]time.Duration // the commits of their latest writes
}

// Read gives what a store holds. What cannot be read is left out: it was written by this program, so it is of another form.
func Read(s *keep.Store) *Recalled {
	r := &Recalled{Members: make(map[string]driver.Known), Sessions: make(map[driver.Session]time.Duration)}
	s.Each(func(name string, value []byte) {
		if uid, ok := strings.CutPrefix(name, memberPrefix); ok {
			if k, ok := memberOf(value); ok {
				r.Members[uid] = k
			}
		} else if number, ok := strings.CutPrefix(name, sessionPrefix); ok {
			if who, err := strconv.ParseUint(number, 16, 64); err == nil && len(value) == 8 {
				r.Sessions[driver.Session(who)] = span(value, 0)
			}
		} else if name == savedName && len(value) == 8 {
			r.Saved = span(value, 0)
		}
	})
	return r
}

const (
	leastOften = time.Minute            // between tries to save that fail
	each       = 50 * time.Microsecond  // for each value between two commits: looking at one takes about a hundredth of that
	mostAtOnce = 8 << 20                // bytes of one commit
	still      = 500 * time.Millisecond // by which a position or a time may have moved on unsaved
)

// Learned gives all that is known now.
type Learned func(member func(uid string, k driver.Known), session func(driver.Session, time.Duration))

// Saver decides what of a driver's knowledge is written when. One commit is out at a time.
type Saver struct {
	every   time.Duration
	kept    map[string][]byte // as it is on the disk
	out     []keep.Change     // what is being written; nil: nothing
	due     time.Duration
	failed  int             // times in a row
	visited map[string]bool // what is known, as of the latest look
}

// NewSaver begins with what the store holds.
func NewSaver(s *keep.Store, every, now time.Duration) *Saver {
	v := &Saver{every: every, kept: make(map[string][]byte), due: now + every}
	s.Each(func(name string, value []byte) { v.kept[name] = value })
	return v
}

// Collect gives the changes to commit; none where it is not time yet, or one is out. It is less often time the more there is.
func (v *Saver) Collect(now time.Duration, learned Learned) []keep.Change {
	if now < v.due {
		return nil
	}
	return v.Rest(now, learned)
}

// Rest is Collect at whatever time, as before the end.
func (v *Saver) Rest(now time.Duration, learned Learned) []keep.Change {
	if v.out != nil {
		return nil
	}
	v.visited = make(map[string]bool, len(v.kept))
	var changes []keep.Change
	bytes := 0
	put := func(name string, value []byte, moved func(old []byte) bool) {
		v.visited[name] = true
		if old, known := v.kept[name]; (!known || moved(old)) && bytes < mostAtOnce {
			changes = append(changes, keep.Change{Name: name, Value: value})
			bytes += len(name) + len(value)
		}
	}
	learned(func(uid string, k driver.Known) {
		put(memberPrefix+uid, memberValue(k), func(old []byte) bool {
			was, ok := memberOf(old)
			return !ok || k.Position-was.Position > still || k.Replica-was.Replica > still || k.Timed-was.Timed > still
		})
	}, func(who driver.Session, commit time.Duration) {
		put(sessionPrefix+strconv.FormatUint(uint64(who), 16), appendSpan(nil, commit), func(old []byte) bool { return len(old) != 8 || span(old, 0) != commit })
	})
	var gone []string
	for name := range v.kept {
		if !v.visited[name] && name != savedName {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	for _, name := range gone {
		changes = append(changes, keep.Change{Name: name})
	}
	if v.due = now + max(v.every, time.Duration(len(v.visited))*each); len(changes) == 0 {
		return nil
	}
	v.out = append(changes, keep.Change{Name: savedName, Value: appendSpan(nil, now)})
	return v.out
}

// Committed tells how the commit that is out ended. After failures it is tried less and less often; the state is as it was.
func (v *Saver) Committed(now time.Duration, err error) {
	if err != nil {
		v.failed++
		v.due = now + min(v.every<<min(v.failed, 10), leastOften)
		v.out = nil
		return
	}
	v.failed = 0
	for _, c := range v.out {
		if c.Value == nil {
			delete(v.kept, c.Name)
		} else {
			v.kept[c.Name] = c.Value
		}
	}
	v.out = nil
}

// Open takes a driver's folder and reads it. Why it cannot be used is told in one line; the driver then goes on without.
func Open(path, name string, most int) (*keep.Store, keep.Found, error) {
	folder, err := keep.OpenFolder(path)
	if err != nil {
		return nil, keep.Found{}, fmt.Errorf("state folder: %w", err)
	}
	s, found, err := keep.Open(folder, Owner(name), most)
	if errors.Is(err, keep.ErrOwner) {
		err = fmt.Errorf("%w, this one is %q", err, name)
	}
	return s, found, err
}

// Package state keeps what a driver has learned in a folder, so that its next life need not begin with nothing. What is saved
// are values by name; a Saver decides what has to be written and when, and lets a worker write it. What is recalled is for the
// module to judge.
package state

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/keep"
	"passtack/internal/lease"
)

// Names of what is kept: a member by its uid; the latest writes of sessions, in batches by the time of their commit; entries of the list
// by uid, and what list they are of; repeatable requests by front and a digest of their key; and when all of it was saved.
const (
	memberPrefix  = "member/"
	writtenPrefix = "written/"
	listPrefix    = "list/"
	listedName    = "listed"
	repeatPrefix  = "repeat/"
	usualName     = "usual" // the methods' usual latencies
	savedName     = "saved"
	sessionPrefix = "session/" // a session's write by its number, as versions up to 0.3 kept it
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
	Sessions int             // writes of them, of which some are of one session
	Usual    []time.Duration // latencies, by method
	Listed   Listed
	Entries  [][]byte            // of the list, as JSON
	Repeats  map[string][][]byte // by front
}

// Listed tells which list entries are of.
type Listed struct {
	Rev       int64
	Discovery netip.AddrPort
}

// List is the recalled list as discovery would tell it; nil where none was kept.
func (r *Recalled) List() []byte {
	if r.Listed.Rev == 0 {
		return nil
	}
	entries := make([]json.RawMessage, len(r.Entries))
	for i, e := range r.Entries {
		entries[i] = e
	}
	body, err := json.Marshal(map[string]any{"rev": r.Listed.Rev, "all": true, "targets": entries})
	if err != nil {
		return nil
	}
	return body
}

// Read gives what a store holds. What cannot be read is left out: it was written by this program, so it is of another form.
func Read(s *keep.Store) *Recalled {
	r := &Recalled{Members: make(map[string]driver.Known), Repeats: make(map[string][][]byte)}
	EachWrite(s, func(driver.Session, time.Duration) { r.Sessions++ })
	s.Each(func(name string, value []byte) {
		kind, rest, _ := strings.Cut(name, "/")
		switch kind + "/" {
		case memberPrefix:
			if k, ok := memberOf(value); ok {
				r.Members[rest] = k
			}
		case listPrefix:
			if json.Valid(value) {
				r.Entries = append(r.Entries, value)
			}
		case repeatPrefix:
			front, _, _ := strings.Cut(rest, "/")
			r.Repeats[front] = append(r.Repeats[front], value)
		case usualName + "/":
			for at := 0; at+8 <= len(value); at += 8 {
				r.Usual = append(r.Usual, span(value[at:], 0))
			}
		case savedName + "/":
			if len(value) == 8 {
				r.Saved = span(value, 0)
			}
		case listedName + "/":
			if len(value) > 8 {
				r.Listed.Rev = int64(span(value, 0))
				r.Listed.Discovery, _ = netip.ParseAddrPort(string(value[8:]))
			}
		}
	})
	return r
}

// EachWrite gives the writes of sessions that a store holds. A session may come more than once; its latest write counts.
func EachWrite(s *keep.Store, wrote func(driver.Session, time.Duration)) {
	s.Each(func(name string, value []byte) {
		if strings.HasPrefix(name, writtenPrefix) {
			for at := 0; at+16 <= len(value); at += 16 {
				wrote(driver.Session(span(value[at:], 0)), span(value[at:], 1))
			}
		} else if number, ok := strings.CutPrefix(name, sessionPrefix); ok {
			if who, err := strconv.ParseUint(number, 16, 64); err == nil && len(value) == 8 {
				wrote(driver.Session(who), span(value, 0))
			}
		}
	})
}

const (
	still      = 500 * time.Millisecond // by which a position or a time may have moved on unsaved
	mostAtOnce = 8 << 20                // bytes of one commit
	mostTold   = 2000                   // changes of a commit, with which more of the list is taken in: a turn is not to grow long
	forgets    = 10 * time.Minute       // writes of sessions are kept for longer than anybody asks for them
	mostWrites = 200_000                // of sessions between two commits
	part       = 4                      // a quarter of the room is for sessions' writes, as much for answers to repeats
)

// piece is what is on the disk under a name.
type piece struct {
	value []byte
	round uint32 // in which its member was last known
}

// Saver decides what of a driver's knowledge is written. Members are looked at in rounds, from Begin to Finish; the rest is told as it
// changes. One commit is out at a time, and what changes meanwhile goes with the next.
type Saver struct {
	most    int // bytes that a state may take
	kept    map[string]piece
	round   uint32
	out     []keep.Change // what is being written; nil: nothing
	changes []keep.Change // of the members, in this round
	bytes   int           // of those
	told    map[string][]byte
	written map[driver.Session]time.Duration // not yet in a commit
	writing map[driver.Session]time.Duration // in the one that is out
	batches []batch                          // of sessions' writes on the disk, the oldest first
	answers int                              // bytes of answers to repeats on the disk and told
	dropped int
}

type batch struct {
	at   time.Duration
	size int
}

// NewSaver begins with what the store holds; a state may take so many bytes.
func NewSaver(s *keep.Store, most int) *Saver {
	v := &Saver{most: most, kept: make(map[string]piece), told: make(map[string][]byte), written: make(map[driver.Session]time.Duration)}
	s.Each(func(name string, value []byte) {
		v.kept[name] = piece{value: value}
		if at, err := strconv.ParseUint(strings.TrimPrefix(name, writtenPrefix), 16, 64); err == nil && strings.HasPrefix(name, writtenPrefix) {
			v.batches = append(v.batches, batch{time.Duration(at), len(value)})
		} else if strings.HasPrefix(name, sessionPrefix) { // of an older version: kept in the newer form from the first commit on
			v.told[name] = nil
			if who, err := strconv.ParseUint(name[len(sessionPrefix):], 16, 64); err == nil && len(value) == 8 {
				v.written[driver.Session(who)] = span(value, 0)
			}
		} else if strings.HasPrefix(name, repeatPrefix) {
			v.answers += len(value)
		}
	})
	return v
}

// Wrote tells of a session's latest write.
func (v *Saver) Wrote(who driver.Session, commit time.Duration) {
	if _, known := v.written[who]; !known && len(v.written) >= mostWrites {
		v.dropped++
		return
	}
	v.written[who] = commit
}

// List tells an entry of the list, as JSON; nil: it is no longer there. Whose list it is comes with Of.
func (v *Saver) List(uid string, entry []byte) { v.tell(listPrefix+uid, entry) }

// Of tells which list the entries are of from now on.
func (v *Saver) Of(l Listed) {
	v.tell(listedName, append(appendSpan(nil, time.Duration(l.Rev)), l.Discovery.String()...))
}

// Repeat tells what is to be known of a repeatable request; nil: nothing any more.
func (v *Saver) Repeat(front string, key uint64, value []byte) {
	name := repeatPrefix + front + "/" + strconv.FormatUint(key, 16)
	old, told := v.told[name]
	if !told {
		old = v.kept[name].value
	}
	if more := len(value) - len(old); more > 0 && v.answers+more > v.most/part {
		v.dropped++
		return
	}
	v.answers += len(value) - len(old)
	v.tell(name, value)
}

func (v *Saver) tell(name string, value []byte) {
	old, known := v.kept[name]
	if _, waits := v.told[name]; !waits && (value == nil && !known || known && value != nil && string(old.value) == string(value)) && v.out == nil {
		return
	}
	v.told[name] = value
}

// Dropped counts what was told and had no room.
func (v *Saver) Dropped() int { return v.dropped }

// Out tells whether a commit is out.
func (v *Saver) Out() bool { return v.out != nil }

// Begin begins a round over all members.
func (v *Saver) Begin() {
	v.round++
	v.changes, v.bytes = nil, 0
}

// Member tells what is known of a member.
func (v *Saver) Member(uid string, k driver.Known) {
	name := memberPrefix + uid
	old, known := v.kept[name]
	if known {
		old.round = v.round
		v.kept[name] = old
		was, ok := memberOf(old.value)
		if ok && k.Position-was.Position <= still && k.Replica-was.Replica <= still && k.Timed-was.Timed <= still {
			return
		}
	}
	if v.bytes < mostAtOnce {
		v.change(name, memberValue(k))
	}
}

// Keep lets what is on the disk of a member stand, which is not known yet in this life.
func (v *Saver) Keep(uid string) {
	if old, known := v.kept[memberPrefix+uid]; known {
		old.round = v.round
		v.kept[memberPrefix+uid] = old
	}
}

func (v *Saver) change(name string, value []byte) {
	v.changes = append(v.changes, keep.Change{Name: name, Value: value})
	v.bytes += len(name) + len(value)
}

// Usual tells the methods' usual latencies. They are written once one has moved by a tenth.
func (v *Saver) Usual(all []time.Duration) {
	old, value, moved := v.kept[usualName].value, []byte(nil), false
	for i, d := range all {
		value = appendSpan(value, d)
		moved = moved || len(old) != 8*len(all) || (span(old, i)-d).Abs() > d/10
	}
	if moved {
		v.change(usualName, value)
	}
}

// Finish ends a round and gives the changes to commit; none where nothing has changed.
func (v *Saver) Finish(now time.Duration) []keep.Change {
	for name, p := range v.kept {
		if p.round != v.round && strings.HasPrefix(name, memberPrefix) {
			v.change(name, nil)
		}
	}
	for name, value := range v.told {
		if v.bytes >= mostAtOnce || len(v.changes) >= mostTold {
			break
		}
		v.change(name, value)
		delete(v.told, name)
	}
	if v.writing = nil; len(v.written) > 0 {
		v.batch(now)
	}
	for _, b := range v.batches {
		if now-b.at > forgets || b.at > now+forgets { // or the clock went back
			v.change(batchName(b.at), nil)
		}
	}
	if len(v.changes) == 0 {
		return nil
	}
	slices.SortFunc(v.changes, func(a, b keep.Change) int { return strings.Compare(a.Name, b.Name) })
	v.out = append(v.changes, keep.Change{Name: savedName, Value: appendSpan(nil, now)})
	v.changes = nil
	return v.out
}

func batchName(at time.Duration) string { return fmt.Sprintf("%s%016x", writtenPrefix, uint64(at)) }

// batch writes what sessions have written since the latest one. Where there is no room the oldest batches go.
func (v *Saver) batch(now time.Duration) {
	value := make([]byte, 0, 16*len(v.written))
	for _, who := range slices.Sorted(func(yield func(driver.Session) bool) {
		for who := range v.written {
			if !yield(who) {
				return
			}
		}
	}) {
		value = appendSpan(appendSpan(value, time.Duration(who)), v.written[who])
	}
	size := len(value)
	for i := len(v.batches) - 1; i >= 0; i-- {
		if size += v.batches[i].size; size > v.most/part {
			v.change(batchName(v.batches[i].at), nil)
			v.dropped++
		}
	}
	v.change(batchName(now), value)
	v.writing, v.written = v.written, make(map[driver.Session]time.Duration)
}

// Committed tells how the commit that is out ended. What failed to be written is to be written by the next.
func (v *Saver) Committed(err error) {
	out := v.out
	v.out = nil
	if err != nil {
		for who, commit := range v.writing {
			if _, newer := v.written[who]; !newer {
				v.Wrote(who, commit)
			}
		}
		for _, c := range out {
			if _, newer := v.told[c.Name]; !newer && (strings.HasPrefix(c.Name, listPrefix) || strings.HasPrefix(c.Name, repeatPrefix) ||
				strings.HasPrefix(c.Name, sessionPrefix) || c.Name == listedName) {
				v.told[c.Name] = c.Value
			}
		}
		v.writing = nil
		return
	}
	v.writing = nil
	for _, c := range out {
		at, err := strconv.ParseUint(strings.TrimPrefix(c.Name, writtenPrefix), 16, 64)
		isBatch := err == nil && strings.HasPrefix(c.Name, writtenPrefix)
		if c.Value == nil {
			delete(v.kept, c.Name)
			if isBatch {
				v.batches = slices.DeleteFunc(v.batches, func(b batch) bool { return b.at == time.Duration(at) })
			}
			continue
		}
		v.kept[c.Name] = piece{value: c.Value, round: v.round}
		if isBatch {
			v.batches = append(v.batches, batch{time.Duration(at), len(c.Value)})
		}
	}
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

// Prune writes a folder anew without what is older than that, and gives what it took and takes.
func Prune(path string, owner uint64, older, now time.Duration, most int) (before, after int, err error) {
	folder, err := keep.OpenFolder(path)
	if err != nil {
		return 0, 0, err
	}
	s, _, err := keep.Open(folder, owner, most)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	before = s.Size()
	var gone []keep.Change
	s.Each(func(name string, value []byte) {
		at := now
		if k, ok := memberOf(value); ok && strings.HasPrefix(name, memberPrefix) {
			at = max(k.Position, k.Replica, k.Timed)
		} else if n, err := strconv.ParseUint(strings.TrimPrefix(name, writtenPrefix), 16, 64); err == nil && strings.HasPrefix(name, writtenPrefix) {
			at = time.Duration(n)
		} else if strings.HasPrefix(name, sessionPrefix) && len(value) == 8 {
			at = span(value, 0)
		}
		if now-at > older {
			gone = append(gone, keep.Change{Name: name})
		}
	})
	if err = s.Commit(gone); err == nil {
		err = s.Compact()
	}
	return before, s.Size(), err
}

// promisePrefix stands before the name of a lease, in a folder of promises.
const promisePrefix = "promise/"

// PromiseOf is the change that keeps a promise about a lease.
func PromiseOf(name string, p lease.Promise) keep.Change {
	return keep.Change{Name: promisePrefix + name, Value: binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, p.FencingToken), p.VoterSetVersion)}
}

// Promises gives those that a folder holds, by lease.
func Promises(s *keep.Store) map[string]lease.Promise {
	all := make(map[string]lease.Promise)
	s.Each(func(name string, value []byte) {
		if of, ok := strings.CutPrefix(name, promisePrefix); ok && len(value) == 12 {
			all[of] = lease.Promise{FencingToken: binary.LittleEndian.Uint64(value), VoterSetVersion: binary.LittleEndian.Uint32(value[8:])}
		}
	})
	return all
}

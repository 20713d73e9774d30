// Package state keeps what a driver has learned in a folder, so that its next life need not begin with nothing. What is saved
// are values by name; a Saver decides what has to be written and when, and lets a worker write it. What is recalled is for the
// module to judge.
package persist

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
	"passtack/internal/lease"
	"passtack/internal/storage"
)

// Names of what is kept: a member by its uid; the latest writes of sessions, in batches by the time of their commit; entries of the list
// by uid, and what list they are of; repeatable requests by front and a digest of their key; and when all of it was saved.
const (
	memberPrefix        = "member/"
	sessionBatchPrefix  = "written/"
	endpointPrefix      = "list/"
	listVersionName     = "listed"
	requestPrefix       = "repeat/"
	usualLatenciesName  = "usual" // the methods' usual latencies
	savedAtName         = "saved"
	legacySessionPrefix = "session/" // a session's write by its number, as versions up to 0.3 kept it
)

// Owner is the number under which a driver owns its folder.
func Owner(driver string) uint64 { return xxh3.HashString(driver) }

func appendDuration(out []byte, d time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(out, uint64(d))
}

func encodeMember(k driver.Known) []byte {
	out := appendDuration(appendDuration(appendDuration(make([]byte, 0, 32), k.Position), k.Replica), k.Timed)
	return binary.LittleEndian.AppendUint64(out, math.Float64bits(k.Ratio))
}

func durationAt(in []byte, n int) time.Duration {
	return time.Duration(binary.LittleEndian.Uint64(in[8*n:]))
}

func decodeMember(in []byte) (k driver.Known, ok bool) {
	if len(in) != 32 {
		return k, false
	}
	k = driver.Known{Position: durationAt(in, 0), Replica: durationAt(in, 1), Timed: durationAt(in, 2), Ratio: math.Float64frombits(binary.LittleEndian.Uint64(in[24:]))}
	return k, k.Ratio > 0 && !math.IsInf(k.Ratio, 0)
}

// Recalled is what an earlier life of a driver saved.
type LearnedState struct {
	SavedAt        time.Duration // when
	Members        map[string]driver.Known
	SessionWrites  int             // writes of them, of which some are of one session
	UsualLatencies []time.Duration // latencies, by method
	ListVersion    ListVersion
	Endpoints      [][]byte            // of the list, as JSON
	Requests       map[string][][]byte // by front
}

// Listed tells which list entries are of.
type ListVersion struct {
	Revision  int64
	Discovery netip.AddrPort
}

// List is the recalled list as discovery would tell it; nil where none was kept.
func (r *LearnedState) EndpointList() []byte {
	if r.ListVersion.Revision == 0 {
		return nil
	}
	entries := make([]json.RawMessage, len(r.Endpoints))
	for i, e := range r.Endpoints {
		entries[i] = e
	}
	body, err := json.Marshal(map[string]any{"rev": r.ListVersion.Revision, "all": true, "targets": entries})
	if err != nil {
		return nil
	}
	return body
}

// Read gives what a store holds. What cannot be read is left out: it was written by this program, so it is of another form.
func Restore(s *storage.Store) *LearnedState {
	r := &LearnedState{Members: make(map[string]driver.Known), Requests: make(map[string][][]byte)}
	ForEachSessionWrite(s, func(driver.Session, time.Duration) { r.SessionWrites++ })
	s.ForEach(func(name string, value []byte) {
		kind, rest, _ := strings.Cut(name, "/")
		switch kind + "/" {
		case memberPrefix:
			if k, ok := decodeMember(value); ok {
				r.Members[rest] = k
			}
		case endpointPrefix:
			if json.Valid(value) {
				r.Endpoints = append(r.Endpoints, value)
			}
		case requestPrefix:
			front, _, _ := strings.Cut(rest, "/")
			r.Requests[front] = append(r.Requests[front], value)
		case usualLatenciesName + "/":
			for at := 0; at+8 <= len(value); at += 8 {
				r.UsualLatencies = append(r.UsualLatencies, durationAt(value[at:], 0))
			}
		case savedAtName + "/":
			if len(value) == 8 {
				r.SavedAt = durationAt(value, 0)
			}
		case listVersionName + "/":
			if len(value) > 8 {
				r.ListVersion.Revision = int64(durationAt(value, 0))
				r.ListVersion.Discovery, _ = netip.ParseAddrPort(string(value[8:]))
			}
		}
	})
	return r
}

// EachWrite gives the writes of sessions that a store holds. A session may come more than once; its latest write counts.
func ForEachSessionWrite(s *storage.Store, visit func(driver.Session, time.Duration)) {
	s.ForEach(func(name string, value []byte) {
		if strings.HasPrefix(name, sessionBatchPrefix) {
			for at := 0; at+16 <= len(value); at += 16 {
				visit(driver.Session(durationAt(value[at:], 0)), durationAt(value[at:], 1))
			}
		} else if number, ok := strings.CutPrefix(name, legacySessionPrefix); ok {
			if who, err := strconv.ParseUint(number, 16, 64); err == nil && len(value) == 8 {
				visit(driver.Session(who), durationAt(value, 0))
			}
		}
	})
}

const (
	minProgress        = 500 * time.Millisecond // by which a position or a time may have moved on unsaved
	maxCommitSize      = 8 << 20                // bytes of one commit
	maxCommitChanges   = 2000                   // changes of a commit, with which more of the list is taken in: a turn is not to grow long
	sessionRetention   = 10 * time.Minute       // writes of sessions are kept for longer than anybody asks for them
	maxPendingSessions = 200_000                // of sessions between two commits
	sizeShare          = 4                      // a quarter of the room is for sessions' writes, as much for answers to repeats
)

// piece is what is on the disk under a name.
type storedValue struct {
	value []byte
	round uint32 // in which its member was last known
}

// Saver decides what of a driver's knowledge is written. Members are looked at in rounds, from Begin to Finish; the rest is told as it
// changes. One commit is out at a time, and what changes meanwhile goes with the next.
type Saver struct {
	most       int // bytes that a state may take
	stored     map[string]storedValue
	round      uint32
	committing []storage.Change // what is being written; nil: nothing
	changes    []storage.Change // of the members, in this round
	bytes      int              // of those
	pending    map[string][]byte
	written    map[driver.Session]time.Duration // not yet in a commit
	writing    map[driver.Session]time.Duration // in the one that is out
	batches    []sessionBatch                   // of sessions' writes on the disk, the oldest first
	answers    int                              // bytes of answers to repeats on the disk and told
	dropped    int
}

type sessionBatch struct {
	at   time.Duration
	size int
}

// NewSaver begins with what the store holds; a state may take so many bytes.
func NewSaver(s *storage.Store, most int) *Saver {
	v := &Saver{most: most, stored: make(map[string]storedValue), pending: make(map[string][]byte), written: make(map[driver.Session]time.Duration)}
	s.ForEach(func(name string, value []byte) {
		v.stored[name] = storedValue{value: value}
		if at, err := strconv.ParseUint(strings.TrimPrefix(name, sessionBatchPrefix), 16, 64); err == nil && strings.HasPrefix(name, sessionBatchPrefix) {
			v.batches = append(v.batches, sessionBatch{time.Duration(at), len(value)})
		} else if strings.HasPrefix(name, legacySessionPrefix) { // of an older version: kept in the newer form from the first commit on
			v.pending[name] = nil
			if who, err := strconv.ParseUint(name[len(legacySessionPrefix):], 16, 64); err == nil && len(value) == 8 {
				v.written[driver.Session(who)] = durationAt(value, 0)
			}
		} else if strings.HasPrefix(name, requestPrefix) {
			v.answers += len(value)
		}
	})
	return v
}

// Wrote tells of a session's latest write.
func (v *Saver) SessionWrote(who driver.Session, commit time.Duration) {
	if _, known := v.written[who]; !known && len(v.written) >= maxPendingSessions {
		v.dropped++
		return
	}
	v.written[who] = commit
}

// List tells an entry of the list, as JSON; nil: it is no longer there. Whose list it is comes with Of.
func (v *Saver) SetEndpoint(uid string, entry []byte) { v.tell(endpointPrefix+uid, entry) }

// Of tells which list the entries are of from now on.
func (v *Saver) SetListVersion(l ListVersion) {
	v.tell(listVersionName, append(appendDuration(nil, time.Duration(l.Revision)), l.Discovery.String()...))
}

// Repeat tells what is to be known of a repeatable request; nil: nothing any more.
func (v *Saver) SetRequest(front string, key uint64, value []byte) {
	name := requestPrefix + front + "/" + strconv.FormatUint(key, 16)
	old, told := v.pending[name]
	if !told {
		old = v.stored[name].value
	}
	if more := len(value) - len(old); more > 0 && v.answers+more > v.most/sizeShare {
		v.dropped++
		return
	}
	v.answers += len(value) - len(old)
	v.tell(name, value)
}

func (v *Saver) tell(name string, value []byte) {
	old, known := v.stored[name]
	if _, waits := v.pending[name]; !waits && (value == nil && !known || known && value != nil && string(old.value) == string(value)) && v.committing == nil {
		return
	}
	v.pending[name] = value
}

// Dropped counts what was told and had no room.
func (v *Saver) Dropped() int { return v.dropped }

// Out tells whether a commit is out.
func (v *Saver) Committing() bool { return v.committing != nil }

// Begin begins a round over all members.
func (v *Saver) BeginRound() {
	v.round++
	v.changes, v.bytes = nil, 0
}

// Member tells what is known of a member.
func (v *Saver) SaveMember(uid string, k driver.Known) {
	name := memberPrefix + uid
	old, known := v.stored[name]
	if known {
		old.round = v.round
		v.stored[name] = old
		was, ok := decodeMember(old.value)
		if ok && k.Position-was.Position <= minProgress && k.Replica-was.Replica <= minProgress && k.Timed-was.Timed <= minProgress {
			return
		}
	}
	if v.bytes < maxCommitSize {
		v.change(name, encodeMember(k))
	}
}

// Keep lets what is on the disk of a member stand, which is not known yet in this life.
func (v *Saver) KeepMember(uid string) {
	if old, known := v.stored[memberPrefix+uid]; known {
		old.round = v.round
		v.stored[memberPrefix+uid] = old
	}
}

func (v *Saver) change(name string, value []byte) {
	v.changes = append(v.changes, storage.Change{Name: name, Value: value})
	v.bytes += len(name) + len(value)
}

// Usual tells the methods' usual latencies. They are written once one has moved by a tenth.
func (v *Saver) SaveUsualLatencies(all []time.Duration) {
	old, value, moved := v.stored[usualLatenciesName].value, []byte(nil), false
	for i, d := range all {
		value = appendDuration(value, d)
		moved = moved || len(old) != 8*len(all) || (durationAt(old, i)-d).Abs() > d/10
	}
	if moved {
		v.change(usualLatenciesName, value)
	}
}

// Finish ends a round and gives the changes to commit; none where nothing has changed.
func (v *Saver) FinishRound(now time.Duration) []storage.Change {
	for name, p := range v.stored {
		if p.round != v.round && strings.HasPrefix(name, memberPrefix) {
			v.change(name, nil)
		}
	}
	for name, value := range v.pending {
		if v.bytes >= maxCommitSize || len(v.changes) >= maxCommitChanges {
			break
		}
		v.change(name, value)
		delete(v.pending, name)
	}
	if v.writing = nil; len(v.written) > 0 {
		v.batch(now)
	}
	for _, b := range v.batches {
		if now-b.at > sessionRetention || b.at > now+sessionRetention { // or the clock went back
			v.change(batchName(b.at), nil)
		}
	}
	if len(v.changes) == 0 {
		return nil
	}
	slices.SortFunc(v.changes, func(a, b storage.Change) int { return strings.Compare(a.Name, b.Name) })
	v.committing = append(v.changes, storage.Change{Name: savedAtName, Value: appendDuration(nil, now)})
	v.changes = nil
	return v.committing
}

func batchName(at time.Duration) string {
	return fmt.Sprintf("%s%016x", sessionBatchPrefix, uint64(at))
}

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
		value = appendDuration(appendDuration(value, time.Duration(who)), v.written[who])
	}
	size := len(value)
	for i := len(v.batches) - 1; i >= 0; i-- {
		if size += v.batches[i].size; size > v.most/sizeShare {
			v.change(batchName(v.batches[i].at), nil)
			v.dropped++
		}
	}
	v.change(batchName(now), value)
	v.writing, v.written = v.written, make(map[driver.Session]time.Duration)
}

// Committed tells how the commit that is out ended. What failed to be written is to be written by the next.
func (v *Saver) Committed(err error) {
	out := v.committing
	v.committing = nil
	if err != nil {
		for who, commit := range v.writing {
			if _, newer := v.written[who]; !newer {
				v.SessionWrote(who, commit)
			}
		}
		for _, c := range out {
			if _, newer := v.pending[c.Name]; !newer && (strings.HasPrefix(c.Name, endpointPrefix) || strings.HasPrefix(c.Name, requestPrefix) ||
				strings.HasPrefix(c.Name, legacySessionPrefix) || c.Name == listVersionName) {
				v.pending[c.Name] = c.Value
			}
		}
		v.writing = nil
		return
	}
	v.writing = nil
	for _, c := range out {
		at, err := strconv.ParseUint(strings.TrimPrefix(c.Name, sessionBatchPrefix), 16, 64)
		isBatch := err == nil && strings.HasPrefix(c.Name, sessionBatchPrefix)
		if c.Value == nil {
			delete(v.stored, c.Name)
			if isBatch {
				v.batches = slices.DeleteFunc(v.batches, func(b sessionBatch) bool { return b.at == time.Duration(at) })
			}
			continue
		}
		v.stored[c.Name] = storedValue{value: c.Value, round: v.round}
		if isBatch {
			v.batches = append(v.batches, sessionBatch{time.Duration(at), len(c.Value)})
		}
	}
}

// Open takes a driver's folder and reads it. Why it cannot be used is told in one line; the driver then goes on without.
func Open(path, name string, most int) (*storage.Store, storage.RecoveryReport, error) {
	folder, err := storage.OpenDirectory(path)
	if err != nil {
		return nil, storage.RecoveryReport{}, fmt.Errorf("state folder: %w", err)
	}
	s, found, err := storage.Open(folder, Owner(name), most)
	if errors.Is(err, storage.ErrWrongOwner) {
		err = fmt.Errorf("%w, this one is %q", err, name)
	}
	return s, found, err
}

// Prune writes a folder anew without what is older than that, and gives what it took and takes.
func Prune(path string, owner uint64, older, now time.Duration, most int) (before, after int, err error) {
	folder, err := storage.OpenDirectory(path)
	if err != nil {
		return 0, 0, err
	}
	s, _, err := storage.Open(folder, owner, most)
	if err != nil {
		return 0, 0, err
	}
	defer s.Close()
	before = s.Size()
	var gone []storage.Change
	s.ForEach(func(name string, value []byte) {
		at := now
		if k, ok := decodeMember(value); ok && strings.HasPrefix(name, memberPrefix) {
			at = max(k.Position, k.Replica, k.Timed)
		} else if n, err := strconv.ParseUint(strings.TrimPrefix(name, sessionBatchPrefix), 16, 64); err == nil && strings.HasPrefix(name, sessionBatchPrefix) {
			at = time.Duration(n)
		} else if strings.HasPrefix(name, legacySessionPrefix) && len(value) == 8 {
			at = durationAt(value, 0)
		}
		if now-at > older {
			gone = append(gone, storage.Change{Name: name})
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
func PromiseChange(name string, p lease.Promise) storage.Change {
	return storage.Change{Name: promisePrefix + name, Value: binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint64(nil, p.Number), p.Version)}
}

// Promises gives those that a folder holds, by lease.
func RestorePromises(s *storage.Store) map[string]lease.Promise {
	all := make(map[string]lease.Promise)
	s.ForEach(func(name string, value []byte) {
		if of, ok := strings.CutPrefix(name, promisePrefix); ok && len(value) == 12 {
			all[of] = lease.Promise{Number: binary.LittleEndian.Uint64(value), Version: binary.LittleEndian.Uint32(value[8:])}
		}
	})
	return all
}

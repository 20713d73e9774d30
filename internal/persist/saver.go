package persist

import (
	"slices"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/storage"
)

const (
	maxCommitSize    = 8 << 20 // bytes of members and values, beyond which the rest waits for the next commit
	maxCommitChanges = 2000    // beyond which no pending values are added, so that the event loop is not held up

	// sizeShare is the part of the maximum size that session writes may take; idempotent requests may take as much.
	sizeShare = 4
)

// Saver decides what of a driver's knowledge is written. Members are compared with what is stored in rounds, from BeginRound to
// FinishRound; other values are set when they change. One commit is in progress at a time: what changes meanwhile goes into
// the next one. It is used by one goroutine.
type Saver struct {
	maxSize      int // bytes of a snapshot
	stored       map[string]storedValue
	pending      map[string][]byte // set but in no commit yet; nil: deleted
	committing   []storage.Change  // in the commit in progress; nil: there is none
	round        saveRound
	sessions     sessionSaver
	requestBytes int // of idempotent requests, stored and pending
	dropped      int // requests given up for lack of space
}

// storedValue is a value on the disk.
type storedValue struct {
	value []byte
	round uint32 // last one in which its member was known
}

// saveRound is one pass over all members.
type saveRound struct {
	number  uint32
	changes []storage.Change
	size    int // bytes of the changes
}

func (r *saveRound) add(name string, value []byte) {
	r.changes = append(r.changes, storage.Change{Name: name, Value: value})
	r.size += len(name) + len(value)
}

// NewSaver returns a saver that knows what the store holds. Snapshots may take maxSize bytes.
func NewSaver(s *storage.Store, maxSize int) *Saver {
	v := &Saver{
		maxSize:  maxSize,
		stored:   make(map[string]storedValue),
		pending:  make(map[string][]byte),
		sessions: sessionSaver{maxSize: maxSize / sizeShare, pending: make(map[driver.Session]time.Duration)},
	}
	s.ForEach(v.load)
	return v
}

func (v *Saver) load(name string, value []byte) {
	v.stored[name] = storedValue{value: value}
	if savedAt, ok := parseSessionBatchName(name); ok {
		v.sessions.stored(savedAt, len(value))
		return
	}
	if strings.HasPrefix(name, legacySessionPrefix) {
		v.migrateSession(name, value)
		return
	}
	if strings.HasPrefix(name, requestPrefix) {
		v.requestBytes += len(value)
	}
}

// migrateSession lets the first commit store a session of an older version in a batch.
func (v *Saver) migrateSession(name string, value []byte) {
	v.pending[name] = nil
	if session, writtenAt, ok := decodeLegacySession(name, value); ok {
		v.sessions.pending[session] = writtenAt
	}
}

// SessionWrote sets the time of a session's latest write.
func (v *Saver) SessionWrote(session driver.Session, writtenAt time.Duration) {
	v.sessions.add(session, writtenAt)
}

// SetEndpoint sets an entry of the endpoint list, as JSON; nil deletes it.
func (v *Saver) SetEndpoint(uid string, entry []byte) { v.set(endpointPrefix+uid, entry) }

// SetListVersion sets the version of the endpoint list.
func (v *Saver) SetListVersion(version ListVersion) { v.set(listVersionName, version.encode()) }

// SetRequest sets an encoded idempotent request of a front; nil deletes it. Without space for it the value before stays.
func (v *Saver) SetRequest(front string, key uint64, value []byte) {
	name := requestName(front, key)
	old, isPending := v.pending[name]
	if !isPending {
		old = v.stored[name].value
	}
	growth := len(value) - len(old)
	if growth > 0 && v.requestBytes+growth > v.maxSize/sizeShare {
		v.dropped++
		return
	}
	v.requestBytes += growth
	v.set(name, value)
}

// set makes a value pending, unless it is certain that the disk has it already: a commit in progress may be changing it.
func (v *Saver) set(name string, value []byte) {
	_, isPending := v.pending[name]
	if !isPending && v.committing == nil && v.isStored(name, value) {
		return
	}
	v.pending[name] = value
}

func (v *Saver) isStored(name string, value []byte) bool {
	stored, found := v.stored[name]
	if value == nil {
		return !found
	}
	return found && string(stored.value) == string(value)
}

// Dropped counts values that were given up for lack of space.
func (v *Saver) Dropped() int { return v.dropped + v.sessions.dropped }

// Committing reports whether a commit is in progress.
func (v *Saver) Committing() bool { return v.committing != nil }

// BeginRound begins a round over all members.
func (v *Saver) BeginRound() { v.round = saveRound{number: v.round.number + 1} }

// SaveMember compares a member with what is stored and adds it to the round if that has changed.
func (v *Saver) SaveMember(uid string, k driver.Known) {
	name := memberPrefix + uid
	if stored, found := v.stored[name]; found {
		stored.round = v.round.number
		v.stored[name] = stored
		old, ok := decodeMember(stored.value)
		if ok && !progressed(old, k) {
			return
		}
	}
	if v.round.size < maxCommitSize {
		v.round.add(name, encodeMember(k))
	}
}

// KeepMember lets the stored value of a member stand that this process does not know yet.
func (v *Saver) KeepMember(uid string) {
	name := memberPrefix + uid
	if stored, found := v.stored[name]; found {
		stored.round = v.round.number
		v.stored[name] = stored
	}
}

// SaveUsualLatencies adds the usual latencies, by method, to the round if one has moved by more than a tenth.
func (v *Saver) SaveUsualLatencies(latencies []time.Duration) {
	if latenciesMoved(v.stored[usualLatenciesName].value, latencies) {
		v.round.add(usualLatenciesName, encodeLatencies(latencies))
	}
}

// FinishRound ends a round and returns the changes to commit, nil if there are none. Committed has to be called with the outcome.
func (v *Saver) FinishRound(now time.Duration) []storage.Change {
	v.deleteUnknownMembers()
	v.addPending()
	for _, c := range v.sessions.prepare(now) {
		v.round.add(c.Name, c.Value)
	}
	changes := v.round.changes
	v.round.changes = nil
	if len(changes) == 0 {
		return nil
	}
	slices.SortFunc(changes, func(a, b storage.Change) int { return strings.Compare(a.Name, b.Name) })
	v.committing = append(changes, storage.Change{Name: savedAtName, Value: appendDuration(nil, now)})
	return v.committing
}

// deleteUnknownMembers deletes members that were not seen in this round.
func (v *Saver) deleteUnknownMembers() {
	for name, stored := range v.stored {
		if stored.round != v.round.number && strings.HasPrefix(name, memberPrefix) {
			v.round.add(name, nil)
		}
	}
}

func (v *Saver) addPending() {
	for name, value := range v.pending {
		if v.round.size >= maxCommitSize || len(v.round.changes) >= maxCommitChanges {
			return
		}
		v.round.add(name, value)
		delete(v.pending, name)
	}
}

// Committed reports how the commit in progress ended. What a failed one should have written goes into the next.
func (v *Saver) Committed(err error) {
	changes := v.committing
	v.committing = nil
	if err != nil {
		v.sessions.failed()
		v.restorePending(changes)
		return
	}
	v.sessions.committing = nil
	for _, c := range changes {
		v.noteStored(c)
	}
}

// restorePending makes the values of a failed commit pending again. Members and sessions are compared or kept otherwise.
func (v *Saver) restorePending(changes []storage.Change) {
	for _, c := range changes {
		if _, newer := v.pending[c.Name]; !newer && isSetByName(c.Name) {
			v.pending[c.Name] = c.Value
		}
	}
}

// isSetByName reports whether a value becomes pending by set or by migration.
func isSetByName(name string) bool {
	return name == listVersionName ||
		strings.HasPrefix(name, endpointPrefix) ||
		strings.HasPrefix(name, requestPrefix) ||
		strings.HasPrefix(name, legacySessionPrefix)
}

func (v *Saver) noteStored(c storage.Change) {
	savedAt, isBatch := parseSessionBatchName(c.Name)
	if c.Value == nil {
		delete(v.stored, c.Name)
		if isBatch {
			v.sessions.deleted(savedAt)
		}
		return
	}
	v.stored[c.Name] = storedValue{value: c.Value, round: v.round.number}
	if isBatch {
		v.sessions.stored(savedAt, len(c.Value))
	}
}

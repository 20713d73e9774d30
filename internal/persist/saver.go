package persist

import (
	"slices"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/storage"
)

const (
	maxCommitSize    = 8 << 20 // bytes of names and values in a commit, beyond which further changes wait for the next one
	maxCommitChanges = 2000    // in a commit, beyond which no pending values are added, so that the event loop is not blocked for long

	// sizeShareDivisor divides the maximum size of a snapshot: session writes may take this part of it, idempotent requests as much.
	sizeShareDivisor = 4
)

// Saver decides which parts of a driver's learned state are written. Members are compared with their stored values in rounds, from
// BeginRound to FinishRound; other values are set when they change. At most one commit is in progress: values that change in the
// meantime go into the next one. A Saver is used by one goroutine.
type Saver struct {
	maxSize      int // of a snapshot, bytes
	stored       map[string]storedValue
	pending      map[string][]byte // set, but not in a commit yet; nil: deleted
	committing   []storage.Change  // changes of the commit in progress; nil: none is in progress
	round        saveRound
	sessions     sessionSaver
	requestBytes int // size of the idempotent requests, stored and pending
	dropped      int // requests that were not saved for lack of space
}

// storedValue is a value that is on disk.
type storedValue struct {
	value []byte
	round uint32 // number of the last round in which the member was known
}

// saveRound is one pass over all members.
type saveRound struct {
	number  uint32
	changes []storage.Change
	size    int // of the changes, bytes
}

func (r *saveRound) add(name string, value []byte) {
	r.changes = append(r.changes, storage.Change{Name: name, Value: value})
	r.size += len(name) + len(value)
}

// NewSaver returns a saver that starts with the values in the store. Snapshots may take maxSize bytes.
func NewSaver(s *storage.Store, maxSize int) *Saver {
	v := &Saver{
		maxSize:  maxSize,
		stored:   make(map[string]storedValue),
		pending:  make(map[string][]byte),
		sessions: sessionSaver{maxSize: maxSize / sizeShareDivisor, pending: make(map[driver.Session]time.Duration)},
	}
	s.ForEach(v.load)
	return v
}

func (v *Saver) load(name string, value []byte) {
	v.stored[name] = storedValue{value: value}
	if savedAt, ok := parseSessionBatchName(name); ok {
		v.sessions.batchStored(savedAt, len(value))
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

// migrateSession makes the first commit move a session from the format of versions up to 0.3 to a batch.
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

// SetRequest sets an encoded idempotent request of a front; nil deletes it. If there is no space for it, the previous value is kept.
func (v *Saver) SetRequest(front string, key uint64, value []byte) {
	name := requestName(front, key)
	old, isPending := v.pending[name]
	if !isPending {
		old = v.stored[name].value
	}
	growth := len(value) - len(old)
	if growth > 0 && v.requestBytes+growth > v.maxSize/sizeShareDivisor {
		v.dropped++
		return
	}
	v.requestBytes += growth
	v.set(name, value)
}

// set makes a value pending, unless it is certain to be on disk already. This is
// never certain while a commit is in progress, since the commit may change the value.
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

// Dropped returns how many values were dropped or not saved for lack of space.
func (v *Saver) Dropped() int { return v.dropped + v.sessions.dropped }

// Committing reports whether a commit is in progress.
func (v *Saver) Committing() bool { return v.committing != nil }

// BeginRound starts a round over all members.
func (v *Saver) BeginRound() { v.round = saveRound{number: v.round.number + 1} }

// SaveMember compares a member with its stored value and adds it to the round if it has changed enough.
func (v *Saver) SaveMember(uid string, k driver.MemberSnapshot) {
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

// KeepMember keeps the stored value of a member that this process does not know yet: FinishRound will not delete it.
func (v *Saver) KeepMember(uid string) {
	name := memberPrefix + uid
	if stored, found := v.stored[name]; found {
		stored.round = v.round.number
		v.stored[name] = stored
	}
}

// SaveUsualLatencies adds the usual latencies, by method, to the round if one has changed by more than a tenth.
func (v *Saver) SaveUsualLatencies(latencies []time.Duration) {
	if latenciesChanged(v.stored[usualLatenciesName].value, latencies) {
		v.round.add(usualLatenciesName, encodeLatencies(latencies))
	}
}

// FinishRound ends a round and returns the changes to commit, nil if there are none. If it returns changes, Committed has to be called
// with the result of their commit.
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

// deleteUnknownMembers deletes the stored members that were neither saved nor kept in this round.
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

// Committed ends the commit in progress with its result. The changes of a failed commit go into the next one.
func (v *Saver) Committed(err error) {
	changes := v.committing
	v.committing = nil
	if err != nil {
		v.sessions.commitFailed()
		v.restorePending(changes)
		return
	}
	v.sessions.committing = nil
	for _, c := range changes {
		v.recordStored(c)
	}
}

// restorePending makes the values of a failed commit pending again. Members are not among them, since the next round compares them
// again, nor session writes, which sessionSaver keeps.
func (v *Saver) restorePending(changes []storage.Change) {
	for _, c := range changes {
		if _, newer := v.pending[c.Name]; !newer && storedFromPending(c.Name) {
			v.pending[c.Name] = c.Value
		}
	}
}

// storedFromPending reports whether the value of this name is added to a commit from Saver.pending, by set or by a migration.
func storedFromPending(name string) bool {
	return name == listVersionName ||
		strings.HasPrefix(name, endpointPrefix) ||
		strings.HasPrefix(name, requestPrefix) ||
		strings.HasPrefix(name, legacySessionPrefix)
}

func (v *Saver) recordStored(c storage.Change) {
	savedAt, isBatch := parseSessionBatchName(c.Name)
	if c.Value == nil {
		delete(v.stored, c.Name)
		if isBatch {
			v.sessions.batchDeleted(savedAt)
		}
		return
	}
	v.stored[c.Name] = storedValue{value: c.Value, round: v.round.number}
	if isBatch {
		v.sessions.batchStored(savedAt, len(c.Value))
	}
}

// Package repeat knows which repeatable requests were asked before, and decides what a repeat may get: the first
// outcome, a place beside the first that is still out, another run inside the window in which its group drops a repeat,
// or a refusal. It never lets an effect come twice: what it cannot tell from a repeat that may have run is refused once
// the window is over.
//
// When a request was first sent is told by its client. A restart forgets what was not kept (Keep, Recall), and other drivers know
// nothing of it: what is unknown here may be a repeat of what ran elsewhere. Unless the operator says that a client's repeats come to this driver only
// (Sticky), an unknown request may therefore run only inside the window since it was first sent.
package idempotency

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"passtack/internal/chain"
)

// Verdict is what a request gets.
type Verdict uint8

const (
	Run        Verdict = iota // it may run, until Entry.Until
	Join                      // the first is still out: it gets the same answer
	Replay                    // the first outcome is known
	KeyReused                 // the id was used for something else
	TooLate                   // it may have run and its group may have forgotten: never again
	FromFuture                // first sent later than now: its clock is wrong
	AtCapacity                // too many are out
)

// End is how a request that ran ended.
type Outcome uint8

const (
	Completed Outcome = iota // it has run once, and the answer is known
	NotRun                   // nothing ran
	Uncertain                // it may have run
)

const (
	maxClockSkew  = 2 * time.Second // that clocks may disagree before a time is taken for wrong
	windowMargin  = 20 * time.Millisecond
	entryOverhead = 256 // bytes that an entry takes besides its answer
)

type state uint8

const (
	inProgress state = iota
	completed
	unresolved // it ended without an answer that could be told again
)

// Entry is one request that was asked.
type Entry struct {
	Deadline time.Duration // no attempt may begin later
	Response []byte        // once it is done; nil where it was too long to keep
	Waiters  []uint32      // who waits for the same answer
	Runner   uint32        // who asks members for it

	key        string
	digest     uint64
	firstSent  time.Duration
	window     time.Duration
	state      state
	mayHaveRun bool // have run
	finishedAt time.Duration
	link       chain.Link[*Entry]
}

// Memory holds the requests of one driver.
type Registry struct {
	Sticky        bool                       // repeats come to this driver only
	Retention     time.Duration              // how long an outcome is remembered
	MaxBytes      int                        // bytes
	MaxInProgress int                        // requests that may be out
	Persist       func(key string, e []byte) // is told what has ended, to be recalled by another life; nil: it is forgotten
	began         time.Duration
	knownSince    time.Duration // what was first sent before may have been forgotten
	entries       map[string]*Entry
	finished      chain.Chain[*Entry] // in the order in which they ended
	bytes         int                 // bytes
	inProgress    int
}

// New makes a memory that remembers nothing from before now.
func New(now time.Duration) *Registry {
	return &Registry{began: now, knownSince: now, entries: make(map[string]*Entry)}
}

// Asked judges a request: what it was asked under, a digest of what it asks, when it was first sent (truncated as its
// client told it), and the window of its group. Where it may run or joins, the entry is given.
func (m *Registry) Begin(key string, content uint64, firstSent, now, window time.Duration) (Verdict, *Entry) {
	m.Expire(now)
	if firstSent > now+maxClockSkew {
		return FromFuture, nil
	}
	e := m.entries[key]
	if e == nil {
		return m.unknown(key, content, firstSent, now, window)
	}
	if e.digest != content {
		return KeyReused, nil
	}
	switch e.state {
	case inProgress:
		return Join, e
	case completed:
		return Replay, e
	}
	if e.Deadline = m.bound(e, now); now >= e.Deadline {
		return TooLate, nil
	}
	if m.inProgress >= m.MaxInProgress {
		return AtCapacity, nil
	}
	e.link.Leave()
	e.state = inProgress
	m.inProgress++
	return Run, e
}

// bound is until when attempts may begin: while the group still drops a repeat, unless this surely is none.
func (m *Registry) bound(e *Entry, now time.Duration) time.Duration {
	if m.Sticky && !e.mayHaveRun && e.firstSent > m.knownSince {
		return now + time.Hour // the module alone bounds its attempts
	}
	return e.firstSent + e.window - windowMargin
}

func (m *Registry) unknown(key string, content uint64, firstSent, now, window time.Duration) (Verdict, *Entry) {
	e := &Entry{key: key, digest: content, firstSent: firstSent, window: window}
	e.link.Value = e
	if e.Deadline = m.bound(e, now); now >= e.Deadline {
		return TooLate, nil
	}
	if m.inProgress >= m.MaxInProgress {
		return AtCapacity, nil
	}
	m.entries[key] = e
	m.bytes += entryOverhead + len(key)
	m.inProgress++
	return Run, e
}

// Ended tells how a request that was let run ended. Who waited for the same answer is given.
func (m *Registry) Finish(e *Entry, how Outcome, answer []byte, now time.Duration) (waiters []uint32) {
	if e.state != inProgress {
		return nil
	}
	m.inProgress--
	waiters, e.Waiters = e.Waiters, nil
	e.finishedAt = now
	switch how {
	case Completed:
		e.state, e.Response = completed, answer
		m.bytes += len(answer)
	case NotRun:
		e.state = unresolved
	case Uncertain:
		e.state, e.mayHaveRun = unresolved, true
	}
	m.finished.Push(&e.link)
	m.persist(e.key, e.encode())
	m.Expire(now)
	return waiters
}

// Leave takes back that somebody waits.
func (e *Entry) RemoveWaiter(waiter uint32) {
	for i, w := range e.Waiters {
		if w == waiter {
			e.Waiters = append(e.Waiters[:i], e.Waiters[i+1:]...)
			return
		}
	}
}

// Age forgets what ended long ago, and what there is no room for. What is forgotten counts as any unknown request
// from then on, also where repeats come to this driver only.
func (m *Registry) Expire(now time.Duration) {
	for at := m.finished.First(); at != nil; at = m.finished.First() {
		e := at.Value
		if now-e.finishedAt < m.Retention && m.bytes <= m.MaxBytes {
			return
		}
		at.Leave()
		delete(m.entries, e.key)
		m.bytes -= entryOverhead + len(e.key) + len(e.Response)
		m.knownSince = max(m.knownSince, e.firstSent)
		m.persist(e.key, nil)
	}
}

func (m *Registry) persist(key string, e []byte) {
	if m.Persist != nil {
		m.Persist(key, e)
	}
}

// Held tells how many requests are remembered, how many of them are out, and how many bytes they take.
func (m *Registry) Usage() (entries, out, bytes int) { return len(m.entries), m.inProgress, m.bytes }

const encodingVersion = 1 // of a kept entry: form, state, mayHave, 5 free; content, firstSent, window, ended, length of the key; key, answer
const entryHeaderSize = 8 + 4*8 + 4

// bytes is the entry as it is kept.
func (e *Entry) encode() []byte {
	out := make([]byte, 8, entryHeaderSize+len(e.key)+len(e.Response))
	out[0], out[1] = encodingVersion, byte(e.state)
	if e.mayHaveRun {
		out[2] = 1
	}
	if e.state == completed && e.Response == nil {
		out[3] = 1
	}
	for _, n := range []uint64{e.digest, uint64(e.firstSent), uint64(e.window), uint64(e.finishedAt)} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	out = binary.LittleEndian.AppendUint32(out, uint32(len(e.key)))
	return append(append(out, e.key...), e.Response...)
}

// Recall takes back what an earlier life kept, and tells how many entries that are. An answer is told again; of all else it may have run,
// whatever it says, since it may have been asked again after it was kept. What is from later than now is no use: the clock went back.
func (m *Registry) Restore(kept [][]byte, now time.Duration) int {
	var all []*Entry
	for _, text := range kept {
		if e := decodeEntry(text); e != nil && e.finishedAt <= now && now-e.finishedAt < m.Retention && m.entries[e.key] == nil {
			m.entries[e.key] = e
			m.bytes += entryOverhead + len(e.key) + len(e.Response)
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.finishedAt, b.finishedAt) })
	for _, e := range all {
		e.link.Value = e
		m.finished.Push(&e.link)
	}
	m.Expire(now)
	return len(all)
}

// entryOf reads a kept entry; nil: it is of another form.
func decodeEntry(kept []byte) *Entry {
	if len(kept) < entryHeaderSize || kept[0] != encodingVersion || state(kept[1]) != completed && state(kept[1]) != unresolved {
		return nil
	}
	number := func(n int) uint64 { return binary.LittleEndian.Uint64(kept[8+8*n:]) }
	key := int(binary.LittleEndian.Uint32(kept[entryHeaderSize-4:]))
	if key > len(kept)-entryHeaderSize {
		return nil
	}
	e := &Entry{key: string(kept[entryHeaderSize : entryHeaderSize+key]), digest: number(0), firstSent: time.Duration(number(1)), window: time.Duration(number(2)),
		finishedAt: time.Duration(number(3)), state: state(kept[1]), mayHaveRun: true}
	if e.state == completed && kept[3] == 0 {
		e.Response = kept[entryHeaderSize+key:]
	}
	return e
}

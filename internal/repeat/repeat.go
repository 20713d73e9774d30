// Package repeat knows which repeatable requests were asked before, and decides what a repeat may get: the first
// outcome, a place beside the first that is still out, another run inside the window in which its group drops a repeat,
// or a refusal. It never lets an effect come twice: what it cannot tell from a repeat that may have run is refused once
// the window is over.
//
// When a request was first sent is told by its client. A restart forgets what was not kept (Keep, Recall), and other drivers know
// nothing of it: what is unknown here may be a repeat of what ran elsewhere. Unless the operator says that a client's repeats come to this driver only
// (Sticky), an unknown request may therefore run only inside the window since it was first sent.
package repeat

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
	Run    Verdict = iota // it may run, until Entry.Until
	Joins                 // the first is still out: it gets the same answer
	Told                  // the first outcome is known
	Other                 // the id was used for something else
	Late                  // it may have run and its group may have forgotten: never again
	Early                 // first sent later than now: its clock is wrong
	NoRoom                // too many are out
)

// End is how a request that ran ended.
type End uint8

const (
	Done    End = iota // it has run once, and the answer is known
	Nothing            // nothing ran
	Unsure             // it may have run
)

const (
	skew     = 2 * time.Second // that clocks may disagree before a time is taken for wrong
	margin   = 20 * time.Millisecond
	overhead = 256 // bytes that an entry takes besides its answer
)

type state uint8

const (
	open state = iota
	done
	over // it ended without an answer that could be told again
)

// Entry is one request that was asked.
type Entry struct {
	Until   time.Duration // no attempt may begin later
	Answer  []byte        // once it is done; nil where it was too long to keep
	Waiters []uint32      // who waits for the same answer
	Runner  uint32        // who asks members for it

	key       string
	content   uint64
	firstSent time.Duration
	window    time.Duration
	state     state
	mayHave   bool // have run
	ended     time.Duration
	place     chain.Link[*Entry]
}

// Memory holds the requests of one driver.
type Memory struct {
	Sticky  bool                       // repeats come to this driver only
	Kept    time.Duration              // how long an outcome is remembered
	Most    int                        // bytes
	Open    int                        // requests that may be out
	Keep    func(key string, e []byte) // is told what has ended, to be recalled by another life; nil: it is forgotten
	began   time.Duration
	horizon time.Duration // what was first sent before may have been forgotten
	entries map[string]*Entry
	ended   chain.Chain[*Entry] // in the order in which they ended
	held    int                 // bytes
	out     int
}

// New makes a memory that remembers nothing from before now.
func New(now time.Duration) *Memory {
	return &Memory{began: now, horizon: now, entries: make(map[string]*Entry)}
}

// Asked judges a request: what it was asked under, a digest of what it asks, when it was first sent (truncated as its
// client told it), and the window of its group. Where it may run or joins, the entry is given.
func (m *Memory) Asked(key string, content uint64, firstSent, now, window time.Duration) (Verdict, *Entry) {
	m.Age(now)
	if firstSent > now+skew {
		return Early, nil
	}
	e := m.entries[key]
	if e == nil {
		return m.unknown(key, content, firstSent, now, window)
	}
	if e.content != content {
		return Other, nil
	}
	switch e.state {
	case open:
		return Joins, e
	case done:
		return Told, e
	}
	if e.Until = m.bound(e, now); now >= e.Until {
		return Late, nil
	}
	if m.out >= m.Open {
		return NoRoom, nil
	}
	e.place.Leave()
	e.state = open
	m.out++
	return Run, e
}

// bound is until when attempts may begin: while the group still drops a repeat, unless this surely is none.
func (m *Memory) bound(e *Entry, now time.Duration) time.Duration {
	if m.Sticky && !e.mayHave && e.firstSent > m.horizon {
		return now + time.Hour // the module alone bounds its attempts
	}
	return e.firstSent + e.window - margin
}

func (m *Memory) unknown(key string, content uint64, firstSent, now, window time.Duration) (Verdict, *Entry) {
	e := &Entry{key: key, content: content, firstSent: firstSent, window: window}
	e.place.Value = e
	if e.Until = m.bound(e, now); now >= e.Until {
		return Late, nil
	}
	if m.out >= m.Open {
		return NoRoom, nil
	}
	m.entries[key] = e
	m.held += overhead + len(key)
	m.out++
	return Run, e
}

// Ended tells how a request that was let run ended. Who waited for the same answer is given.
func (m *Memory) Ended(e *Entry, how End, answer []byte, now time.Duration) (waiters []uint32) {
	if e.state != open {
		return nil
	}
	m.out--
	waiters, e.Waiters = e.Waiters, nil
	e.ended = now
	switch how {
	case Done:
		e.state, e.Answer = done, answer
		m.held += len(answer)
	case Nothing:
		e.state = over
	case Unsure:
		e.state, e.mayHave = over, true
	}
	m.ended.Push(&e.place)
	m.keep(e.key, e.bytes())
	m.Age(now)
	return waiters
}

// Leave takes back that somebody waits.
func (e *Entry) Leave(waiter uint32) {
	for i, w := range e.Waiters {
		if w == waiter {
			e.Waiters = append(e.Waiters[:i], e.Waiters[i+1:]...)
			return
		}
	}
}

// Age forgets what ended long ago, and what there is no room for. What is forgotten counts as any unknown request
// from then on, also where repeats come to this driver only.
func (m *Memory) Age(now time.Duration) {
	for at := m.ended.First(); at != nil; at = m.ended.First() {
		e := at.Value
		if now-e.ended < m.Kept && m.held <= m.Most {
			return
		}
		at.Leave()
		delete(m.entries, e.key)
		m.held -= overhead + len(e.key) + len(e.Answer)
		m.horizon = max(m.horizon, e.firstSent)
		m.keep(e.key, nil)
	}
}

func (m *Memory) keep(key string, e []byte) {
	if m.Keep != nil {
		m.Keep(key, e)
	}
}

// Held tells how many requests are remembered, how many of them are out, and how many bytes they take.
func (m *Memory) Held() (entries, out, bytes int) { return len(m.entries), m.out, m.held }

const form = 1 // of a kept entry: form, state, mayHave, 5 free; content, firstSent, window, ended, length of the key; key, answer
const fixed = 8 + 4*8 + 4

// bytes is the entry as it is kept.
func (e *Entry) bytes() []byte {
	out := make([]byte, 8, fixed+len(e.key)+len(e.Answer))
	out[0], out[1] = form, byte(e.state)
	if e.mayHave {
		out[2] = 1
	}
	if e.state == done && e.Answer == nil {
		out[3] = 1
	}
	for _, n := range []uint64{e.content, uint64(e.firstSent), uint64(e.window), uint64(e.ended)} {
		out = binary.LittleEndian.AppendUint64(out, n)
	}
	out = binary.LittleEndian.AppendUint32(out, uint32(len(e.key)))
	return append(append(out, e.key...), e.Answer...)
}

// Recall takes back what an earlier life kept, and tells how many entries that are. An answer is told again; of all else it may have run,
// whatever it says, since it may have been asked again after it was kept. What is from later than now is no use: the clock went back.
func (m *Memory) Recall(kept [][]byte, now time.Duration) int {
	var all []*Entry
	for _, text := range kept {
		if e := entryOf(text); e != nil && e.ended <= now && now-e.ended < m.Kept && m.entries[e.key] == nil {
			m.entries[e.key] = e
			m.held += overhead + len(e.key) + len(e.Answer)
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.ended, b.ended) })
	for _, e := range all {
		e.place.Value = e
		m.ended.Push(&e.place)
	}
	m.Age(now)
	return len(all)
}

// entryOf reads a kept entry; nil: it is of another form.
func entryOf(kept []byte) *Entry {
	if len(kept) < fixed || kept[0] != form || state(kept[1]) != done && state(kept[1]) != over {
		return nil
	}
	number := func(n int) uint64 { return binary.LittleEndian.Uint64(kept[8+8*n:]) }
	key := int(binary.LittleEndian.Uint32(kept[fixed-4:]))
	if key > len(kept)-fixed {
		return nil
	}
	e := &Entry{key: string(kept[fixed : fixed+key]), content: number(0), firstSent: time.Duration(number(1)), window: time.Duration(number(2)),
		ended: time.Duration(number(3)), state: state(kept[1]), mayHave: true}
	if e.state == done && kept[3] == 0 {
		e.Answer = kept[fixed+key:]
	}
	return e
}

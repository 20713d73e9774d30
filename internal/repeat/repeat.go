// Package repeat knows which repeatable requests were asked before, and decides what a repeat may get: the first
// outcome, a place beside the first that is still out, another run inside the window in which its group drops a repeat,
// or a refusal. It never lets an effect come twice: what it cannot tell from a repeat that may have run is refused once
// the window is over.
//
// When a request was first sent is told by its client. A restart forgets all, and so do other drivers: what is unknown
// here may be a repeat of what ran elsewhere. Unless the operator says that a client's repeats come to this driver only
// (Sticky), an unknown request may therefore run only inside the window since it was first sent.
package repeat

import (
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
	Until   time.Duration // no call-out may begin later
	Answer  []byte        // once it is done; nil where it was too long to keep
	Waiters []uint32      // who waits for the same answer

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
	Sticky  bool          // repeats come to this driver only
	Kept    time.Duration // how long an outcome is remembered
	Most    int           // bytes
	Open    int           // requests that may be out
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
	m.age(now)
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

// bound is until when call-outs may begin: while the group still drops a repeat, unless this surely is none.
func (m *Memory) bound(e *Entry, now time.Duration) time.Duration {
	if m.Sticky && !e.mayHave && e.firstSent > m.horizon {
		return now + time.Hour // the module alone bounds its call-outs
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
	m.age(now)
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

// age forgets what ended long ago, and what there is no room for. What is forgotten counts as any unknown request
// from then on, also where repeats come to this driver only.
func (m *Memory) age(now time.Duration) {
	for at := m.ended.First(); at != nil; at = m.ended.First() {
		e := at.Value
		if now-e.ended < m.Kept && m.held <= m.Most {
			return
		}
		at.Leave()
		delete(m.entries, e.key)
		m.held -= overhead + len(e.key) + len(e.Answer)
		m.horizon = max(m.horizon, e.firstSent)
	}
}

// Held tells how many requests are remembered, how many of them are out, and how many bytes they take.
func (m *Memory) Held() (entries, out, bytes int) { return len(m.entries), m.out, m.held }

// Package idempotency records requests with an idempotency key and decides how a repeat is handled: it gets the response of the first
// request, waits for that response while the first request is in progress, runs again inside the window in which its group drops
// duplicates, or is rejected. No request takes effect twice: once the window is over, a request that may be a duplicate of one that
// ran is rejected.
//
// The window starts with the first attempt that may have run. Clients state when a request was first sent. A restart loses the entries
// that were not persisted (Registry.Persist, Registry.Restore), and other drivers have registries of their own, so an unknown request may
// be a repeat of one that ran elsewhere. Unless the operator has configured that all repeats of a client come to this driver
// (Registry.Sticky), a request may therefore only run inside the window that starts when it was first sent. With Sticky, the registry knows
// all runs of a request from its first try on: one that has not run may run at any time.
package idempotency

import (
	"cmp"
	"slices"
	"time"

	"passtack/internal/linkedlist"
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts on a request.
const (
	Run        Verdict = iota // the request may run until Entry.Deadline
	Join                      // the first request is in progress: the repeat gets the same response
	Replay                    // the response of the first request is known
	KeyReused                 // another request was sent with this key
	TooLate                   // the request may have run, and its group may no longer drop duplicates of it
	FromFuture                // it was first sent later than now: the client's clock is wrong
	AtCapacity                // too many requests are in progress
)

// Outcome is how a request that was allowed to run ended.
type Outcome uint8

// The outcomes of a request that was allowed to run.
const (
	Completed Outcome = iota // it ran once and has a response
	NotRun                   // it did not run
	Uncertain                // it may have run
)

const (
	maxClockSkew  = 2 * time.Second       // by which the clock of a client may be ahead
	windowMargin  = 20 * time.Millisecond // from the deadline of a request to the end of its window
	entryOverhead = 256                   // bytes of memory that an entry takes besides its key and response

	// noDeadline is far longer than any request may take, so that only the decision module limits the attempts.
	noDeadline = time.Hour
)

// Request is what a client sent.
type Request struct {
	Key       string        // unique among the requests of all clients
	Digest    uint64        // of the content, to detect that a key is reused for another request
	FirstSent time.Duration // as stated by the client, rounded down to the resolution of the time stamp
	Window    time.Duration // for which the group of the request drops duplicates
}

// Registry holds the requests of one driver. It is used by one goroutine.
type Registry struct {
	Sticky        bool          // all repeats of a client come to this driver
	Retention     time.Duration // of finished requests
	MaxBytes      int           // size of all entries, beyond which the oldest finished ones expire
	MaxInProgress int           // requests

	// Persist, if set, is called with the encoded entry when a request has finished, and with nil when the entry has expired.
	Persist func(key string, entry []byte)

	knownSince time.Duration // requests that may have run and were first sent at or before this time may have been forgotten
	entries    map[string]*Entry
	finished   linkedlist.List[*Entry] // the oldest first
	bytes      int
	inProgress int
}

// New returns an empty registry. Requests that were first sent before now may have run earlier.
func New(now time.Duration) *Registry {
	return &Registry{knownSince: now, entries: make(map[string]*Entry)}
}

// Begin decides how a request is handled. It returns an entry with Run, Join and Replay. After Run, Finish has to be called.
func (r *Registry) Begin(q Request, now time.Duration) (Verdict, *Entry) {
	r.Expire(now)
	if q.FirstSent > now+maxClockSkew {
		return FromFuture, nil
	}
	e := r.entries[q.Key]
	if e == nil {
		return r.beginUnknown(q, now)
	}
	if e.request.Digest != q.Digest {
		return KeyReused, nil
	}
	switch e.state {
	case inProgress:
		return Join, e
	case completed:
		return Replay, e
	}
	if verdict := r.admit(e, now); verdict != Run {
		return verdict, nil
	}
	e.link.Remove()
	r.run(e, now)
	return Run, e
}

func (r *Registry) beginUnknown(q Request, now time.Duration) (Verdict, *Entry) {
	e := &Entry{request: q, allRunsKnown: r.Sticky && q.FirstSent > r.knownSince}
	e.link.Value = e
	if verdict := r.admit(e, now); verdict != Run {
		return verdict, nil
	}
	r.add(e)
	r.run(e, now)
	return Run, e
}

// admit sets the deadline of a request and decides whether it may run before that.
func (r *Registry) admit(e *Entry, now time.Duration) Verdict {
	e.Deadline = r.deadline(e, now)
	if now >= e.Deadline {
		return TooLate
	}
	if r.inProgress >= r.MaxInProgress {
		return AtCapacity
	}
	return Run
}

// deadline returns the time before which attempts may start. It is shortly before the group stops dropping duplicates, unless it is
// certain that the request has not run.
func (r *Registry) deadline(e *Entry, now time.Duration) time.Duration {
	windowStart := e.request.FirstSent // another driver or an earlier process may have run it since
	switch known := r.Sticky && e.allRunsKnown; {
	case known && !e.mayHaveRun:
		return now + noDeadline
	case known:
		windowStart = e.firstRunAt
	case e.mayHaveRun: // the client's clock may be ahead
		windowStart = min(windowStart, e.firstRunAt)
	}
	return windowStart + e.request.Window - windowMargin
}

func (r *Registry) run(e *Entry, now time.Duration) {
	e.state, e.startedAt = inProgress, now
	r.inProgress++
}

func (r *Registry) add(e *Entry) {
	r.entries[e.request.Key] = e
	r.bytes += e.size()
}

// Finish records the outcome of a request for which Begin returned Run, and returns the requests that wait for the same response.
func (r *Registry) Finish(e *Entry, outcome Outcome, response []byte, now time.Duration) (waiters []uint32) {
	if e.state != inProgress {
		return nil
	}
	r.inProgress--
	waiters, e.Waiters = e.Waiters, nil
	e.finishedAt = now
	if outcome == Completed {
		e.state = completed
		e.Response = response
		r.bytes += len(response)
	} else {
		e.state = unresolved
		if outcome == Uncertain && !e.mayHaveRun {
			e.mayHaveRun, e.firstRunAt = true, e.startedAt
		}
	}
	r.finished.PushBack(&e.link)
	r.persist(e.request.Key, e.encode())
	r.Expire(now)
	return waiters
}

// Expire forgets requests whose retention is over, and the oldest finished ones while the entries exceed MaxBytes. A repeat of a
// forgotten request may then only run inside its window, even if Sticky is set, unless it surely has not run.
func (r *Registry) Expire(now time.Duration) {
	for link := r.finished.Front(); link != nil; link = r.finished.Front() {
		e := link.Value
		if now-e.finishedAt < r.Retention && r.bytes <= r.MaxBytes {
			return
		}
		link.Remove()
		delete(r.entries, e.request.Key)
		r.bytes -= e.size()
		if !e.surelyNotRun() {
			r.knownSince = max(r.knownSince, e.request.FirstSent)
		}
		r.persist(e.request.Key, nil)
	}
}

func (r *Registry) persist(key string, entry []byte) {
	if r.Persist != nil {
		r.Persist(key, entry)
	}
}

// Usage is the number and size of the entries in a registry.
type Usage struct {
	Entries    int
	InProgress int
	Bytes      int
}

// Usage returns the current number and size of the entries.
func (r *Registry) Usage() Usage {
	return Usage{Entries: len(r.entries), InProgress: r.inProgress, Bytes: r.bytes}
}

// Restore adds entries that an earlier process persisted and returns how many it has added. Their responses are replayed. All other
// requests are treated as ones that may have run, since they may have been sent again after they were persisted. Entries with a time
// in the future are ignored: the clock was set back.
func (r *Registry) Restore(encoded [][]byte, now time.Duration) int {
	var restored []*Entry
	for _, text := range encoded {
		e := decodeEntry(text)
		if e == nil || e.finishedAt > now || now-e.finishedAt >= r.Retention || r.entries[e.request.Key] != nil {
			continue
		}
		r.add(e)
		restored = append(restored, e)
	}
	slices.SortFunc(restored, func(a, b *Entry) int { return cmp.Compare(a.finishedAt, b.finishedAt) })
	for _, e := range restored {
		e.link.Value = e
		r.finished.PushBack(&e.link)
	}
	r.Expire(now)
	return len(restored)
}

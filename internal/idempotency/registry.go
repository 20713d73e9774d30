// Package idempotency knows which requests with an idempotency key were sent before and decides what a repeat gets: the response
// of the first, a place beside the first while that is in progress, another run inside the window in which its group drops
// duplicates, or a rejection. No request takes effect twice: what may be a duplicate of one that ran is rejected once the window
// is over.
//
// Clients say when a request was first sent. A restart forgets what was not persisted (Registry.Persist, Registry.Restore), and
// other drivers have registries of their own: an unknown request may be a repeat of one that ran elsewhere. Unless the operator
// says that all repeats of a client come to this driver (Registry.Sticky), an unknown request may therefore only run inside the
// window that began when it was first sent.
package idempotency

import (
	"cmp"
	"slices"
	"time"

	"passtack/internal/chain"
)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts on a request.
const (
	Run        Verdict = iota // it may run, until Entry.Deadline
	Join                      // the first is in progress: the request gets the same response
	Replay                    // the response of the first is known
	KeyReused                 // another request was sent under this key
	TooLate                   // it may have run, and its group may have forgotten that
	FromFuture                // it was first sent later than now: the client's clock is wrong
	AtCapacity                // too many requests are in progress
)

// Outcome tells how a request that was allowed to run ended.
type Outcome uint8

// The outcomes of a request that was allowed to run.
const (
	Completed Outcome = iota // it ran once and has a response
	NotRun                   // it did not run
	Uncertain                // it may have run
)

const (
	maxClockSkew  = 2 * time.Second // by which a client's clock may be ahead
	windowMargin  = 20 * time.Millisecond
	entryOverhead = 256 // bytes that an entry takes besides its key and its response

	// noDeadline is far beyond the time that any request has: the module alone limits its attempts.
	noDeadline = time.Hour
)

// Request is what a client sent.
type Request struct {
	Key       string        // unique among all requests of all clients
	Digest    uint64        // of the content, to detect a key that is used again
	FirstSent time.Duration // as the client says, rounded down to its resolution
	Window    time.Duration // in which the request's group drops duplicates
}

// Registry holds the requests of one driver. It is used by one goroutine.
type Registry struct {
	Sticky        bool          // all repeats of a client come to this driver
	Retention     time.Duration // of finished requests
	MaxBytes      int           // of all entries, beyond which the oldest finished ones expire
	MaxInProgress int           // requests

	// Persist, if set, is called with the encoded entry of a request that has finished and with nil when it has expired.
	Persist func(key string, entry []byte)

	knownSince time.Duration // requests first sent earlier may have been forgotten
	entries    map[string]*Entry
	finished   chain.List[*Entry] // the oldest first
	bytes      int
	inProgress int
}

// New returns a registry that knows no requests from before now.
func New(now time.Duration) *Registry {
	return &Registry{knownSince: now, entries: make(map[string]*Entry)}
}

// Begin decides on a request. The entry is set with Run, Join and Replay. After Run, Finish has to be called.
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
	r.run(e)
	return Run, e
}

func (r *Registry) beginUnknown(q Request, now time.Duration) (Verdict, *Entry) {
	e := &Entry{request: q}
	e.link.Value = e
	if verdict := r.admit(e, now); verdict != Run {
		return verdict, nil
	}
	r.add(e)
	r.run(e)
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

// deadline returns until when attempts may begin: while the group drops duplicates, unless the request certainly has not run.
func (r *Registry) deadline(e *Entry, now time.Duration) time.Duration {
	if r.Sticky && !e.mayHaveRun && e.request.FirstSent > r.knownSince {
		return now + noDeadline
	}
	return e.request.FirstSent + e.request.Window - windowMargin
}

func (r *Registry) run(e *Entry) {
	e.state = inProgress
	r.inProgress++
}

func (r *Registry) add(e *Entry) {
	r.entries[e.request.Key] = e
	r.bytes += e.size()
}

// Finish reports the outcome of a request that Begin let run and returns those who wait for the same response.
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
		e.mayHaveRun = e.mayHaveRun || outcome == Uncertain
	}
	r.finished.PushBack(&e.link)
	r.persist(e.request.Key, e.encode())
	r.Expire(now)
	return waiters
}

// Expire forgets requests whose retention is over, and the oldest finished ones while there is no space for all. Forgotten
// requests are treated as unknown ones from then on, even if Sticky is set.
func (r *Registry) Expire(now time.Duration) {
	for link := r.finished.Front(); link != nil; link = r.finished.Front() {
		e := link.Value
		if now-e.finishedAt < r.Retention && r.bytes <= r.MaxBytes {
			return
		}
		link.Remove()
		delete(r.entries, e.request.Key)
		r.bytes -= e.size()
		r.knownSince = max(r.knownSince, e.request.FirstSent)
		r.persist(e.request.Key, nil)
	}
}

func (r *Registry) persist(key string, entry []byte) {
	if r.Persist != nil {
		r.Persist(key, entry)
	}
}

// Usage is what a registry holds.
type Usage struct {
	Entries    int
	InProgress int
	Bytes      int
}

// Usage returns what the registry holds now.
func (r *Registry) Usage() Usage {
	return Usage{Entries: len(r.entries), InProgress: r.inProgress, Bytes: r.bytes}
}

// Restore adds entries that an earlier process persisted and returns how many it could use. Responses are replayed. All other
// requests count as ones that may have run, since they may have been sent again after they were persisted. Entries from the
// future are ignored: the clock went back.
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

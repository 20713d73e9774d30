package soak

import (
	"fmt"
	"sync"
	"time"
)

// ending is how a request ended for its client.
type ending uint8

const (
	open         ending = iota // nothing has come yet
	answered                   // a final answer of any kind
	clientLeft                 // the client closed the connection or cancelled the request
	connectionAt               // the connection ended without an answer
	outOfTime                  // the client waited for half a second beyond its deadline in vain
)

// request is what one client asked, and what became of it.
type request struct {
	id       string
	class    class
	token    string
	life     int // of the driver
	limit    time.Duration
	sent     time.Time // when its last byte was written
	ended    time.Time
	how      ending
	answer   string // SQLSTATE of an error, "ok" or ""
	cause    error  // of the end of the connection
	arrivals []arrival
}

// arrival is one attempt as a member saw it.
type arrival struct {
	member int
	at     time.Time
	told   time.Duration // the deadline that it was told
	ran    bool

	rejected bool // answered as a write that it cannot run, since it is no primary
}

// record is what clients and members saw of one run.
type record struct {
	mutex    sync.Mutex
	requests map[string]*request
	order    []*request
	read     map[string]bool // by id: the driver has logged that it read the request
	lives    []*life
	drained  map[int]time.Time // by member: when the driver was told that it drains
	strange  []string
}

// life is one process of the driver.
type life struct {
	started, terminated, killed, ended time.Time
}

func newRecord() *record {
	return &record{requests: make(map[string]*request), read: make(map[string]bool), drained: make(map[int]time.Time)}
}

func (r *record) asked(q *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

// end notes how a request ended; what comes after that is a second answer.
func (r *record) end(q *request, how ending, answer string, cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q.how != open {
		if how == answered && q.how == answered {
			r.strange = append(r.strange, fmt.Sprintf("two answers to %s", q.id))
		}
		return
	}
	q.how, q.answer, q.cause, q.ended = how, answer, cause, time.Now()
}

func (r *record) arrived(id string, a arrival) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q := r.requests[id]; q != nil {
		q.arrivals = append(q.arrivals, a)
	} else {
		r.strange = append(r.strange, "a member was sent an unknown id "+id)
	}
}

// wasRejected notes that a member has answered its latest attempt of a request as one that it cannot run.
func (r *record) wasRejected(id string, member int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.requests[id]
	if q == nil {
		return
	}
	for i := len(q.arrivals) - 1; i >= 0; i-- {
		if q.arrivals[i].member == member {
			q.arrivals[i].rejected = true
			return
		}
	}
}

func (r *record) wasRead(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.read[id] = true
}

func (r *record) drains(member int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.drained[member]; !known {
		r.drained[member] = time.Now()
	}
}

// What the rules allow, and what the test's own scheduling may add.
const (
	afterDeadline = 500 * time.Millisecond // that an answer may be late and only earns nothing
	afterLeaving  = 100 * time.Millisecond // that an attempt may begin after its client has gone
	deadlineSlack = 150 * time.Millisecond // that the deadline told to a member may be too long
	drainGrace    = 400 * time.Millisecond // after the driver was told of a drain
	scheduling    = 60 * time.Millisecond  // of the test's own goroutines
)

// broken names each breach of the rules.
func (r *record) broken(window time.Duration, hold time.Duration) (all []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all = append(all, r.strange...)
	say := func(q *request, format string, args ...any) {
		life := r.lives[q.life]
		at := "before SIGTERM"
		if !life.terminated.IsZero() {
			at = fmt.Sprintf("%d ms after SIGTERM", q.sent.Sub(life.terminated).Milliseconds())
		}
		all = append(all, fmt.Sprintf("%s (%s, sent %s, %d attempts): %s", q.id, q.class.name, at, len(q.arrivals), fmt.Sprintf(format, args...)))
	}
	for _, q := range r.order {
		if q.sent.IsZero() {
			continue
		}
		r.checkAnswer(q, say)
		r.checkAttempts(q, window, hold, say)
	}
	return all
}

// checkAnswer checks that the request got its final answer, or was left unread.
func (r *record) checkAnswer(q *request, say func(*request, string, ...any)) {
	life := r.lives[q.life]
	switch q.how {
	case outOfTime:
		say(q, "lost: no answer %v after its deadline", afterDeadline)
	case connectionAt:
		switch {
		case !life.killed.IsZero() && !q.ended.Before(life.killed):
			say(q, "lost: SIGKILL found it unanswered (read: %t)", r.read[q.id])
		case r.read[q.id] || len(q.arrivals) > 0:
			say(q, "lost: read, and the connection ended without an answer: %v", q.cause)
		}
	case open:
		say(q, "lost: still open when the run ended")
	}
}

// checkAttempts checks what the members saw of the request.
func (r *record) checkAttempts(q *request, window, hold time.Duration, say func(*request, string, ...any)) {
	runs := 0
	var first *arrival // that may have run
	for i, a := range q.arrivals {
		if a.ran {
			runs++
		}
		left := q.limit - a.at.Sub(q.sent)
		if a.told > max(left, 0)+deadlineSlack+scheduling {
			say(q, "deadline: attempt %d is told %v, the client has %v left", i, a.told, left)
		}
		if (q.how == clientLeft || q.how == answered) && a.at.Sub(q.ended) > afterLeaving+hold+scheduling {
			say(q, "lost: attempt %d began %v after the end (%s)", i, a.at.Sub(q.ended), q.answer)
		}
		if drained, ok := r.drained[a.member]; ok && a.at.Sub(drained) > drainGrace+hold+scheduling {
			say(q, "drain: attempt %d at member %d came %v after the drain was told", i, a.member, a.at.Sub(drained))
		}
		if first != nil && q.class.effect == "keyed" && a.at.Sub(first.at) > window+hold+scheduling {
			say(q, "duplicate: attempt %d came %v after the first that may have run, the window is %v", i, a.at.Sub(first.at), window)
		}
		if first == nil && !a.rejected {
			first = &q.arrivals[i]
		}
	}
	if runs > 1 && q.class.effect == "unsafe" {
		say(q, "duplicate: it ran %d times", runs)
	}
}

// count tells how many requests ended in each way.
func (r *record) count() (asked, ok, refused, failed, left, unread int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, q := range r.order {
		asked++
		switch {
		case q.how == answered && q.answer == "ok":
			ok++
		case q.how == answered && (q.answer == "53300" || q.answer == "57P03"):
			refused++
		case q.how == answered:
			failed++
		case q.how == clientLeft:
			left++
		case q.how == connectionAt:
			unread++
		}
	}
	return
}

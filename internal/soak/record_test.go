package soak

import (
	"fmt"
	"sync"
	"time"
)

// requestOutcome describes how a request ended for its client.
type requestOutcome uint8

const (
	unanswered      requestOutcome = iota // no answer yet
	answered                              // a final answer of any kind
	clientLeft                            // the client closed the connection or cancelled the request
	connectionEnded                       // the connection ended without an answer
	clientTimedOut                        // no answer came within answerSlack after the deadline
)

// request is one request of a client, with its attempts and its outcome.
type request struct {
	id           string
	method       method
	token        string
	processIndex int // index of the driver process that the client was connected to
	deadline     time.Duration
	sentAt       time.Time // when its last byte was written
	endedAt      time.Time
	outcome      requestOutcome
	answer       string // "ok", the SQLSTATE of an error, or "" without an answer
	err          error  // cause of connectionEnded
	attempts     []attempt
}

// attempt is an attempt of the driver as a member received it.
type attempt struct {
	member       int
	arrivedAt    time.Time
	sentDeadline time.Duration // time until the deadline, as the driver sent it to the member
	executed     bool

	rejected bool // the member answered that it cannot execute writes, as it is not the primary
}

// record collects what the clients and members of a run observed.
type record struct {
	mutex        sync.Mutex
	requests     map[string]*request
	order        []*request
	readByDriver map[string]bool // by request ID, whether the driver has logged that it read the request
	processes    []*processTimes
	drainNotices map[int]time.Time // by member, when the driver was notified of its drain
	unexpected   []string
}

// processTimes are the times at which one process of the driver changed its state.
type processTimes struct {
	started, terminated, killed, ended time.Time
}

func newRecord() *record {
	return &record{requests: make(map[string]*request), readByDriver: make(map[string]bool), drainNotices: make(map[int]time.Time)}
}

func (r *record) add(q *request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[q.id] = q
	r.order = append(r.order, q)
}

// finish stores the outcome of a request, unless it has one. An answer after an answer is an unexpected event.
func (r *record) finish(q *request, outcome requestOutcome, answer string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q.outcome != unanswered {
		if outcome == answered && q.outcome == answered {
			r.unexpected = append(r.unexpected, fmt.Sprintf("two answers to %s", q.id))
		}
		return
	}
	q.outcome, q.answer, q.err, q.endedAt = outcome, answer, err, time.Now()
}

func (r *record) addAttempt(id string, a attempt) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if q := r.requests[id]; q != nil {
		q.attempts = append(q.attempts, a)
	} else {
		r.unexpected = append(r.unexpected, "a member received an attempt of an unknown request "+id)
	}
}

// markRejected notes that a member rejected its latest attempt of a request as a write that it cannot execute.
func (r *record) markRejected(id string, member int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	q := r.requests[id]
	if q == nil {
		return
	}
	for i := len(q.attempts) - 1; i >= 0; i-- {
		if q.attempts[i].member == member {
			q.attempts[i].rejected = true
			return
		}
	}
}

func (r *record) markRead(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readByDriver[id] = true
}

func (r *record) markDrained(member int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, known := r.drainNotices[member]; !known {
		r.drainNotices[member] = time.Now()
	}
}

// Tolerances of the rules, and of the test itself.
const (
	answerSlack     = 500 * time.Millisecond // for an answer after the deadline, which has no value but is not lost
	attemptSlack    = 100 * time.Millisecond // for an attempt that starts after the end of its request
	deadlineSlack   = 150 * time.Millisecond // for the deadline sent to a member, which may be this much too long
	drainGrace      = 400 * time.Millisecond // for an attempt after the driver was notified of a drain
	schedulingSlack = 60 * time.Millisecond  // scheduling delay of the test's own goroutines
)

// violations returns a description of each violation of the rules for answers, attempts, deadlines, drains and duplicates.
func (r *record) violations(idempotencyWindow time.Duration, pause time.Duration) (all []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all = append(all, r.unexpected...)
	report := func(q *request, format string, args ...any) {
		times := r.processes[q.processIndex]
		sent := "before SIGTERM"
		if !times.terminated.IsZero() {
			sent = fmt.Sprintf("%d ms after SIGTERM", q.sentAt.Sub(times.terminated).Milliseconds())
		}
		all = append(all, fmt.Sprintf("%s (%s, sent %s, %d attempts): %s", q.id, q.method.name, sent, len(q.attempts), fmt.Sprintf(format, args...)))
	}
	for _, q := range r.order {
		if q.sentAt.IsZero() {
			continue
		}
		r.checkAnswer(q, report)
		r.checkAttempts(q, idempotencyWindow, pause, report)
	}
	return all
}

// checkAnswer checks that the request got its final answer, or was never read by the driver.
func (r *record) checkAnswer(q *request, report func(*request, string, ...any)) {
	times := r.processes[q.processIndex]
	switch q.outcome {
	case clientTimedOut:
		report(q, "lost: no answer %v after its deadline", answerSlack)
	case connectionEnded:
		switch {
		case !times.killed.IsZero() && !q.endedAt.Before(times.killed):
			report(q, "lost: not answered before SIGKILL (read by the driver: %t)", r.readByDriver[q.id])
		case r.readByDriver[q.id] || len(q.attempts) > 0:
			report(q, "lost: read by the driver, but the connection ended without an answer: %v", q.err)
		}
	case unanswered:
		report(q, "lost: not answered when the run ended")
	}
}

// checkAttempts checks the attempts that members received of the request.
func (r *record) checkAttempts(q *request, idempotencyWindow, pause time.Duration, report func(*request, string, ...any)) {
	executions := 0
	var firstNotRejected *attempt // first attempt that may have been executed
	for i, a := range q.attempts {
		if a.executed {
			executions++
		}
		remaining := q.deadline - a.arrivedAt.Sub(q.sentAt)
		if a.sentDeadline > max(remaining, 0)+deadlineSlack+schedulingSlack {
			report(q, "deadline: attempt %d has a deadline of %v, the client has %v left", i, a.sentDeadline, remaining)
		}
		if (q.outcome == clientLeft || q.outcome == answered) && a.arrivedAt.Sub(q.endedAt) > attemptSlack+pause+schedulingSlack {
			report(q, "lost: attempt %d came %v after the end of the request (%s)", i, a.arrivedAt.Sub(q.endedAt), q.answer)
		}
		if noticed, ok := r.drainNotices[a.member]; ok && a.arrivedAt.Sub(noticed) > drainGrace+pause+schedulingSlack {
			report(q, "drain: attempt %d at member %d came %v after the drain notice", i, a.member, a.arrivedAt.Sub(noticed))
		}
		if firstNotRejected != nil && q.method.effect == "keyed" && a.arrivedAt.Sub(firstNotRejected.arrivedAt) > idempotencyWindow+pause+schedulingSlack {
			report(q, "duplicate: attempt %d came %v after the first that may have been executed, the idempotency window is %v", i, a.arrivedAt.Sub(firstNotRejected.arrivedAt), idempotencyWindow)
		}
		if firstNotRejected == nil && !a.rejected {
			firstNotRejected = &q.attempts[i]
		}
	}
	if executions > 1 && q.method.effect == "unsafe" {
		report(q, "duplicate: executed %d times", executions)
	}
}

// countOutcomes counts the requests by outcome.
func (r *record) countOutcomes() (sent, ok, pushedBack, failed, left, unread int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, q := range r.order {
		sent++
		switch {
		case q.outcome == answered && q.answer == "ok":
			ok++
		case q.outcome == answered && (q.answer == "53300" || q.answer == "57P03"):
			pushedBack++
		case q.outcome == answered:
			failed++
		case q.outcome == clientLeft:
			left++
		case q.outcome == connectionEnded:
			unread++
		}
	}
	return
}

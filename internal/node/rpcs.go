package node

import (
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/settings"
	"passtack/internal/slots"
	"passtack/rules"
)

// rpc is one RPC of a client, from its arrival until it is answered and all its attempts have ended.
type rpc struct {
	listener     *listener
	client       driver.Client
	pool         driver.MemberPool // of the members of its group
	deadline     time.Duration
	group        driver.Group
	attempts     []uint32 // the pool's handles, by number of the attempt
	inFlight     int      // attempts that have not ended
	answered     bool
	answerForced bool           // the module was asked to answer it before its deadline
	lastOutcome  driver.Outcome // of the attempt that ended last
	overdueTimer loop.Timer
}

// conclusion is how an RPC got its one final answer.
type conclusion uint8

const (
	concludedOK         conclusion = iota
	concludedPushedBack            // rejected: it has not run
	concludedAborted               // failed: it may have run
	concludedLeft                  // the client does not wait any more
)

var (
	conclusionNames    = [...]string{"ok", "pushed_back", "aborted", "left"}
	conclusionCounters = [...]string{"rpcs_ok", "rpcs_pushed_back", "rpcs_aborted", "rpcs_left"}
)

// String returns the conclusion as the log has it.
func (c conclusion) String() string { return conclusionNames[c] }

// rpcTable has the RPCs that are being served. Listeners hand it RPCs (driver.RPCHandler), pools report the ends of attempts
// (driver.OutcomeHandler), and the module acts on RPCs through it (moduleHost).
type rpcTable struct {
	node        *Node
	table       slots.Map[*rpc]
	maxAttempts int           // of one RPC
	tick        time.Duration // between two ticks of the module, in which it answers what is at its deadline
}

// applySettings takes what the site's settings say of RPCs. The module's tick changes with a restart only.
func (t *rpcTable) applySettings(site *Site) {
	t.maxAttempts = int(settings.New(site.Settings).Number("caps.attempts", 1))
}

// Len returns how many RPCs are being served.
func (t *rpcTable) Len() int { return t.table.Len() }

// Count adds one to a counter.
func (t *rpcTable) Count(name string) { t.node.Count(name) }

// FormOf reports the protocol that the members of a group speak.
func (t *rpcTable) FormOf(group driver.Group) driver.Form { return t.node.formOf(group) }

// MembersNow is the time by the clock of the members.
func (t *rpcTable) MembersNow() time.Duration { return t.node.MembersNow() }

// Take admits an RPC and hands it to the module. It returns 0 for an RPC that was rejected.
func (t *rpcTable) Take(by driver.Front, from driver.Client, method driver.Method, group driver.Group,
	session driver.Session, arrivedAt, deadline, sinceWrite time.Duration, repeat bool) driver.RPC {
	n := t.node
	n.Count("rpcs_taken")
	deadline, accepts := n.shutdown.bound(deadline)
	if !accepts {
		return t.reject(by, from, "rpcs_rejected_in_shutdown", "shutdown")
	}
	l := n.listeners.byFront[by]
	n.recovery.GroupUsed(uint16(group))
	if !l.admits() {
		return t.reject(by, from, "rpcs_over_quota", "over_quota")
	}
	q := &rpc{listener: l, client: from, pool: n.members.poolOf(group), deadline: deadline, group: group}
	handle := t.table.Insert(q)
	if handle == 0 {
		return t.reject(by, from, "rpcs_table_full", "table_full")
	}
	id := driver.RPC(handle)
	l.rpcsTaken++
	l.rpcs++
	q.overdueTimer = n.loop.At(deadline+t.tick, func() { t.answerOverdue(id) })
	n.traceTaken(id, from, deadline)
	n.timer.resume()
	n.module.Take(rules.Request{
		ID: id, Method: method, Group: group, Session: session,
		ArrivedAt: arrivedAt, Deadline: deadline, SinceWrite: sinceWrite, ClientRetry: repeat,
	})
	return id
}

// reject answers an RPC that is not handed to the module.
func (t *rpcTable) reject(by driver.Front, from driver.Client, counter, reason string) driver.RPC {
	t.Count(counter)
	slog.Debug("RPC rejected", "client", from, "reason", reason)
	by.PushBack(from, 0)
	return 0
}

func (t *rpcTable) get(id driver.RPC) *rpc { return t.table.Get(slots.Handle(id)) }

// answerOverdue answers an RPC that a panic in the module has left without an answer. It may have run.
func (t *rpcTable) answerOverdue(id driver.RPC) {
	q := t.get(id)
	if q == nil || q.answered {
		return
	}
	t.Count("rpcs_overdue")
	slog.Error("RPC overdue", "rpc", id, "attempts", len(q.attempts))
	t.abort(id)
	t.node.module.ClientLeft(id)
}

// conclude marks an RPC as answered for good. It returns nil if the RPC had its answer already.
func (t *rpcTable) conclude(id driver.RPC, how conclusion) *rpc {
	q := t.get(id)
	if q == nil || q.answered {
		return nil
	}
	n := t.node
	q.answered = true
	q.withdraw()
	n.loop.Cancel(q.overdueTimer)
	q.listener.rpcs--
	n.Count(conclusionCounters[how])
	n.traceAnswered(id, q, how)
	n.recovery.RPCAnswered(how == concludedPushedBack)
	t.removeIfDone(id, q)
	return q
}

// withdraw takes back all attempts that are not written yet, whether or not those in flight may be cancelled.
func (q *rpc) withdraw() {
	for _, attempt := range q.attempts {
		q.pool.Withdraw(attempt)
	}
}

func (t *rpcTable) removeIfDone(id driver.RPC, q *rpc) {
	if q.answered && q.inFlight == 0 {
		t.table.Remove(slots.Handle(id))
	}
}

// ClientLeft takes note that the client does not wait for its answer any more.
func (t *rpcTable) ClientLeft(id driver.RPC) {
	if t.conclude(id, concludedLeft) != nil {
		t.node.module.ClientLeft(id)
	}
}

// ClientHalfClosed takes note that the client has closed its sending side: no more attempts are sent, and the client may still be
// answered by those in flight.
func (t *rpcTable) ClientHalfClosed(id driver.RPC) {
	q := t.get(id)
	if q == nil || q.answered {
		return
	}
	t.Count("clients_half_closed")
	t.node.module.ClientHalfClosed(id)
	q.withdraw()
}

// pushBack answers an RPC that has not run, and may be retried.
func (t *rpcTable) pushBack(id driver.RPC, retryAfter time.Duration) {
	if q := t.conclude(id, concludedPushedBack); q != nil {
		q.listener.front.PushBack(q.client, retryAfter)
	}
}

// abort answers an RPC that has failed, and may have run.
func (t *rpcTable) abort(id driver.RPC) {
	if q := t.conclude(id, concludedAborted); q != nil {
		q.listener.front.Abort(q.client)
	}
}

// forceAnswers has each RPC answered now that is not: its client would wait, but the driver stops. Each is answered in a call
// of its own, so that a panic of the module at one does not affect the others.
func (t *rpcTable) forceAnswers() {
	t.table.ForEach(func(handle slots.Handle, q *rpc) {
		if !q.answered {
			t.node.loop.Defer(func() { t.forceAnswer(driver.RPC(handle)) })
		}
	})
}

// forceAnswer lets the module answer an RPC, and aborts the RPC if that has failed before.
func (t *rpcTable) forceAnswer(id driver.RPC) {
	q := t.get(id)
	if q == nil || q.answered {
		return
	}
	if q.answerForced {
		t.abort(id)
		return
	}
	q.answerForced = true
	t.Count("rpcs_answer_forced")
	t.node.module.AnswerNow(id)
}

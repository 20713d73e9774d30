package node

import (
	"log/slog"
	"slices"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/settings"
	"passtack/internal/slotmap"
	"passtack/rules"
)

// rpc is the state of one RPC, kept from its arrival until it is answered and all its attempts have ended.
type rpc struct {
	listener     *listener
	client       driver.Client
	pool         driver.MemberPool // connection pool of the members of its group
	deadline     time.Duration
	group        driver.Group
	attempts     []uint32 // the pool's handles, indexed by the number of the attempt
	inFlight     int      // attempts that have not ended
	answered     bool
	mayHaveRun   bool           // an attempt that has ended may have run
	answerForced bool           // whether the module was told to answer it before its deadline
	lastOutcome  driver.Outcome // outcome of the attempt that ended last
	overdueTimer eventloop.Timer
}

// conclusion is the kind of final answer that an RPC received.
type conclusion uint8

const (
	concludedOK         conclusion = iota
	concludedPushedBack            // rejected; a retry is safe
	concludedAborted               // failed; the RPC may have run
	concludedLeft                  // no answer; the client no longer waited for one
)

var (
	conclusionNames    = [...]string{"ok", "pushed_back", "aborted", "left"}
	conclusionCounters = [...]string{"rpcs_ok", "rpcs_pushed_back", "rpcs_aborted", "rpcs_left"}
)

// String returns the name of the conclusion for the log.
func (c conclusion) String() string { return conclusionNames[c] }

// rpcTable stores the RPCs that are being served. Listeners pass new RPCs to it (driver.RPCHandler), connection pools report the ends of
// attempts to it (driver.OutcomeHandler), and moduleHost calls it on behalf of the module.
type rpcTable struct {
	node        *Node
	table       slotmap.Map[*rpc]
	maxAttempts int           // limit for one RPC
	tick        time.Duration // time between two ticks of the module, on which it answers RPCs that have reached their deadline
}

// applySettings applies the site's settings for RPCs. A change of the module's tick takes effect at the next start only.
func (t *rpcTable) applySettings(site *Site) {
	t.maxAttempts = int(settings.New(site.Settings).Number("caps.attempts", 1))
}

// Len returns the number of RPCs that are being served.
func (t *rpcTable) Len() int { return t.table.Len() }

// Count adds one to a counter.
func (t *rpcTable) Count(name string) { t.node.Count(name) }

// FormOf returns the protocol that the members of a group speak.
func (t *rpcTable) FormOf(group driver.Group) driver.Form { return t.node.formOf(group) }

// MembersNow returns the current time on the members' clock.
func (t *rpcTable) MembersNow() time.Duration { return t.node.MembersNow() }

// Take admits an RPC and passes it to the module. It returns 0 if the RPC was rejected, which the client has been told.
func (t *rpcTable) Take(front driver.Front, client driver.Client, incoming *driver.IncomingRPC) driver.RPC {
	n := t.node
	n.Count("rpcs_taken")
	deadline, accepts := n.shutdown.bound(incoming.Deadline)
	if !accepts {
		return t.reject(front, client, incoming, "rpcs_rejected_in_shutdown", "shutdown")
	}
	l := n.listeners.byFront[front]
	n.recovery.GroupUsed(uint16(incoming.Group))
	if !l.admits() {
		return t.reject(front, client, incoming, "rpcs_over_quota", "over_quota")
	}
	q := &rpc{listener: l, client: client, pool: n.members.poolOf(incoming.Group), deadline: deadline, group: incoming.Group}
	handle := t.table.Insert(q)
	if handle == 0 {
		return t.reject(front, client, incoming, "rpcs_table_full", "table_full")
	}
	id := driver.RPC(handle)
	l.rpcsTaken++
	l.rpcs++
	q.overdueTimer = n.loop.At(deadline+t.tick, func() { t.answerOverdue(id) })
	n.traceTaken(id, client, deadline)
	n.timer.resume()
	n.module.Take(rules.Request{
		ID: id, Connection: front.Connection(client), Method: incoming.Method, Group: incoming.Group, Session: incoming.Session, Key: incoming.Key,
		ArrivedAt: incoming.ArrivedAt, Deadline: deadline, SinceWrite: incoming.SinceWrite, ClientRetry: incoming.ClientRetry,
	})
	return id
}

// reject answers an RPC that is not passed to the module.
func (t *rpcTable) reject(front driver.Front, client driver.Client, incoming *driver.IncomingRPC, counter, reason string) driver.RPC {
	t.Count(counter)
	slog.Debug("RPC rejected", "client", client, "reason", reason)
	if t.node.module.EarlierTryMayHaveRun(incoming.Group, incoming.Key) {
		front.Abort(client, driver.MayHaveRun)
	} else {
		front.PushBack(client, driver.NotRun, 0)
	}
	return 0
}

func (t *rpcTable) get(id driver.RPC) *rpc { return t.table.Get(slotmap.Handle(id)) }

// answerOverdue aborts an RPC that has no answer although its deadline has passed, as after a panic in the module. The RPC may have
// run.
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

// conclude records that an RPC has its final answer. It returns nil if the RPC had one already.
func (t *rpcTable) conclude(id driver.RPC, result conclusion) *rpc {
	q := t.get(id)
	if q == nil || q.answered {
		return nil
	}
	n := t.node
	q.answered = true
	q.withdraw()
	n.loop.Cancel(q.overdueTimer)
	q.listener.rpcs--
	n.Count(conclusionCounters[result])
	n.traceAnswered(id, q, result)
	n.recovery.RPCAnswered(result == concludedPushedBack)
	t.removeIfDone(id, q)
	return q
}

// withdraw ends all attempts that are not completely written yet. This does not depend on whether attempts in flight may be cancelled.
func (q *rpc) withdraw() {
	for _, attempt := range q.attempts {
		q.pool.Withdraw(attempt)
	}
}

// execution returns whether an attempt of the RPC may have run. Attempts that are not completely written have to be withdrawn before.
func (q *rpc) execution() driver.Execution {
	mayRun := func(attempt uint32) bool { return q.pool.Execution(attempt) == driver.MayHaveRun }
	if q.mayHaveRun || slices.ContainsFunc(q.attempts, mayRun) {
		return driver.MayHaveRun
	}
	return driver.NotRun
}

func (t *rpcTable) removeIfDone(id driver.RPC, q *rpc) {
	if q.answered && q.inFlight == 0 {
		t.table.Remove(slotmap.Handle(id))
	}
}

// ClientLeft handles a client that no longer waits for its answer.
func (t *rpcTable) ClientLeft(id driver.RPC) {
	if t.conclude(id, concludedLeft) != nil {
		t.node.module.ClientLeft(id)
	}
}

// ClientHalfClosed handles a client that has closed its sending side: no further attempts are sent, but the client still receives the
// answer of an attempt in flight.
func (t *rpcTable) ClientHalfClosed(id driver.RPC) {
	q := t.get(id)
	if q == nil || q.answered {
		return
	}
	t.Count("clients_half_closed")
	t.node.module.ClientHalfClosed(id)
	q.withdraw()
}

// pushBack gives an RPC its final answer: it is rejected, and the client may safely retry it.
func (t *rpcTable) pushBack(id driver.RPC, retryAfter time.Duration) {
	if q := t.conclude(id, concludedPushedBack); q != nil {
		q.listener.front.PushBack(q.client, q.execution(), retryAfter)
	}
}

// abort gives an RPC its final answer: it has failed and may have run.
func (t *rpcTable) abort(id driver.RPC) {
	if q := t.conclude(id, concludedAborted); q != nil {
		q.listener.front.Abort(q.client, q.execution())
	}
}

// forceAnswers has all unanswered RPCs answered before their deadlines, because the driver stops. Each RPC is handled in a separate
// call of the event loop, so that a panic of the module on one RPC does not affect the others.
func (t *rpcTable) forceAnswers() {
	t.table.ForEach(func(handle slotmap.Handle, q *rpc) {
		if !q.answered {
			t.node.loop.Defer(func() { t.forceAnswer(driver.RPC(handle)) })
		}
	})
}

// forceAnswer tells the module to answer an RPC. If the module was told before and has not answered, the RPC is aborted.
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

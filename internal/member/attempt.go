package member

import (
	"fmt"
	"log/slog"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/linkedlist"
	"passtack/internal/slotmap"
)

// failureLogInterval is the minimum time between log lines about failures at one member. Counters include every failure.
const failureLogInterval = 5 * time.Second

// attempt is one attempt of an RPC at a member, or a health check.
type attempt struct {
	handle        slotmap.Handle
	rpc           driver.RPC
	number        int  // index among the RPC's attempts
	probe         bool // it is a health check and has no RPC
	target        driver.Member
	startedAt     time.Duration
	writeDeadline time.Duration // time by which it must be fully written
	deadline      time.Duration // time by which its response is due
	connection    *connection
	request       *driver.MemberRequest // a copy, kept until it is written
	timer         eventloop.Timer
	queued        linkedlist.Element[*attempt] // element of the member's queue
	cancelled     bool                         // its outcome is reported later in this iteration of the loop
	cancelledRun  driver.Execution             // once it is cancelled
}

// Attempt sends a request to a member with the time that is left until the deadline. A request that is not fully written by
// writeDeadline is cut off. Each attempt ends with exactly one outcome, never during this call. The result is the attempt's
// handle for Cancel and Withdraw.
func (p *Pool) Attempt(rpc driver.RPC, number int, target driver.Member, writeDeadline, deadline time.Duration, request *driver.MemberRequest) uint32 {
	m := p.members[target]
	a := &attempt{
		rpc: rpc, number: number, target: target, startedAt: p.loop.Now(),
		writeDeadline: min(writeDeadline, deadline), deadline: deadline,
	}
	a.handle = p.attempts.Insert(a)
	if a.handle == 0 || m == nil || a.writeDeadline <= p.loop.Clock() {
		p.loop.Defer(func() { p.finish(a, driver.NotSent, nil) })
		return uint32(a.handle)
	}
	p.expireAt(a, a.writeDeadline)
	if c := p.takeIdle(m); c != nil {
		c.attempt, a.connection = a, c
		c.write(request)
		return uint32(a.handle)
	}
	a.request = request.Copy()
	if m.waiting.Len() == m.barriers && p.connectLimiter.MayConnect(&m.connections) {
		p.connect(a, m)
	} else {
		p.enqueue(a, m)
	}
	return uint32(a.handle)
}

// Probe sends a health check to a member. It does not wait for a connection: it ends unsent if no connection is idle and
// none may be opened.
func (p *Pool) Probe(target driver.Member) {
	m, now := p.members[target], p.loop.Now()
	if m == nil {
		return
	}
	deadline := now + p.connectTimeout
	a := &attempt{probe: true, target: target, startedAt: now, writeDeadline: deadline, deadline: deadline}
	a.handle = p.attempts.Insert(a)
	if a.handle == 0 {
		p.loop.Defer(func() { p.finish(a, driver.NotSent, nil) })
		return
	}
	p.expireAt(a, a.deadline)
	if c := p.takeIdle(m); c != nil {
		c.attempt, a.connection = a, c
		c.writeProbe()
		return
	}
	if p.connectLimiter.AtMemberLimit(&m.connections) {
		p.loop.Defer(func() { p.finish(a, driver.NotSent, nil) })
		return
	}
	p.connect(a, m)
}

// Cancel ends an attempt later in this iteration of the loop. Nothing of its request is written after the call.
func (p *Pool) Cancel(handle uint32) {
	a := p.attempts.Get(slotmap.Handle(handle))
	if a == nil || a.cancelled {
		return
	}
	outcome := driver.NotSent
	if a.execution() == driver.MayHaveRun {
		outcome = driver.Cancelled
	}
	a.cancelled, a.cancelledRun = true, a.execution()
	p.detach(a)
	p.loop.Cancel(a.timer)
	p.loop.Defer(func() { p.finish(a, outcome, nil) })
}

// Withdraw cancels an attempt that is not fully written. It does not count against the member.
func (p *Pool) Withdraw(handle uint32) {
	if p.Execution(handle) == driver.NotRun {
		p.Cancel(handle)
	}
}

// Execution returns whether an attempt that has no outcome yet may have run: only one that was fully written may.
func (p *Pool) Execution(handle uint32) driver.Execution {
	a := p.attempts.Get(slotmap.Handle(handle))
	if a == nil {
		return driver.NotRun
	}
	return a.execution()
}

func (a *attempt) execution() driver.Execution {
	switch {
	case a.cancelled:
		return a.cancelledRun
	case a.progress() >= FullyWritten:
		return driver.MayHaveRun
	}
	return driver.NotRun
}

func (a *attempt) progress() Progress {
	if a.connection == nil || a.connection.attempt != a {
		return NotConnected
	}
	return a.connection.progress()
}

// expireAt schedules the check of the attempt against its deadlines, in place of an earlier schedule.
func (p *Pool) expireAt(a *attempt, at time.Duration) {
	p.loop.Cancel(a.timer)
	a.timer = p.loop.At(at, func() { p.expire(a.handle) })
}

// expire ends an attempt that missed a deadline. One that was fully written in time has until its response is due.
func (p *Pool) expire(handle slotmap.Handle) {
	a := p.attempts.Get(handle)
	if a == nil {
		return
	}
	if a.queued.Value != nil && a.connection == nil {
		p.outcomes.Count("connects_wait_expired")
	}
	progress, errorReceived, outcome := a.progress(), false, driver.Failed
	if progress >= FullyWritten && p.loop.Now() < a.deadline {
		p.expireAt(a, a.deadline)
		return
	}
	if a.connection != nil {
		errorReceived, outcome = a.connection.errorReceived, a.connection.outcome
	}
	p.detach(a)
	if errorReceived {
		p.finish(a, outcome, nil)
		return
	}
	p.fail(a, Failure{progress, true, errTimeout})
}

// detach separates an attempt from its connection, which is closed unless it is still being established.
func (p *Pool) detach(a *attempt) {
	a.queued.Remove()
	c := a.connection
	if c == nil || c.attempt != a {
		return
	}
	if c.attempt = nil; c.established {
		c.close()
	}
}

// fail ends an attempt that got no complete response, and logs the failure.
func (p *Pool) fail(a *attempt, failure Failure) {
	if m, now := p.members[a.target], p.loop.Now(); m != nil && now >= m.failureLogAfter {
		m.failureLogAfter = now + failureLogInterval
		slog.Warn("attempt failed", "member", fmt.Sprintf("%012x", uint64(a.target)), "endpoint", m.address,
			"progress", progressNames[failure.Progress], "timed_out", failure.TimedOut, "cause", failure.Cause)
	}
	p.finish(a, failure.Outcome(), nil)
}

// finish reports the outcome of an attempt to the outcome handler, once. The response is nil if none was received.
func (p *Pool) finish(a *attempt, outcome driver.Outcome, response *Response) {
	if a.handle != 0 && p.attempts.Get(a.handle) != a {
		return
	}
	p.attempts.Remove(a.handle)
	p.loop.Cancel(a.timer)
	if response == nil {
		response = &p.response
		response.reset(false)
	}
	took := p.loop.Now() - a.startedAt
	if a.probe {
		p.outcomes.Probed(a.target, outcome == driver.OK, took, response.LoadReport)
		return
	}
	p.outcomes.AttemptEnded(a.rpc, a.number, a.target, outcome, took, response.Answer.Position, response.Role, response.LoadReport,
		&response.Answer)
}

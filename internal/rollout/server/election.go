package server

import (
	"log/slog"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/lease"
)

const (
	leaseName = "configuration"
	// LeaseTTL is the duration of the writer's lease. After a crash of the writer there may be no writer for that long.
	LeaseTTL = time.Second
)

// election takes part in granting the writer's lease, both as a voter and as a candidate. It implements lease.Host.
type election struct {
	server    *Server
	voter     *lease.Voter // nil until the machine has joined
	candidate *lease.Candidate
	timer     eventloop.Timer // for the candidate's next step; nil: none
}

func (e *election) init(s *Server, seed uint64) {
	e.server = s
	self := lease.Holder{Node: s.node(), Incarnation: seed | 1}
	e.candidate = lease.NewCandidate(e, self, leaseName, LeaseTTL, e.voterSet(), seed)
}

func (e *election) voterSet() lease.VoterSet {
	set := lease.VoterSet{Version: 1, Voters: []lease.Node{e.server.node()}}
	for _, p := range e.server.config.Peers {
		set.Voters = append(set.Voters, lease.NodeOf(p.Name))
	}
	return set
}

// startIfJoined starts to vote and to request the lease once the replica has joined. Before that, this machine does not know which fencing
// tokens have been used.
func (e *election) startIfJoined() {
	s := e.server
	if e.voter != nil || !s.machine.Joined() {
		return
	}
	highest := max(s.persisted.Promises[leaseName].FencingToken, s.persisted.State.Promised.Number)
	promises := map[string]lease.Promise{leaseName: {FencingToken: highest, VoterSetVersion: 1}}
	e.voter = lease.NewVoter(e, s.node(), e.voterSet(), LeaseTTL, promises, s.loop.Clock())
	e.campaign(0)
	slog.Info("control machine votes", "machine", s.config.Name, "version", s.machine.Committed().Version)
}

// campaign requests the lease after a delay.
func (e *election) campaign(delay time.Duration) {
	e.candidate.Campaign(e.server.loop.Clock() + delay)
}

// resign releases the lease, or stops requesting it.
func (e *election) resign() { e.candidate.Resign(e.server.loop.Clock()) }

// holder returns the lease holder known to this machine, or 0 if it knows none.
func (e *election) holder() lease.Node {
	return e.candidate.Status(e.server.loop.Clock()).Holder.Node
}

// schedule sets the timer for the candidate's next step.
func (e *election) schedule() {
	l := e.server.loop
	l.Cancel(e.timer)
	e.timer = nil
	next, pending := e.candidate.NextWake()
	if !pending || e.server.stopped {
		return
	}
	e.timer = l.At(max(next, l.Now()+time.Millisecond), func() {
		e.timer = nil
		e.candidate.Wake(l.Clock(), uint64(l.Clock()/time.Millisecond))
		e.schedule()
	})
}

// receive passes a message to the candidate or to the voter.
func (e *election) receive(from lease.Node, m lease.Message) {
	now := e.server.loop.Clock()
	if m.Op != lease.Request && m.Op != lease.Release {
		e.candidate.Receive(from, m, now)
		e.schedule()
	} else if e.voter != nil {
		e.voter.Receive(from, m, now)
	}
}

// Send implements lease.Host.
func (e *election) Send(to lease.Node, m lease.Message) {
	s := e.server
	if to == s.node() {
		s.loop.Defer(func() { e.receive(to, m) })
		return
	}
	s.sendEnvelope(to, envelope{Lease: lease.AppendMessage(nil, m)})
}

// Persist implements lease.Host.
func (e *election) Persist(name string, p lease.Promise, done func(error)) {
	e.server.persisted.Promises[name] = p
	e.server.persist(done)
}

// Acquired implements lease.Host.
func (e *election) Acquired(_ string, fencingToken uint64) {
	slog.Info("control machine acquired the write lease", "machine", e.server.config.Name, "fencing_token", fencingToken)
	e.server.machine.LeaseGained(fencingToken)
}

// Lost implements lease.Host.
func (e *election) Lost(_ string, fencingToken uint64) {
	slog.Info("control machine lost its write lease", "machine", e.server.config.Name, "fencing_token", fencingToken)
	e.server.machine.LeaseLost()
}

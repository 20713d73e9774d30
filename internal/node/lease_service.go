package node

import (
	"log/slog"
	"slices"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/lease"
	"passtack/internal/peers"
)

// leaseService takes part in the leases of the fleet: it votes if the operator's file names this driver as a voter, and is a candidate for
// the lease of each task.
type leaseService struct {
	node        *Node
	messenger   *messenger
	config      *config.Leases
	holder      lease.Holder // this process
	voter       *lease.Voter
	candidacies []candidacy
	wakeTimer   eventloop.Timer // of the candidates
	promises    *promiseStorage // nil: promises are not stored

	helloInterval time.Duration
}

// candidacy is a candidate with the task that runs while it holds the lease.
type candidacy struct {
	*lease.Candidate
	name string // of the lease and its task
	task leaseTask
}

// leaseTask is work for the holder of a lease.
type leaseTask interface {
	// acquired starts the work.
	acquired()
	// lost stops the work.
	lost()
	// receive processes a message from another driver that is neither a Hello nor a lease message. It may be for another task.
	receive(from lease.Node, m peers.Message)
	// status returns a struct for operators, which is encoded as JSON.
	status() any
}

// startLeases starts voting and campaigning, if the operator's file asks for leases.
func (n *Node) startLeases() {
	config := n.config.Leases
	if config == nil {
		return
	}
	now := n.loop.Now()
	s := &leaseService{
		node: n, messenger: n.messenger, config: config,
		holder: lease.Holder{Node: lease.Node(n.messenger.self), Incarnation: n.messenger.incarnation},
	}
	var promises map[string]lease.Promise
	s.promises, promises = n.openPromises(config.DataDir, s.schedule)
	s.voter = lease.NewVoter(s, s.holder.Node, config.VoterSet(), config.MaxTTL, promises, now)
	for i, t := range config.Tasks {
		candidate := lease.NewCandidate(s, s.holder, t.Name, config.TTL, config.VoterSet(), n.site.Seed+uint64(i)+1)
		s.candidacies = append(s.candidacies, candidacy{Candidate: candidate, name: t.Name, task: s.newTask(candidate, t)})
		candidate.Campaign(now)
	}
	n.leases = s
	s.sendHello()
	s.schedule()
}

func (s *leaseService) newTask(candidate *lease.Candidate, t config.Task) leaseTask {
	if t.Name == config.WatchDiscovery {
		return &discoveryWatcher{leases: s, candidate: candidate}
	}
	return newSummaryTask(s, candidate, t)
}

// clock returns the current time. The time of the loop's iteration is older by as long as the iteration has been delayed, so neither a
// promise nor a held lease may be timed by it.
func (s *leaseService) clock() time.Duration { return s.node.loop.Clock() }

// handleMessage processes a message of any kind other than membership and drain gossip.
func (s *leaseService) handleMessage(m peers.Message) {
	from := lease.Node(m.From)
	switch m.Kind {
	case peers.Hello:
		s.handleHello(from, m)
	case peers.Lease:
		message, ok := lease.ParseMessage(m.Body)
		if !ok {
			s.node.Count("peer_messages_rejected")
			return
		}
		s.handleLeaseMessage(from, message)
	default:
		for _, c := range s.candidacies {
			c.task.receive(from, m)
		}
	}
}

func (s *leaseService) handleLeaseMessage(from lease.Node, m lease.Message) {
	if m.Op == lease.Request || m.Op == lease.Release {
		s.voter.Receive(from, m, s.clock())
		return
	}
	for _, c := range s.candidacies {
		c.Receive(from, m, s.clock())
	}
	s.schedule()
}

// sendTo sends a message to one driver whose address is known, or to this one.
func (s *leaseService) sendTo(to lease.Node, kind peers.Kind, body []byte) {
	if to == s.holder.Node {
		m := peers.Message{Kind: kind, From: uint64(s.holder.Node), Incarnation: s.holder.Incarnation, Body: body}
		s.node.loop.Defer(func() { s.handleMessage(m) })
		return
	}
	if address, known := s.messenger.addresses.Address(uint64(to)); known {
		s.messenger.send(address, kind, body)
	}
}

// Send implements lease.CandidateHost and lease.VoterHost.
func (s *leaseService) Send(to lease.Node, m lease.Message) {
	s.sendTo(to, peers.Lease, lease.AppendMessage(nil, m))
}

// Persist implements lease.VoterHost.
func (s *leaseService) Persist(name string, p lease.Promise, done func(error)) {
	if s.promises == nil {
		done(nil)
		return
	}
	s.promises.persist(name, p, done)
}

// Acquired implements lease.CandidateHost.
func (s *leaseService) Acquired(name string, fencingToken uint64) {
	s.node.Count("leases_acquired")
	slog.Info("lease acquired", "lease", name, "fencing_token", fencingToken)
	s.taskOf(name).acquired()
}

// Lost implements lease.CandidateHost.
func (s *leaseService) Lost(name string, fencingToken uint64) {
	s.node.Count("leases_lost")
	slog.Info("lease lost", "lease", name, "fencing_token", fencingToken)
	s.taskOf(name).lost()
}

func (s *leaseService) taskOf(name string) leaseTask {
	i := slices.IndexFunc(s.candidacies, func(c candidacy) bool { return c.name == name })
	return s.candidacies[i].task
}

// schedule sets the timer for the earliest wake time of all candidates.
func (s *leaseService) schedule() {
	l := s.node.loop
	l.Cancel(s.wakeTimer)
	s.wakeTimer = nil
	first, found := time.Duration(0), false
	for _, c := range s.candidacies {
		if at, ok := c.NextWake(); ok && (!found || at < first) {
			first, found = at, true
		}
	}
	if found {
		s.wakeTimer = l.At(max(first, l.Now()+time.Millisecond), s.wake)
	}
}

func (s *leaseService) wake() {
	s.wakeTimer = nil
	for _, c := range s.candidacies {
		now := s.clock()
		c.Wake(now, uint64(now/time.Millisecond))
	}
	s.schedule()
}

// changeVoters replaces the set of voters by that of a reloaded file.
func (s *leaseService) changeVoters(config *config.Leases) {
	s.config = config
	s.voter.ChangeVoters(config.VoterSet())
	for _, c := range s.candidacies {
		c.ChangeVoters(config.VoterSet())
	}
	slog.Info("lease voters changed", "version", config.Version, "voters", len(config.Voters), "former", len(config.FormerVoters))
	s.schedule()
}

// resign releases all leases, before the driver stops.
func (s *leaseService) resign() {
	for _, c := range s.candidacies {
		c.Resign(s.clock())
	}
	s.schedule()
}

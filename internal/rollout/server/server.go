// Package server is one control machine on a loop: it ties the register of versions (internal/rollout) and the lease under which one machine
// writes (internal/lease) to drivers, publishers and the other machines, all over one HTTP port, and to a disk. It decides nothing.
package server

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"passtack/internal/chain"
	"passtack/internal/httpwire"
	"passtack/internal/lease"
	"passtack/internal/loop"
	"passtack/internal/rollout"
)

// Peer is another control machine.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Place is what one control machine is told of itself and of the others.
type MachineConfig struct {
	Fleet, Name string
	Listen      netip.AddrPort
	Peers       []Peer
	DataDir     string
}

// Kept is what has to outlast a machine.
type PersistedState struct {
	State    rollout.State
	Promises map[string]lease.Promise
}

// Disk brings what has to outlast a machine to where it does. Then is called on the loop, in the order of the calls, never at once.
type Storage interface {
	Persist(k PersistedState, then func(error))
}

const (
	leaseName = "configuration"
	// LeaseLasts is how long the machine that writes holds the lease, and so how long nobody may write after it has died.
	LeaseTTL = time.Second

	idleTimeout       = 5 * time.Second        // in which a request has to come whole, and the next one after an answer
	ackTimeout        = time.Second            // in which another machine has to take a message, else the connection is made anew
	redialInterval    = 100 * time.Millisecond // between two tries to reach another machine
	maxUnacknowledged = 64                     // messages to another machine that are not taken yet
	maxLongPoll       = 5 * time.Second
	maxEnvelopeBytes  = 2*rollout.MaxTextBytes + 64<<10 // bytes of a message, as JSON quotes the text
)

var limits = httpwire.Limits{Target: 64, Head: 2 << 10, Fields: 24, Body: maxEnvelopeBytes}

// Server is one control machine.
type Server struct {
	loop           *loop.Loop
	config         MachineConfig
	self           lease.Holder
	incarnation    uint64 // as other machines are told: from the time of day on, so that it rises from start to start
	storage        Storage
	persisted      PersistedState
	machine        *rollout.Machine
	voter          *lease.Voter // nil: the machine does not vote yet
	candidate      *lease.Candidate
	candidateTimer loop.Due // of the asker
	seed           uint64
	peers          map[lease.Node]*peerLink
	names          map[lease.Node]string
	roster         *rollout.Roster
	watchers       chain.Chain[*session]
	publishers     map[uint64]*session
	lastRequestID  uint64
	listener       *loop.Listener
	counters       map[string]int
	stopped        bool

	// Counts is called when a version is known to count on this machine.
	OnCommit func(version uint64)
}

// New opens the port. Kept is what the disk has; a machine that has nothing learns from the others before it votes.
func New(l *loop.Loop, config MachineConfig, storage Storage, persisted PersistedState, seed uint64) (*Server, error) {
	s := &Server{loop: l, config: config, storage: storage, persisted: persisted, seed: seed, self: lease.Holder{Node: lease.NodeOf(config.Name), Incarnation: seed | 1}, incarnation: uint64(l.Clock() / time.Millisecond),
		peers: make(map[lease.Node]*peerLink), names: map[lease.Node]string{lease.NodeOf(config.Name): config.Name}, roster: rollout.NewRoster(),
		publishers: make(map[uint64]*session), counters: make(map[string]int), OnCommit: func(uint64) {}}
	if s.persisted.Promises == nil {
		s.persisted.Promises = make(map[string]lease.Promise)
	}
	var others []lease.Node
	for _, p := range config.Peers {
		node := lease.NodeOf(p.Name)
		others = append(others, node)
		s.peers[node], s.names[node] = &peerLink{server: s, address: p.Address}, p.Name
	}
	s.machine = rollout.New(s, s.self.Node, others, persisted.State)
	s.candidate = lease.NewCandidate(leaseHost{s}, s.self, leaseName, LeaseTTL, s.voterSet(), seed)
	var err error
	s.listener, err = l.Listen(config.Listen, limits.Head+limits.Body, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
		g := &session{server: s}
		if g.stream = open(g); g.stream != nil {
			g.startIdleTimer()
		}
	}, func(bool) {})
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", config.Listen, err)
	}
	s.heartbeat()
	return s, nil
}

func (s *Server) voterSet() lease.VoterSet {
	set := lease.VoterSet{Version: 1, Voters: []lease.Node{s.self.Node}}
	for _, p := range s.config.Peers {
		set.Voters = append(set.Voters, lease.NodeOf(p.Name))
	}
	return set
}

// beat does again what may have been lost.
func (s *Server) heartbeat() {
	if s.stopped {
		return
	}
	if s.voter == nil && s.machine.Joined() { // only then is it known which numbers are used up
		kept := map[string]lease.Promise{leaseName: {FencingToken: max(s.persisted.Promises[leaseName].FencingToken, s.persisted.State.Promised.Number), VoterSetVersion: 1}}
		s.voter = lease.NewVoter(leaseHost{s}, s.self.Node, s.voterSet(), LeaseTTL, kept, s.loop.Clock())
		s.candidate.Campaign(s.loop.Clock())
		slog.Info("votes", "machine", s.config.Name, "version", s.machine.Committed().Version)
	}
	s.machine.Tick()
	for _, k := range s.peers {
		k.checkAckTimeout()
	}
	s.scheduleCandidate()
	s.loop.At(s.loop.Now()+rollout.HeartbeatInterval, s.heartbeat)
}

// plan wakes the asker when it is time.
func (s *Server) scheduleCandidate() {
	s.loop.Forget(s.candidateTimer)
	s.candidateTimer = nil
	if at, wants := s.candidate.NextWake(); wants && !s.stopped {
		s.candidateTimer = s.loop.At(max(at, s.loop.Now()+time.Millisecond), func() {
			s.candidateTimer = nil
			s.candidate.Wake(s.loop.Clock(), uint64(s.loop.Clock()/time.Millisecond))
			s.scheduleCandidate()
		})
	}
}

// Started says so in the log.
func (s *Server) LogStarted() {
	slog.Info("started", "machine", s.config.Name, "listen", s.config.Listen, "version", s.machine.Committed().Version, "votes", s.machine.Joined())
}

// End gives the lease back and takes nothing more.
func (s *Server) Shutdown() {
	s.candidate.Resign(s.loop.Clock())
	s.stopped = true
	s.listener.Close()
	s.scheduleCandidate()
}

// Counted gives a counter.
func (s *Server) Counter(what string) int { return s.counters[what] }

// Register is what is known of versions here, for who looks.
func (s *Server) Machine() *rollout.Machine { return s.machine }

// envelope is what machines send each other: one of both.
type envelope struct {
	Fleet       string           `json:"fleet"`
	From        string           `json:"from"`
	Incarnation uint64           `json:"life"`
	Lease       []byte           `json:"lease,omitempty"`
	Rollout     *rollout.Message `json:"rollout,omitempty"`
}

func (s *Server) sendEnvelope(to lease.Node, e envelope) {
	k := s.peers[to]
	if k == nil {
		return
	}
	e.Fleet, e.From, e.Incarnation = s.config.Fleet, s.config.Name, s.incarnation
	text, err := json.Marshal(e)
	if err != nil {
		slog.Error("message_unwritable", "cause", err)
		return
	}
	k.send(text)
}

// Send is the way of the register, sending that of leases.
func (s *Server) Send(to lease.Node, m rollout.Message) { s.sendEnvelope(to, envelope{Rollout: &m}) }

func (s *Server) sendLease(to lease.Node, m lease.Message) {
	if to == s.self.Node {
		s.loop.Later(func() { s.receiveLease(to, m) })
		return
	}
	s.sendEnvelope(to, envelope{Lease: lease.AppendMessage(nil, m)})
}

// hear takes a message of another machine; false: it is none of this fleet.
func (s *Server) receive(text []byte) bool {
	var e envelope
	if json.Unmarshal(text, &e) != nil || e.Fleet != s.config.Fleet || e.Incarnation == 0 || s.peers[lease.NodeOf(e.From)] == nil {
		return false
	}
	from := lease.NodeOf(e.From)
	switch {
	case e.Rollout != nil:
		s.machine.Receive(from, e.Incarnation, *e.Rollout, s.loop.Now())
	case e.Lease != nil:
		m, ok := lease.ParseMessage(e.Lease)
		if !ok {
			return false
		}
		s.receiveLease(from, m)
	}
	return true
}

func (s *Server) receiveLease(from lease.Node, m lease.Message) {
	if m.Op != lease.Request && m.Op != lease.Release {
		s.candidate.Receive(from, m, s.loop.Clock())
		s.scheduleCandidate()
	} else if s.voter != nil {
		s.voter.Receive(from, m, s.loop.Clock())
	}
}

// Keep is how the register brings its state to the disk.
func (s *Server) Persist(state rollout.State, then func(error)) {
	s.persisted.State = state
	s.persist(then)
}

func (s *Server) persist(then func(error)) {
	k := PersistedState{State: s.persisted.State, Promises: make(map[string]lease.Promise)}
	for name, p := range s.persisted.Promises {
		k.Promises[name] = p
	}
	s.storage.Persist(k, func(err error) {
		if err != nil {
			s.counters["not_kept"]++
			slog.Warn("configuration_not_kept", "machine", s.config.Name, "cause", err)
		}
		if !s.stopped {
			then(err)
		}
	})
}

// voting is the voter's host, whose names are those of the register's as well.
type leaseHost struct{ *Server }

func (v leaseHost) Send(to lease.Node, m lease.Message) { v.sendLease(to, m) }

func (v leaseHost) Persist(name string, p lease.Promise, done func(error)) {
	v.persisted.Promises[name] = p
	v.persist(done)
}

func (v leaseHost) Acquired(_ string, fencingToken uint64) {
	slog.Info("writes", "machine", v.config.Name, "number", fencingToken)
	v.machine.LeaseGained(fencingToken)
}

func (v leaseHost) Lost(_ string, fencingToken uint64) {
	slog.Info("writes_no_more", "machine", v.config.Name, "number", fencingToken)
	v.machine.LeaseLost()
}

// Outlived takes a later life, where the clock was set back between two.
func (s *Server) IncarnationSuperseded(incarnation uint64) {
	if incarnation > s.incarnation {
		slog.Warn("clock_set_back", "machine", s.config.Name, "by_ms", incarnation-s.incarnation)
		s.incarnation = incarnation + 1
	}
}

// StepDown gives the lease back, and asks for it anew.
func (s *Server) StepDown() {
	s.loop.Later(func() {
		s.candidate.Resign(s.loop.Clock())
		if !s.stopped {
			s.candidate.Campaign(s.loop.Clock() + LeaseTTL)
		}
		s.scheduleCandidate()
	})
}

// Newest answers all who wait for it.
func (s *Server) VersionCommitted(e rollout.Entry) {
	slog.Info("version", "machine", s.config.Name, "version", e.Version, "bytes", len(e.Text))
	s.OnCommit(e.Version)
	for at := s.watchers.First(); at != nil; {
		g := at.Value
		at = at.Next()
		g.versionCommitted()
	}
}

// Answer tells a publisher.
func (s *Server) PublishDone(requestID uint64, o rollout.Outcome, version uint64) {
	g := s.publishers[requestID]
	if delete(s.publishers, requestID); g != nil {
		g.publishDone(o, version)
	}
}

// Writer names the machine that writes, as far as this one knows.
func (s *Server) writer() string {
	if s.machine.IsWriter() {
		return s.config.Name
	}
	return s.names[s.candidate.Status(s.loop.Clock()).Holder.Node]
}

// Driver is one as a machine tells of it. Times are in milliseconds.
type DriverStatus struct {
	Name            string   `json:"driver"`
	Version         uint64   `json:"version"`
	VersionAgeMS    int64    `json:"since_ms"` // ago
	LastSeenMS      int64    `json:"heard_ms"` // ago
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	NeedsRestart    []string `json:"needs_restart,omitempty"`
}

// Status is what a machine tells of itself and of the drivers that ask it.
type Status struct {
	Machine  string         `json:"machine"`
	Writer   string         `json:"writer"` // "": it knows of none
	Votes    bool           `json:"votes"`
	Fresh    bool           `json:"fresh"` // it may say that no newer version counts
	Version  uint64         `json:"version"`
	Floor    uint64         `json:"floor"` // the newest that any driver has had
	Drivers  []DriverStatus `json:"drivers"`
	Counters map[string]int `json:"counts"`
}

func (s *Server) status() Status {
	now := s.loop.Now()
	t := Status{Machine: s.config.Name, Writer: s.writer(), Votes: s.voter != nil, Fresh: s.machine.IsFresh(now), Version: s.machine.Committed().Version,
		Floor: s.persisted.State.Floor, Counters: s.counters, Drivers: []DriverStatus{}}
	for _, d := range s.roster.All(now) {
		t.Drivers = append(t.Drivers, DriverStatus{d.Driver, d.Version, (now - d.VersionSince).Milliseconds(), (now - d.LastSeen).Milliseconds(), d.RejectedVersion, d.RejectReason, slices.Clone(d.NeedsRestart)})
	}
	return t
}

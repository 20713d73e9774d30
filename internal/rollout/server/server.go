// Package server runs one control machine on an event loop. It connects the replica of package rollout, and the lease under which one machine
// is the writer (package lease), to storage and, over one HTTP port, to drivers, publishers and the other machines.
package server

import (
	"fmt"
	"log/slog"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/lease"
	"passtack/internal/linkedlist"
	"passtack/internal/rollout"
)

// PersistedState is the state of a machine that must survive a restart.
type PersistedState struct {
	State    rollout.State
	Promises map[string]lease.Promise // by lease name
}

// Storage writes a machine's state durably. The done functions are called on the loop in the order of the Persist calls, each after its Persist
// call has returned.
type Storage interface {
	Persist(state PersistedState, done func(error))
}

const (
	idleTimeout = 5 * time.Second // to receive a complete request, counted from the connect or the last answer
	maxLongPoll = 5 * time.Second // limit for the wait that a watch request asks for

	// maxEnvelopeBytes is the maximum size of a message of another machine. JSON escapes may double the size of the text.
	maxEnvelopeBytes = 2*rollout.MaxTextBytes + 64<<10
)

var limits = httpwire.Limits{Target: 64, Head: 2 << 10, Fields: 24, Body: maxEnvelopeBytes}

// Names of the counters that Status reports.
const (
	counterPolls           = "calls"
	counterBytesReceived   = "bytes_received"
	counterBytesSent       = "bytes_sent"
	counterInvalidRequests = "invalid_requests"
	counterRejectedTexts   = "rejected_texts"
	counterStaleAnswers    = "stale_answers"
	counterPersistFailures = "persist_failures"
	counterMessagesSent    = "messages_sent"
	counterMessagesDropped = "messages_dropped"
	counterPublishPrefix   = "publish_" // prefix; the outcome follows
)

// Server is one control machine. Its methods must be called on its loop.
type Server struct {
	loop        *eventloop.Loop
	config      MachineConfig
	incarnation uint64 // wall-clock time of the start in milliseconds, so that it rises with each start
	storage     Storage
	persisted   PersistedState
	machine     *rollout.Machine
	election    election
	peers       map[lease.Node]*peerLink
	roster      *rollout.Roster
	watchers    linkedlist.List[*session] // sessions that wait for a newer version
	publishers  publishers
	listener    *eventloop.Listener
	counters    map[string]int
	stopped     bool

	// OnCommit is called when this machine learns of a newer committed version.
	OnCommit func(version uint64)
}

// New starts a control machine with the state found in its storage, and listens on its address.
func New(l *eventloop.Loop, config MachineConfig, storage Storage, persisted PersistedState, seed uint64) (*Server, error) {
	s := &Server{
		loop:        l,
		config:      config,
		incarnation: uint64(l.Clock() / time.Millisecond),
		storage:     storage,
		persisted:   persisted,
		peers:       make(map[lease.Node]*peerLink),
		roster:      rollout.NewRoster(),
		publishers:  publishers{sessions: make(map[uint64]*session)},
		counters:    make(map[string]int),
		OnCommit:    func(uint64) {},
	}
	if s.persisted.Promises == nil {
		s.persisted.Promises = make(map[string]lease.Promise)
	}
	var peers []lease.Node
	for _, p := range config.Peers {
		node := lease.NodeOf(p.Name)
		peers = append(peers, node)
		s.peers[node] = &peerLink{server: s, name: p.Name, address: p.Address}
	}
	s.machine = rollout.New(s, s.node(), peers, persisted.State)
	s.election.init(s, seed)
	var err error
	s.listener, err = l.Listen(config.Listen, limits.Head+limits.Body, eventloop.AcceptLimiter{}, s.accept, func(bool) {})
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", config.Listen, err)
	}
	s.heartbeat()
	return s, nil
}

// node returns the lease node ID of this machine, which is derived from its name.
func (s *Server) node() lease.Node { return lease.NodeOf(s.config.Name) }

func (s *Server) accept(open func(eventloop.Handler) *eventloop.Stream) {
	c := &session{server: s}
	c.stream = open(c)
	if c.stream != nil {
		c.startIdleTimer()
	}
}

// heartbeat runs the periodic work of the machine every rollout.HeartbeatInterval.
func (s *Server) heartbeat() {
	if s.stopped {
		return
	}
	s.election.startIfJoined()
	s.machine.Tick()
	for _, p := range s.peers {
		p.checkAckTimeout()
	}
	s.election.schedule()
	s.loop.At(s.loop.Now()+rollout.HeartbeatInterval, s.heartbeat)
}

// LogStarted logs that the machine has started.
func (s *Server) LogStarted() {
	slog.Info("started", "machine", s.config.Name, "listen", s.config.Listen, "version", s.machine.Committed().Version, "votes", s.machine.Joined())
}

// Shutdown releases the lease and closes the port.
func (s *Server) Shutdown() {
	s.election.resign()
	s.stopped = true
	s.listener.Close()
	s.election.schedule()
}

// Counter returns the value of a counter by its name.
func (s *Server) Counter(name string) int { return s.counters[name] }

// Machine returns the replica, for inspection.
func (s *Server) Machine() *rollout.Machine { return s.machine }

// Send implements rollout.Host.
func (s *Server) Send(to lease.Node, m rollout.Message) { s.sendEnvelope(to, envelope{Rollout: &m}) }

// Persist implements rollout.Host.
func (s *Server) Persist(state rollout.State, done func(error)) {
	s.persisted.State = state
	s.persist(done)
}

// persist writes a copy of the current state to storage. After Shutdown, done is no longer called.
func (s *Server) persist(done func(error)) {
	state := PersistedState{State: s.persisted.State, Promises: make(map[string]lease.Promise)}
	for name, p := range s.persisted.Promises {
		state.Promises[name] = p
	}
	s.storage.Persist(state, func(err error) {
		if err != nil {
			s.counters[counterPersistFailures]++
			slog.Warn("control machine could not persist its state", "machine", s.config.Name, "cause", err)
		}
		if !s.stopped {
			done(err)
		}
	})
}

// IncarnationSuperseded implements rollout.Host. It occurs if the clock was set back between two starts.
func (s *Server) IncarnationSuperseded(incarnation uint64) {
	if incarnation > s.incarnation {
		slog.Warn("clock was set back before the start", "machine", s.config.Name, "by_ms", incarnation-s.incarnation)
		s.incarnation = incarnation + 1
	}
}

// StepDown implements rollout.Host. It releases the lease, and requests it again after LeaseTTL.
func (s *Server) StepDown() {
	s.loop.Defer(func() {
		s.election.resign()
		if !s.stopped {
			s.election.campaign(LeaseTTL)
		}
		s.election.schedule()
	})
}

// VersionCommitted implements rollout.Host. It answers all watches that wait for a newer version.
func (s *Server) VersionCommitted(e rollout.Entry) {
	slog.Info("configuration version committed", "machine", s.config.Name, "version", e.Version, "bytes", len(e.Text))
	s.OnCommit(e.Version)
	for link := s.watchers.Front(); link != nil; {
		watcher := link.Value
		link = link.Next()
		watcher.versionCommitted()
	}
}

// PublishDone implements rollout.Host. It answers the publisher.
func (s *Server) PublishDone(requestID uint64, o rollout.Outcome, version uint64) {
	if publisher := s.publishers.remove(requestID); publisher != nil {
		publisher.publishDone(o, version)
	}
}

// writer returns the name of the writer, or "" if this machine knows none.
func (s *Server) writer() string {
	if s.machine.IsWriter() {
		return s.config.Name
	}
	holder := s.election.holder()
	if holder == s.node() {
		return s.config.Name
	}
	if p := s.peers[holder]; p != nil {
		return p.name
	}
	return ""
}

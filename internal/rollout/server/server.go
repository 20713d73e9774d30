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
	Name string
	At   netip.AddrPort
}

// Place is what one control machine is told of itself and of the others.
type Place struct {
	Fleet, Name string
	Listen      netip.AddrPort
	Peers       []Peer
	Folder      string
}

// Kept is what has to outlast a machine.
type Kept struct {
	State    rollout.State
	Promises map[string]lease.Promise
}

// Disk brings what has to outlast a machine to where it does. Then is called on the loop, in the order of the calls, never at once.
type Disk interface {
	Keep(k Kept, then func(error))
}

const (
	leaseName = "configuration"
	// LeaseLasts is how long the machine that writes holds the lease, and so how long nobody may write after it has died.
	LeaseLasts = time.Second

	patience  = 5 * time.Second        // in which a request has to come whole, and the next one after an answer
	linger    = time.Second            // in which another machine has to take a message, else the connection is made anew
	dialAgain = 100 * time.Millisecond // between two tries to reach another machine
	mostOut   = 64                     // messages to another machine that are not taken yet
	mostHold  = 5 * time.Second
	envelopes = 2*rollout.LongestText + 64<<10 // bytes of a message, as JSON quotes the text
)

var limits = httpwire.Limits{Target: 64, Head: 2 << 10, Fields: 24, Body: envelopes}

// Server is one control machine.
type Server struct {
	loop     *loop.Loop
	place    Place
	me       lease.Holder
	life     uint64 // as other machines are told: from the time of day on, so that it rises from start to start
	disk     Disk
	kept     Kept
	register *rollout.Machine
	voter    *lease.Voter // nil: the machine does not vote yet
	asker    *lease.Candidate
	due      loop.Due // of the asker
	seed     uint64
	links    map[lease.Node]*link
	names    map[lease.Node]string
	roster   *rollout.Roster
	watching chain.Chain[*guest]
	tickets  map[uint64]*guest
	ticket   uint64
	listener *loop.Listener
	counts   map[string]int
	ended    bool

	// Counts is called when a version is known to count on this machine.
	Counts func(version uint64)
}

// New opens the port. Kept is what the disk has; a machine that has nothing learns from the others before it votes.
func New(l *loop.Loop, place Place, disk Disk, kept Kept, seed uint64) (*Server, error) {
	s := &Server{loop: l, place: place, disk: disk, kept: kept, seed: seed, me: lease.Holder{Node: lease.NodeOf(place.Name), Incarnation: seed | 1}, life: uint64(l.Clock() / time.Millisecond),
		links: make(map[lease.Node]*link), names: map[lease.Node]string{lease.NodeOf(place.Name): place.Name}, roster: rollout.NewRoster(),
		tickets: make(map[uint64]*guest), counts: make(map[string]int), Counts: func(uint64) {}}
	if s.kept.Promises == nil {
		s.kept.Promises = make(map[string]lease.Promise)
	}
	var others []lease.Node
	for _, p := range place.Peers {
		node := lease.NodeOf(p.Name)
		others = append(others, node)
		s.links[node], s.names[node] = &link{server: s, to: p.At}, p.Name
	}
	s.register = rollout.New(s, s.me.Node, others, kept.State)
	s.asker = lease.NewCandidate(voting{s}, s.me, leaseName, LeaseLasts, s.voters(), seed)
	var err error
	s.listener, err = l.Listen(place.Listen, limits.Head+limits.Body, loop.Door{}, func(open func(loop.Handler) *loop.Stream) {
		g := &guest{server: s}
		if g.stream = open(g); g.stream != nil {
			g.await()
		}
	}, func(bool) {})
	if err != nil {
		return nil, fmt.Errorf("listen %s: %w", place.Listen, err)
	}
	s.beat()
	return s, nil
}

func (s *Server) voters() lease.VoterSet {
	set := lease.VoterSet{Version: 1, Voters: []lease.Node{s.me.Node}}
	for _, p := range s.place.Peers {
		set.Voters = append(set.Voters, lease.NodeOf(p.Name))
	}
	return set
}

// beat does again what may have been lost.
func (s *Server) beat() {
	if s.ended {
		return
	}
	if s.voter == nil && s.register.Joined() { // only then is it known which numbers are used up
		kept := map[string]lease.Promise{leaseName: {FencingToken: max(s.kept.Promises[leaseName].FencingToken, s.kept.State.Promised.Number), VoterSetVersion: 1}}
		s.voter = lease.NewVoter(voting{s}, s.me.Node, s.voters(), LeaseLasts, kept, s.loop.Clock())
		s.asker.Campaign(s.loop.Clock())
		slog.Info("votes", "machine", s.place.Name, "version", s.register.Newest().Version)
	}
	s.register.Wake()
	for _, k := range s.links {
		k.look()
	}
	s.plan()
	s.loop.At(s.loop.Now()+rollout.Beat, s.beat)
}

// plan wakes the asker when it is time.
func (s *Server) plan() {
	s.loop.Forget(s.due)
	s.due = nil
	if at, wants := s.asker.NextWake(); wants && !s.ended {
		s.due = s.loop.At(max(at, s.loop.Now()+time.Millisecond), func() {
			s.due = nil
			s.asker.Wake(s.loop.Clock(), uint64(s.loop.Clock()/time.Millisecond))
			s.plan()
		})
	}
}

// Started says so in the log.
func (s *Server) Started() {
	slog.Info("started", "machine", s.place.Name, "listen", s.place.Listen, "version", s.register.Newest().Version, "votes", s.register.Joined())
}

// End gives the lease back and takes nothing more.
func (s *Server) End() {
	s.asker.Resign(s.loop.Clock())
	s.ended = true
	s.listener.Close()
	s.plan()
}

// Counted gives a counter.
func (s *Server) Counted(what string) int { return s.counts[what] }

// Register is what is known of versions here, for who looks.
func (s *Server) Register() *rollout.Machine { return s.register }

// envelope is what machines send each other: one of both.
type envelope struct {
	Fleet   string           `json:"fleet"`
	From    string           `json:"from"`
	Life    uint64           `json:"life"`
	Lease   []byte           `json:"lease,omitempty"`
	Rollout *rollout.Message `json:"rollout,omitempty"`
}

func (s *Server) post(to lease.Node, e envelope) {
	k := s.links[to]
	if k == nil {
		return
	}
	e.Fleet, e.From, e.Life = s.place.Fleet, s.place.Name, s.life
	text, err := json.Marshal(e)
	if err != nil {
		slog.Error("message_unwritable", "cause", err)
		return
	}
	k.send(text)
}

// Send is the way of the register, sending that of leases.
func (s *Server) Send(to lease.Node, m rollout.Message) { s.post(to, envelope{Rollout: &m}) }

func (s *Server) sendLease(to lease.Node, m lease.Message) {
	if to == s.me.Node {
		s.loop.Later(func() { s.hearLease(to, m) })
		return
	}
	s.post(to, envelope{Lease: lease.AppendMessage(nil, m)})
}

// hear takes a message of another machine; false: it is none of this fleet.
func (s *Server) hear(text []byte) bool {
	var e envelope
	if json.Unmarshal(text, &e) != nil || e.Fleet != s.place.Fleet || e.Life == 0 || s.links[lease.NodeOf(e.From)] == nil {
		return false
	}
	from := lease.NodeOf(e.From)
	switch {
	case e.Rollout != nil:
		s.register.Take(from, e.Life, *e.Rollout, s.loop.Now())
	case e.Lease != nil:
		m, ok := lease.ParseMessage(e.Lease)
		if !ok {
			return false
		}
		s.hearLease(from, m)
	}
	return true
}

func (s *Server) hearLease(from lease.Node, m lease.Message) {
	if m.Op != lease.Request && m.Op != lease.Release {
		s.asker.Receive(from, m, s.loop.Clock())
		s.plan()
	} else if s.voter != nil {
		s.voter.Receive(from, m, s.loop.Clock())
	}
}

// Keep is how the register brings its state to the disk.
func (s *Server) Keep(state rollout.State, then func(error)) {
	s.kept.State = state
	s.keep(then)
}

func (s *Server) keep(then func(error)) {
	k := Kept{State: s.kept.State, Promises: make(map[string]lease.Promise)}
	for name, p := range s.kept.Promises {
		k.Promises[name] = p
	}
	s.disk.Keep(k, func(err error) {
		if err != nil {
			s.counts["not_kept"]++
			slog.Warn("configuration_not_kept", "machine", s.place.Name, "cause", err)
		}
		if !s.ended {
			then(err)
		}
	})
}

// voting is the voter's host, whose names are those of the register's as well.
type voting struct{ *Server }

func (v voting) Send(to lease.Node, m lease.Message) { v.sendLease(to, m) }

func (v voting) Persist(name string, p lease.Promise, done func(error)) {
	v.kept.Promises[name] = p
	v.keep(done)
}

func (v voting) Acquired(_ string, fencingToken uint64) {
	slog.Info("writes", "machine", v.place.Name, "number", fencingToken)
	v.register.Gained(fencingToken)
}

func (v voting) Lost(_ string, fencingToken uint64) {
	slog.Info("writes_no_more", "machine", v.place.Name, "number", fencingToken)
	v.register.Lost()
}

// Outlived takes a later life, where the clock was set back between two.
func (s *Server) Outlived(life uint64) {
	if life > s.life {
		slog.Warn("clock_set_back", "machine", s.place.Name, "by_ms", life-s.life)
		s.life = life + 1
	}
}

// StepDown gives the lease back, and asks for it anew.
func (s *Server) StepDown() {
	s.loop.Later(func() {
		s.asker.Resign(s.loop.Clock())
		if !s.ended {
			s.asker.Campaign(s.loop.Clock() + LeaseLasts)
		}
		s.plan()
	})
}

// Newest answers all who wait for it.
func (s *Server) Newest(e rollout.Entry) {
	slog.Info("version", "machine", s.place.Name, "version", e.Version, "bytes", len(e.Text))
	s.Counts(e.Version)
	for at := s.watching.First(); at != nil; {
		g := at.Value
		at = at.Next()
		g.wakes()
	}
}

// Answer tells a publisher.
func (s *Server) Answer(ticket uint64, o rollout.Outcome, version uint64) {
	g := s.tickets[ticket]
	if delete(s.tickets, ticket); g != nil {
		g.published(o, version)
	}
}

// Writer names the machine that writes, as far as this one knows.
func (s *Server) writer() string {
	if s.register.Writes() {
		return s.place.Name
	}
	return s.names[s.asker.Status(s.loop.Clock()).Holder.Node]
}

// Driver is one as a machine tells of it. Times are in milliseconds.
type Driver struct {
	Name    string   `json:"driver"`
	Version uint64   `json:"version"`
	SinceMS int64    `json:"since_ms"` // ago
	HeardMS int64    `json:"heard_ms"` // ago
	Refused uint64   `json:"refused,omitempty"`
	Why     string   `json:"why,omitempty"`
	Restart []string `json:"needs_restart,omitempty"`
}

// Status is what a machine tells of itself and of the drivers that ask it.
type Status struct {
	Machine string         `json:"machine"`
	Writer  string         `json:"writer"` // "": it knows of none
	Votes   bool           `json:"votes"`
	Fresh   bool           `json:"fresh"` // it may say that no newer version counts
	Version uint64         `json:"version"`
	Floor   uint64         `json:"floor"` // the newest that any driver has had
	Drivers []Driver       `json:"drivers"`
	Counts  map[string]int `json:"counts"`
}

func (s *Server) status() Status {
	now := s.loop.Now()
	t := Status{Machine: s.place.Name, Writer: s.writer(), Votes: s.voter != nil, Fresh: s.register.Fresh(now), Version: s.register.Newest().Version,
		Floor: s.kept.State.Floor, Counts: s.counts, Drivers: []Driver{}}
	for _, d := range s.roster.All(now) {
		t.Drivers = append(t.Drivers, Driver{d.Driver, d.Version, (now - d.Since).Milliseconds(), (now - d.Heard).Milliseconds(), d.Refused, d.Why, slices.Clone(d.Restart)})
	}
	return t
}

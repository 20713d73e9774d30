package node

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/lease"
	"passtack/internal/list"
	"passtack/internal/loop"
	"passtack/internal/operator"
	"passtack/internal/peers"
)

// watcher is the task of watching discovery for all: its holder tells which revision it has, and the others ask only once that is a newer
// one than theirs. What is told is no list: each driver hears what members do from discovery itself. While the holder is silent, or has
// heard nothing from discovery, all watch by themselves.
type watcher struct {
	leases *leases
	number int // among the tasks
	holds  bool
	told   int64    // revision told last
	due    loop.Due // of the holder's next word, or of the end of a rest
	rests  bool
	asked  time.Duration // when this driver last asked though another watches
}

const (
	words     = 300 * time.Millisecond // between two words of the holder
	noWord    = time.Second            // without one all watch by themselves
	noticing  = 20 * time.Millisecond  // in which the holder notices that its list is a newer one
	distrusts = list.Longest           // after which a driver that rests asks by itself: the holder may be wrong or know less
)

func newWatcher(l *leases, i int) *watcher { return &watcher{leases: l, number: i} }

func (w *watcher) gained(uint64) {
	w.holds = true
	w.rest(false)
	w.say()
}

func (w *watcher) lost() {
	w.holds = false
	w.leases.node.loop.Forget(w.due)
}

// say tells the others, at once when the list is a newer one.
func (w *watcher) say() {
	l := w.leases
	n := l.node
	if !w.holds {
		return
	}
	if _, ok := l.held(w.number); !ok {
		return
	}
	now := n.loop.Now()
	if rev := n.list.Rev(); n.list.Fresh() && (rev != w.told || now-w.asked >= words) {
		w.told, w.asked = rev, now
		n.Count("revisions_told")
		l.write(driver.EveryPeer, peers.Revision, binary.LittleEndian.AppendUint64(nil, uint64(rev)))
	}
	n.loop.Forget(w.due) // who lost the lease and has it again goes on once
	w.due = n.loop.At(now+noticing, w.say)
}

func (w *watcher) heard(from lease.Node, letter peers.Message) {
	if letter.Kind != peers.Revision || len(letter.Body) != 8 || w.holds {
		return
	}
	n := w.leases.node
	now := n.loop.Now()
	n.loop.Forget(w.due)
	w.due = n.loop.At(now+noWord, func() { w.rest(false) })
	if rev := int64(binary.LittleEndian.Uint64(letter.Body)); rev > n.list.Rev() || now-w.asked >= distrusts {
		w.asked = now
		n.list.Catch()
	}
	w.rest(true)
}

// rest lets this driver's own watch rest, or go on.
func (w *watcher) rest(on bool) {
	if w.rests == on {
		return
	}
	w.rests = on
	if on {
		w.asked = w.leases.node.loop.Now()
	}
	w.leases.node.list.Rest(on)
}

func (w *watcher) tell() any {
	return map[string]any{"rests": w.rests, "revision": w.leases.node.list.Rev()}
}

// summary is the task of collecting what the drivers of a fleet say of themselves, and bringing it to a place of the operator's by HTTP.
// That place refuses with 409 what comes under a lower number than it has seen.
type summary struct {
	leases                *leases
	number                int
	every                 time.Duration
	at                    netip.AddrPort
	path                  string
	holds                 bool
	digests               map[lease.Node]digest
	stream                *loop.Stream
	out                   bool // a summary is on its way
	patience              loop.Due
	next                  loop.Due // when to collect again
	puts, refused, failed int
	latest                time.Duration
}

// digest is what one driver says of itself.
type digest struct {
	RPCs, OK, PushedBack, Held uint32
	Revision                   uint64
	Ready                      uint8 // in hundredths
}

const mostPut = 16 << 10

func newSummary(l *leases, i int, t operator.Task) *summary {
	return &summary{leases: l, number: i, every: t.Every, at: t.To, path: t.Path, digests: make(map[lease.Node]digest)}
}

func (s *summary) gained(uint64) {
	s.holds = true
	clear(s.digests)
	s.collect()
}

func (s *summary) lost() {
	s.holds = false
	s.leases.node.loop.Forget(s.next)
	s.drop()
}

// collect asks all for their digests, and brings what has come since the last time.
func (s *summary) collect() {
	n := s.leases.node
	if !s.holds {
		return
	}
	s.digests[s.leases.me.Node] = s.own()
	s.put()
	clear(s.digests)
	if _, ok := s.leases.held(s.number); ok {
		s.leases.write(driver.EveryPeer, peers.CollectDigests, nil)
	}
	n.loop.Forget(s.next)
	s.next = n.loop.At(n.loop.Now()+s.every, s.collect)
}

func (s *summary) own() digest {
	n := s.leases.node
	return digest{RPCs: uint32(n.counters["rpcs_taken"]), OK: uint32(n.counters["rpcs_ok"]), PushedBack: uint32(n.counters["rpcs_pushed_back"]),
		Held: uint32(n.rpcs.Count()), Revision: uint64(n.list.Rev()), Ready: uint8(n.recovery.Ready() * 100)}
}

func (s *summary) heard(from lease.Node, letter peers.Message) {
	switch {
	case letter.Kind == peers.CollectDigests:
		var out bytes.Buffer
		binary.Write(&out, binary.LittleEndian, s.own())
		s.leases.say(from, peers.Digest, out.Bytes())
	case letter.Kind == peers.Digest && s.holds:
		var d digest
		if binary.Read(bytes.NewReader(letter.Body), binary.LittleEndian, &d) == nil && len(s.digests) < mostSummed {
			s.digests[from] = d
		}
	}
}

const mostSummed = 2000 // drivers in a summary

// Summary is what the holder brings.
type Summary struct {
	Number                     uint64
	Holder                     string
	At                         time.Duration // the holder's clock when it asked its guard
	Drivers, Ready             int
	RPCs, OK, PushedBack, Held uint64
	Oldest, Newest             uint64 // revisions of the list
}

// put brings a summary, right after the guard has said yes.
func (s *summary) put() {
	n := s.leases.node
	if s.out {
		return
	}
	if s.stream == nil {
		var err error
		if s.stream, err = n.loop.Dial(s.at, s, mostPut); err != nil {
			s.failed++
			return
		}
	}
	at := s.leases.clock()
	number, ok := s.leases.askers[s.number].Held(at)
	if !ok {
		return
	}
	sum := Summary{Number: number, Holder: n.site.Name, At: at, Drivers: len(s.digests), Oldest: 1<<64 - 1}
	for _, node := range slices.Sorted(maps.Keys(s.digests)) {
		d := s.digests[node]
		sum.RPCs, sum.OK, sum.PushedBack, sum.Held = sum.RPCs+uint64(d.RPCs), sum.OK+uint64(d.OK), sum.PushedBack+uint64(d.PushedBack), sum.Held+uint64(d.Held)
		sum.Oldest, sum.Newest = min(sum.Oldest, d.Revision), max(sum.Newest, d.Revision)
		if d.Ready >= 95 {
			sum.Ready++
		}
	}
	body, err := json.Marshal(sum)
	if err != nil {
		return
	}
	head := append([]byte("PUT "), s.path...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = httpwire.AppendField(head, "Host", s.at.String())
	head = httpwire.AppendField(head, "Content-Type", "application/json")
	head = httpwire.AppendField(head, "Fencing", strconv.FormatUint(number, 10))
	s.out = true
	s.stream.Send(httpwire.AppendLength(head, len(body)), body)
	s.patience = n.loop.At(n.loop.Now()+max(s.every, time.Second), func() { s.end(errors.New("no answer in time")) })
}

func (s *summary) Opened()              {}
func (s *summary) Panicked(cause error) { s.end(cause) }

func (s *summary) Input(in []byte) int {
	status, _, size, last, err := httpwire.Answer(in, false)
	if err != nil {
		s.end(err)
		return 0
	}
	if size == 0 {
		return 0
	}
	n := s.leases.node
	n.loop.Forget(s.patience)
	s.out = false
	switch {
	case status < 300:
		s.puts++
		s.latest = n.loop.Now()
		n.Count("summaries_put")
	case status == 409: // somebody holds under a higher number
		s.refused++
		n.Count("summaries_refused")
	default:
		s.failed++
		n.Count("summaries_failed")
	}
	if last {
		s.drop()
	}
	return size
}

func (s *summary) Closed(cause error) {
	s.stream = nil
	if s.out {
		s.end(cause)
	}
}

// end gives a summary up that had no answer. The next has newer figures.
func (s *summary) end(cause error) {
	s.failed++
	s.leases.node.Count("summaries_failed")
	slog.Debug("summary_failed", "to", s.at, "cause", cause)
	s.drop()
}

func (s *summary) drop() {
	s.leases.node.loop.Forget(s.patience)
	s.out = false
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}

func (s *summary) tell() any {
	t := map[string]any{"put": s.puts, "refused": s.refused, "failed": s.failed}
	if s.latest > 0 {
		t["latest_ms"] = (s.leases.node.loop.Now() - s.latest).Milliseconds()
	}
	return t
}

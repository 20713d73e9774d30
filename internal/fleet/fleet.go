// Package fleet keeps one driver's view of the others, over messages that may be lost. It does no I/O: it takes messages and times, and
// gives messages to a host. docs/fleet.md tells where it comes from and what it promises. The view is a hint: it gives no permission.
//
// Each driver asks one other at a time whether it is there, round robin in an order by chance, and lets others ask for it where no answer
// comes. Who does not answer is suspect for a while before it is dead; only a driver itself can say that it is not, by a higher incarnation.
// What has changed rides on these messages, and who finds that another's view differs from its own fetches it, entry by entry.
package fleet

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/pcg"
)

// Node is a driver by its name.
type Node uint64

// NodeOf gives the number of a name.
func NodeOf(name string) Node { return Node(xxh3.HashString(name)) }

// Status is what is believed of a driver.
type Status uint8

const (
	Alive Status = iota
	Suspect
	Dead
	Left // it said that it goes
)

var statuses = [...]string{"alive", "suspect", "dead", "left"}

func (s Status) String() string { return statuses[s] }

// Digest is what a driver says of itself.
type Digest struct {
	Count    uint32 // the higher is the newer
	Ready    uint8  // in hundredths
	Load     uint16 // RPCs a second
	Revision uint32 // of its list
}

// Entry is one driver. Of two entries the one of the later life counts, then that of the higher incarnation, then the worse status.
type Entry struct {
	Node        Node
	Name        string
	Life        uint64 // the time of its start; a driver that hears of a later one of its own goes on from there
	Incarnation uint32
	Status      Status
	By          uint32 // of one who is suspect: who says so, the lower half of its number
	Digest      Digest
}

// newer tells whether an entry goes over another of the same driver, in all but its digest.
func (e *Entry) newer(o *Entry) bool {
	if e.Life != o.Life {
		return e.Life > o.Life
	}
	if o.Status == Left || e.Status == Left { // a life that has been left is over
		return e.Status == Left && o.Status != Left
	}
	if e.Incarnation != o.Incarnation {
		return e.Incarnation > o.Incarnation
	}
	return e.Status > o.Status
}

// Host is what a view acts through.
type Host interface {
	Send(to driver.Peer, text []byte)
	Peers() int // addresses that there are; some may be nobody's, one may be this driver's own
	Changed(e Entry, why string)
}

// Terms bound a view.
type Terms struct {
	Every time.Duration // between two questions of one driver
	Life  uint64
}

const (
	asked      = 3   // others that ask for a driver which does not answer
	healthMost = 8   // times that a driver which is slow itself gives others more time, at most
	warners    = 16  // that tell a suspect so to its face, by chance, in a fleet of any size
	tellTimes  = 4   // times the decimal logarithm of the fleet that one change is told
	strangers  = 10  // questions between two to an address of which nobody alive is known
	youth      = 3   // questions in which nobody fetches the view of one that has started
	forgets    = 600 // questions until what is dead is forgotten
	remembers  = 4096
	mostNodes  = 4096
	longest    = 24 // bytes of a name

	partsMost = 4 // messages that one pull brings; the next goes on behind them
	rangeBits = 7 // the first bits of a driver's number tell its range
	ranges    = 1 << rangeBits
)

// known is what is kept of one driver.
type known struct {
	Entry
	at        driver.Peer
	reachable bool          // at is known
	since     time.Duration // of its status
	until     time.Duration // of suspicion
	accusers  []uint32
	cause     string
	told      int  // times that its latest change was told
	brief     bool // that is no more than its status and incarnation
	warned    bool // it was told to its face that it is suspect
	heard     time.Duration
}

// probe is a question that is out.
type probe struct {
	number  uint32
	node    Node // 0: an address of which nobody is known
	sent    time.Duration
	helped  bool // others were asked to ask
	helpers int  // that said they would
}

// View is one driver's.
type View struct {
	host   Host
	terms  Terms
	chance *pcg.Source
	me     Node
	self   *known
	nodes  map[Node]*known
	all    []*known       // in the order of their numbers
	buried map[Node]Entry // those that were forgotten: what is said of them later is old, unless they say it
	order  []Node         // whom to ask next
	fresh  []Node         // with changes to tell
	probe  probe
	number uint32
	turns  int
	next   time.Duration // question
	woken  time.Duration
	health int           // 0: well; more: it is slow itself
	spared time.Duration // until when it accuses nobody
	relays map[uint32]relay
	pull   struct { // of another's view
		from  driver.Peer
		after Node
		sent  time.Duration // 0: none is out
		parts int           // that it has brought
	}
	pulled time.Duration
	found  bool // a stranger has answered: there may be more
	left   bool
	sum    uint64
	summed bool // sum holds

	Sent, Taken, Bytes, Refused, Halts int
}

// relay is a question that this driver asks for another.
type relay struct {
	back   driver.Peer
	number uint32
	until  time.Duration
}

// New begins with nobody known.
func New(host Host, name string, t Terms, seed uint64, now time.Duration) *View {
	v := &View{host: host, terms: t, chance: pcg.New(seed), me: NodeOf(name), nodes: make(map[Node]*known), buried: make(map[Node]Entry),
		relays: make(map[uint32]relay), woken: now, next: now}
	v.self = &known{Entry: Entry{Node: v.me, Name: name[:min(len(name), longest)], Life: t.Life}, since: now, heard: now}
	v.know(v.self)
	for p := range host.Peers() { // whoever is there
		v.send(driver.Peer(p), message{op: opPing, number: 0})
	}
	return v
}

// Wakes tells when Wake is to be called next.
func (v *View) Wakes() time.Duration {
	at := v.next
	if v.probe.number != 0 && !v.probe.helped {
		at = min(at, v.probe.sent+v.patience())
	}
	for _, k := range v.all {
		if k.Status == Suspect {
			at = min(at, v.warns(k))
		}
	}
	return at
}

// patience is how long an answer may take before others are asked to help.
func (v *View) patience() time.Duration { return v.slower(v.terms.Every / 3) }

// slower gives more time where this driver is slow itself.
func (v *View) slower(d time.Duration) time.Duration { return d * time.Duration(1+v.health) }

// warns is when a suspect is told so once more, if it was not, or else when it is dead: what it said to that may have been lost here.
func (v *View) warns(k *known) time.Duration {
	if k.warned || !k.reachable {
		return k.until
	}
	return k.until - 2*v.terms.Every
}

// suspicion is how long a driver is suspect before it is dead: the more who accuse it, the shorter.
func (v *View) suspicion(accusers int) time.Duration {
	n := float64(max(v.count(), 10))
	least := float64(v.terms.Every) * 4 * math.Log10(n)
	part := math.Log(float64(min(accusers, asked)+1)) / math.Log(asked+1)
	return v.slower(time.Duration(least * (3 - 2*part)))
}

// count is how many are not known to be gone, with this driver.
func (v *View) count() (n int) {
	for _, k := range v.all {
		if k.Status == Alive || k.Status == Suspect {
			n++
		}
	}
	return n
}

// Wake does what is due.
func (v *View) Wake(now time.Duration) {
	v.halted(now)
	v.woken = now
	if v.left {
		v.next = now + v.terms.Every
		return
	}
	for _, k := range slices.Clone(v.all) {
		if k.Status == Suspect && !k.warned && k.reachable && now >= v.warns(k) {
			k.warned = true
			if v.chance.Below(v.count()) < warners {
				v.send(k.at, message{op: opPing, number: 0, about: k})
			}
		}
		switch {
		case k.Status == Suspect && now >= k.until:
			v.change(k, Entry{Node: k.Node, Name: k.Name, Life: k.Life, Incarnation: k.Incarnation, Status: Dead, Digest: k.Digest}, now, k.cause)
		case k.Status >= Dead && now-k.since > forgets*v.terms.Every:
			v.bury(k)
		}
	}
	if p := &v.probe; p.number != 0 && !p.helped && now >= p.sent+v.patience() {
		v.help(now)
	}
	if now >= v.next && v.judge(now) {
		v.ask(now)
	}
}

// halted notices that this driver itself stood still: nobody could have answered it meanwhile, so it accuses nobody for what it missed.
func (v *View) halted(now time.Duration) {
	late := now - max(v.woken, min(v.Wakes(), now))
	if late < v.terms.Every {
		return
	}
	v.Halts++
	v.health = min(v.health+2, healthMost)
	v.probe = probe{}
	v.spared = now + v.terms.Every
	for _, k := range v.nodes {
		if k.Status == Suspect {
			k.until += late
		}
	}
	v.next = now
}

// place is where a driver is, or would be, among all.
func (v *View) place(n Node) (i int, there bool) {
	return slices.BinarySearchFunc(v.all, n, func(k *known, n Node) int { return cmp.Compare(k.Node, n) })
}

// know takes in one that was not known.
func (v *View) know(k *known) {
	v.nodes[k.Node] = k
	i, _ := v.place(k.Node)
	v.all = slices.Insert(v.all, i, k)
	v.tell(k)
}

// bury forgets one that was dead for long.
func (v *View) bury(k *known) {
	delete(v.nodes, k.Node)
	if i, there := v.place(k.Node); there {
		v.all = slices.Delete(v.all, i, i+1)
	}
	if len(v.buried) >= remembers {
		for n := range v.buried {
			delete(v.buried, n)
			break
		}
	}
	v.buried[k.Node] = k.Entry
}

// another is a number that no question has had of late; 0 is that of words that are no question.
func (v *View) another() uint32 { return max(v.number+1, 1) }

// ask sends the next question.
func (v *View) ask(now time.Duration) {
	v.next = now + v.terms.Every
	v.turns++
	v.number = v.another()
	if (v.turns%strangers == 0 || v.found && v.turns%2 == 0) && v.askStranger(now) {
		v.found = false
		return
	}
	k := v.target()
	if k == nil {
		v.askStranger(now)
		return
	}
	v.probe = probe{number: v.number, node: k.Node, sent: now}
	v.send(k.at, message{op: opPing, number: v.number, about: k})
}

// target is the next to ask: each in turn, in an order that is drawn anew for each round.
func (v *View) target() *known {
	for range 2 {
		for len(v.order) > 0 {
			k := v.nodes[v.order[0]]
			v.order = v.order[1:]
			if k != nil && k != v.self && k.Status < Dead && k.reachable {
				return k
			}
		}
		for _, k := range v.all {
			v.order = append(v.order, k.Node)
		}
		for i := range v.order {
			j := v.chance.Below(i + 1)
			v.order[i], v.order[j] = v.order[j], v.order[i]
		}
	}
	return nil
}

// askStranger asks at an address of which nobody alive is known: who was dead may be back, and two halves may have been apart.
func (v *View) askStranger(now time.Duration) bool {
	taken := make(map[driver.Peer]bool)
	for _, k := range v.nodes {
		if k.reachable && k.Status < Dead && k != v.self {
			taken[k.at] = true
		}
	}
	all := v.host.Peers()
	for i, first := 0, v.chance.Below(max(all, 1)); i < all; i++ {
		if p := driver.Peer((first + i) % all); !taken[p] {
			v.send(p, message{op: opPing, number: 0})
			return true
		}
	}
	return false
}

// help lets others ask the one that does not answer.
func (v *View) help(now time.Duration) {
	v.probe.helped = true
	k := v.nodes[v.probe.node]
	if k == nil {
		return
	}
	var others []*known
	for _, o := range v.all {
		if o != k && o != v.self && o.Status == Alive && o.reachable {
			others = append(others, o)
		}
	}
	for range min(asked, len(others)) {
		i := v.chance.Below(len(others))
		v.send(others[i].at, message{op: opAskFor, number: v.probe.number, target: k.Node})
		others = slices.Delete(others, i, i+1)
	}
}

// judge suspects the one that was asked last, if no answer has come by any way. False: a driver that is slow itself waits for longer.
func (v *View) judge(now time.Duration) bool {
	p := v.probe
	k := v.nodes[p.node]
	if p.number == 0 || k == nil || k.heard >= p.sent {
		v.probe = probe{}
		return true
	}
	if end := p.sent + v.slower(v.terms.Every); now < end {
		v.next = end
		return false
	}
	v.probe = probe{}
	if p.helped && p.helpers == 0 { // nobody has answered at all: it may be this driver that is cut off
		v.health = min(v.health+1, healthMost)
	}
	if now >= v.spared && k.Status < Dead {
		v.accuse(k, uint32(v.me), now, "no answer to "+v.self.Name)
	}
	return true
}

// accuse counts one who says that a driver does not answer. Who only passes that on is not counted.
func (v *View) accuse(k *known, by uint32, now time.Duration, why string) {
	if k.Status == Alive {
		e := k.Entry
		e.Status, e.By = Suspect, by
		v.change(k, e, now, why)
	}
	if k.Status == Suspect && !slices.Contains(k.accusers, by) && len(k.accusers) <= asked {
		k.accusers = append(k.accusers, by)
		k.until = min(k.until, k.since+v.suspicion(len(k.accusers)-1))
		k.By, k.told = by, 0
		v.tell(k)
	}
}

// change takes over a newer entry.
func (v *View) change(k *known, e Entry, now time.Duration, why string) {
	was := k.Status
	digest := k.Digest
	if k.Life != e.Life {
		digest = e.Digest
	}
	if k.brief = k.Life == e.Life; e.Name == "" {
		e.Name = k.Name
	}
	k.Entry = e
	if k.Life == e.Life && digest.Count > e.Digest.Count {
		k.Digest = digest
	}
	k.since, k.cause, k.accusers, k.warned = now, why, nil, false
	k.until = now + v.suspicion(0)
	k.told = 0
	v.tell(k)
	if was != e.Status {
		v.host.Changed(k.Entry, why)
	}
}

// tell lets what has changed of a driver ride on the next messages, before all others.
func (v *View) tell(k *known) {
	v.fresh = slices.DeleteFunc(v.fresh, func(n Node) bool { return n == k.Node })
	v.fresh = append([]Node{k.Node}, v.fresh...)
	v.summed = false
}

// tells is how many times a change is told.
func (v *View) tells() int { return tellTimes * int(math.Ceil(math.Log10(float64(v.count()+1)))) }

// Say changes what this driver says of itself.
func (v *View) Say(d Digest) {
	if d.Ready == v.self.Digest.Ready && d.Revision == v.self.Digest.Revision && near(d.Load, v.self.Digest.Load) {
		return
	}
	d.Count = v.self.Digest.Count + 1
	v.self.Digest = d
	v.self.told = 0
	v.tell(v.self)
}

func near(a, b uint16) bool { return max(a, b)-min(a, b) <= max(a, b)/4 }

// Leave tells some that this driver goes.
func (v *View) Leave(now time.Duration) {
	if v.left {
		return
	}
	v.left = true
	v.self.Status, v.self.told = Left, 0
	v.tell(v.self)
	sent := 0
	for _, k := range v.all {
		if k != v.self && k.Status == Alive && k.reachable && sent < 2*asked {
			v.send(k.at, message{op: opAck, number: 0})
			sent++
		}
	}
}

// Take hears a message that came from an address.
func (v *View) Take(from driver.Peer, text []byte, now time.Duration) {
	m, ok := readMessage(text)
	if !ok {
		v.Refused++
		return
	}
	v.Taken++
	v.halted(now)
	v.woken = max(v.woken, now)
	sender := v.merge(m.sender, true, now)
	if sender == nil {
		return
	}
	if sender != v.self {
		v.found = v.found || m.op == opAck && m.number == 0 && m.sender.Status == Alive && (!sender.reachable || sender.Status >= Dead)
		sender.at, sender.reachable, sender.heard = from, true, now
	}
	for _, e := range m.entries {
		v.merge(e, false, now)
	}
	if v.left {
		return
	}
	switch m.op {
	case opPing:
		v.send(from, message{op: opAck, number: m.number, about: sender})
	case opAskFor:
		if k := v.nodes[m.target]; k != nil && k.reachable {
			v.number = v.another()
			v.relays[v.number] = relay{from, m.number, now + v.terms.Every}
			v.send(k.at, message{op: opPing, number: v.number})
			v.send(from, message{op: opTries, number: m.number})
		}
		for n, r := range v.relays {
			if now > r.until {
				delete(v.relays, n)
			}
		}
	case opTries:
		if m.number == v.probe.number {
			v.probe.helpers++
		}
	case opAck:
		if r, any := v.relays[m.number]; any && m.number != 0 {
			delete(v.relays, m.number)
			v.send(r.back, message{op: opAnswers, number: r.number, target: m.sender.Node})
		}
		v.answered(m.number, m.sender.Node, now)
	case opAnswers:
		v.answered(m.number, m.target, now)
	case opPull:
		v.give(from, m)
	case opGive:
		v.given(from, m, now)
	}
	if m.view != v.Sum() && !v.young(sender, now) {
		v.fetch(from, now)
	}
}

// young tells of a driver that has just started: it knows less than others, and fetches itself. If all of a fleet fetched from it what they know
// already, a start would cost with the square of the fleet. By a clock that is off it may count as older, never for longer as young.
func (v *View) young(k *known, now time.Duration) bool {
	age := now - time.Duration(k.Life)
	return k != v.self && age >= 0 && age < youth*v.terms.Every
}

// answered ends the question that is out.
func (v *View) answered(number uint32, by Node, now time.Duration) {
	if number == 0 || number != v.probe.number || by != v.probe.node {
		return
	}
	v.probe = probe{}
	v.health = max(v.health-1, 0)
	if k := v.nodes[by]; k != nil {
		k.heard = now
	}
}

// merge takes in what is said of a driver, by itself or by another. It gives what is known of it then; nil: nothing new to anybody.
func (v *View) merge(e Entry, itself bool, now time.Duration) *known {
	if e.Node == v.me {
		return v.mine(e, itself)
	}
	k := v.nodes[e.Node]
	if k == nil {
		old, was := v.buried[e.Node]
		if was = was && !e.newer(&old); was && !itself {
			return nil
		}
		if e.Name == "" { // who never heard of it fetches it whole
			return nil
		}
		if len(v.nodes) >= mostNodes || e.Status >= Dead && !itself {
			if e.Status >= Dead && len(v.buried) < remembers { // so that older words of it are known as such
				v.buried[e.Node] = e
			}
			return nil
		}
		delete(v.buried, e.Node)
		k = &known{Entry: e, since: now, heard: now, until: now + v.suspicion(0)}
		if was { // it has to hear that it is held dead: only what it says under a higher incarnation is believed by all others who have forgotten it
			k.Life, k.Incarnation, k.Status, k.By, k.brief = old.Life, old.Incarnation, old.Status, old.By, true
			v.know(k)
			return k
		}
		v.know(k)
		v.host.Changed(k.Entry, "new")
		return k
	}
	switch {
	case itself && e.Status == Alive && k.Life == e.Life && k.Incarnation >= e.Incarnation && k.Status != Alive:
		v.tell(k) // it has not heard yet what is said of it: it hears it with the answer
		k.told = 0
	case e.newer(&k.Entry) && e.Status == Suspect && e.Life == k.Life && e.Incarnation == k.Incarnation:
		v.accuse(k, e.By, now, "suspected by others")
	case e.newer(&k.Entry):
		why := "told by others"
		if itself {
			why = "says so itself"
		}
		v.change(k, e, now, why)
	case e.Status == Suspect && k.Status == Suspect && e.Life == k.Life && e.Incarnation == k.Incarnation && !itself:
		v.accuse(k, e.By, now, "")
	}
	if e.Life == k.Life && e.Digest.Count > k.Digest.Count {
		k.Digest = e.Digest
		k.told, k.brief = 0, false
		v.tell(k)
	}
	return k
}

// mine hears what is said of this driver: what is wrong it denies, under a higher incarnation.
func (v *View) mine(e Entry, itself bool) *known {
	s := v.self
	if itself { // its own words, or another's of the same name
		if e.Life != s.Life {
			v.host.Changed(e, "name used twice")
		}
		return nil
	}
	switch {
	case v.left:
	case e.Life > s.Life: // a clock has gone back since an earlier life
		s.Life, s.Incarnation = e.Life+1, 0
		s.told = 0
		v.tell(s)
	case e.Life == s.Life && e.Status != Alive && e.Incarnation >= s.Incarnation:
		s.Incarnation = e.Incarnation + 1
		v.health = min(v.health+1, healthMost)
		s.told = 0
		v.tell(s)
	}
	return s
}

// Sum tells two views apart: equal views have equal sums.
func (v *View) Sum() uint64 {
	if v.summed {
		return v.sum
	}
	v.sum, v.summed = 0, true
	for _, k := range v.all {
		if k.Status < Dead {
			v.sum += k.hash(0)
		}
	}
	return v.sum
}

// hash is of what views have to agree on.
func (e *Entry) hash(salt uint64) uint64 {
	var out [21]byte
	binary.LittleEndian.PutUint64(out[:], uint64(e.Node))
	binary.LittleEndian.PutUint64(out[8:], e.Life)
	binary.LittleEndian.PutUint32(out[16:], e.Incarnation)
	out[20] = byte(e.Status)
	return xxh3.HashSeed(out[:], salt)
}

// fetch asks for another's view, one at a time and not too often.
func (v *View) fetch(from driver.Peer, now time.Duration) {
	p := &v.pull
	if p.sent != 0 && now-p.sent < v.terms.Every || now-v.pulled < v.terms.Every {
		return
	}
	p.from, p.sent, p.parts = from, now, 0 // what was lost on the way is asked for again, of whoever it is
	v.askPart(from)
}

// askPart asks for what differs behind the latest entry that has come. Each time the sums are salted anew: two ranges that differ may have one sum, but
// not for long.
func (v *View) askPart(of driver.Peer) {
	v.number = v.another()
	v.send(of, message{op: opPull, number: v.number, target: v.pull.after, sums: v.sums(v.number)})
}

// sums are those of the ranges of the view, a byte each: most of a view is the same as another's, and of that nothing need be sent. Ranges are Merkle
// trees of one level, as in Dynamo (DeCandia and others 2007, 4.7).
func (v *View) sums(salt uint32) []byte {
	sums := make([]byte, ranges)
	for _, k := range v.all {
		if k.Status < Dead {
			sums[k.Node>>(64-rangeBits)] += byte(k.hash(uint64(salt)))
		}
	}
	return sums
}

// give sends the part of the view behind a driver, of those ranges whose sums differ.
func (v *View) give(to driver.Peer, asked message) {
	m := message{op: opGive}
	from, there := v.place(asked.target)
	if there {
		from++
	}
	same := make([]bool, ranges)
	if len(asked.sums) > 0 {
		for i, sum := range v.sums(asked.number) {
			same[i] = sum == asked.sums[i]
		}
	}
	for _, k := range v.all[from:] {
		if k != v.self && !same[k.Node>>(64-rangeBits)] && len(m.part) <= Most/entrySize {
			m.part = append(m.part, k.Entry)
		}
	}
	v.send(to, m)
}

// given goes on with the part behind, until nothing is left.
func (v *View) given(from driver.Peer, m message, now time.Duration) {
	p := &v.pull
	if p.sent == 0 || p.from != from {
		return
	}
	if len(m.entries) == 0 || !m.more {
		p.sent, p.after, v.pulled = 0, 0, now
		return
	}
	p.after, p.sent = m.entries[len(m.entries)-1].Node, now
	if p.parts++; p.parts >= partsMost {
		p.sent, v.pulled = 0, now
		return
	}
	v.askPart(from)
}

// Seen is one driver as this one sees it.
type Seen struct {
	Entry
	Self     bool
	Since    time.Duration // of its status, how long ago
	Heard    time.Duration // how long ago
	Cause    string
	Accusers int
}

// All gives the view, in the order of names.
func (v *View) All(now time.Duration) (all []Seen) {
	for _, k := range v.nodes {
		all = append(all, Seen{k.Entry, k == v.self, now - k.since, now - k.heard, k.cause, len(k.accusers)})
	}
	slices.SortFunc(all, func(a, b Seen) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Node, b.Node)) })
	return all
}

// Of gives what is known of one driver; false: nothing.
func (v *View) Of(n Node) (e Entry, known bool) {
	if k := v.nodes[n]; k != nil {
		return k.Entry, true
	}
	return e, false
}

// Living counts those that are not known to be gone, with this driver.
func (v *View) Living() int { return v.count() }

// Owner is whom a key falls to among those alive: few keys move when drivers come and go. Two drivers whose views differ may name two.
func (v *View) Owner(key string) (name string) {
	best := uint64(0)
	for _, k := range v.all {
		if k.Status == Alive {
			if weight := xxh3.HashStringSeed(key, uint64(k.Node)); name == "" || weight > best {
				best, name = weight, k.Name
			}
		}
	}
	return name
}

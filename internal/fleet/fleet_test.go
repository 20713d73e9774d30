package fleet

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"passtack/driver"
	"passtack/internal/due"
	"passtack/internal/pcg"
	"passtack/internal/seeded"
)

const (
	ms    = time.Millisecond
	every = time.Second
)

// world is a fleet in simulated time.
type world struct {
	chance  *pcg.Source
	now     time.Duration
	queue   due.Queue[func()]
	all     []*host
	loss    float64
	double  float64
	cut     func(from, to int) bool
	falsely int                   // times that one which was there was held dead
	back    int                   // times that one which was gone was held alive again by who knew
	first   map[int]time.Duration // by who died: when somebody held it dead first
	record  func(from, to int, text []byte)
}

type host struct {
	world       *world
	number      int
	name        string
	view        *View
	life        uint64
	up          bool
	paused      time.Duration
	slow        time.Duration // that each turn takes longer
	due         *due.Item[func()]
	diedAt      time.Duration
	sent, bytes int
	taken       int // bytes that were sent to it, whether it is there or not
}

func newWorld(seed uint64, n int) *world {
	w := &world{chance: pcg.New(seed), now: time.Hour, first: make(map[int]time.Duration)}
	for i := range n {
		w.all = append(w.all, &host{world: w, number: i, name: fmt.Sprint("d", i)})
	}
	return w
}

func (w *world) at(in time.Duration, act func()) { w.queue.Push(w.now+in, act) }

func (w *world) run(lasts time.Duration) {
	until := w.now + lasts
	for {
		at, ok := w.queue.First()
		if !ok || at > until {
			w.now = until
			return
		}
		w.now = max(w.now, at)
		act, _ := w.queue.Pop(w.now)
		act()
	}
}

func (h *host) start() {
	if h.up {
		return
	}
	h.up, h.life = true, h.life+1
	h.view = New(h, fmt.Sprint("d", h.number), Terms{Every: every, Life: uint64(h.world.now)}, uint64(h.world.chance.Uint32()), h.world.now)
	h.plan()
}

func (h *host) kill() {
	if h.up {
		h.up, h.diedAt = false, h.world.now
	}
}

func (h *host) soon(act func()) {
	life := h.life
	var try func()
	try = func() {
		if !h.up || h.life != life {
			return
		}
		if h.world.now < h.paused {
			h.world.queue.Push(h.paused, try)
			return
		}
		act()
		h.plan()
	}
	if h.slow > 0 {
		h.world.at(time.Duration(h.world.chance.Float()*float64(h.slow)), try)
		return
	}
	try()
}

func (h *host) plan() {
	h.world.queue.Remove(h.due)
	h.due = h.world.queue.Push(max(h.view.Wakes(), h.world.now+ms), func() { h.soon(func() { h.view.Wake(h.world.now) }) })
}

func (h *host) Peers() int { return len(h.world.all) }

func (h *host) Send(to driver.Peer, text []byte) {
	w, o := h.world, h.world.all[to]
	h.sent++
	h.bytes += len(text)
	o.taken += len(text)
	if w.record != nil {
		w.record(h.number, int(to), text)
	}
	if o == h || w.cut != nil && w.cut(h.number, o.number) || w.chance.Float() < w.loss {
		return
	}
	text = slices.Clone(text)
	for times := 1; times > 0; times-- {
		if w.chance.Float() < w.double {
			times++
		}
		w.at(time.Duration((0.2+w.chance.Float())*float64(ms)), func() {
			o.soon(func() { o.view.Take(driver.Peer(h.number), text, w.now) })
		})
	}
}

func (h *host) Changed(e Entry, why string) {
	w := h.world
	i, _ := strconv.Atoi(e.Name[1:])
	o := w.all[i]
	switch {
	case e.Status == Dead && o.up && o.view != nil && o.view.self.Life == e.Life && w.now >= o.paused:
		w.falsely++
	case e.Status == Dead && !o.up:
		if _, known := w.first[i]; !known {
			w.first[i] = w.now - o.diedAt
		}
	case e.Status == Alive && !o.up && w.now-o.diedAt > 2*time.Minute:
		w.back++
	}
}

// settled tells whether all who are there see the same: all who are there, and nobody else, in their lives of now. It names one who does not.
func (w *world) settled() (why string) {
	for _, h := range w.all {
		if !h.up {
			continue
		}
		for _, o := range w.all {
			k := h.view.nodes[NodeOf(o.name)]
			switch {
			case o.up && (k == nil || k.Status != Alive || k.Life != o.view.self.Life):
				return fmt.Sprintf("d%d does not see d%d as it is: %+v", h.number, o.number, k)
			case !o.up && k != nil && k.Status < Dead:
				return fmt.Sprintf("d%d sees d%d, which is gone: %+v", h.number, o.number, k)
			}
		}
	}
	return ""
}

// settles runs until all see the same, and gives how long that took; under 0: never.
func (w *world) settles(most time.Duration) time.Duration {
	for from := w.now; w.now < from+most; w.run(100 * ms) {
		if w.settled() == "" {
			return w.now - from
		}
	}
	return -1
}

func (w *world) startAll(within time.Duration) {
	for _, h := range w.all {
		w.at(time.Duration(w.chance.Float()*float64(within)), h.start)
	}
}

// A fleet of each size finds itself, notices a crash, a third at once, a planned stop and a return, and nobody who is there is held dead. The
// figures are those of the page.
func TestFleetsOfEachSizeSettle(t *testing.T) {
	sizes, more := []int{3, 10, 100}, 0 // FLEET_SIZE=300 plays a larger one
	if fmt.Sscan(os.Getenv("FLEET_SIZE"), &more); more > 0 {
		sizes = []int{more}
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			w := newWorld(uint64(n), n)
			w.startAll(time.Second)
			w.run(time.Second)
			joined := w.settles(time.Minute)
			w.run(30 * time.Second)
			for _, h := range w.all {
				h.sent, h.bytes = 0, 0
			}
			w.run(30 * time.Second)
			sent, bytes := 0, 0
			for _, h := range w.all {
				sent, bytes = sent+h.sent, bytes+h.bytes
			}
			w.all[0].kill()
			crash := w.settles(2 * time.Minute)
			first := w.first[0]
			w.all[0].start()
			back := w.settles(time.Minute)
			for i := range n / 3 {
				w.all[i].kill()
			}
			third := w.settles(3 * time.Minute)
			for i := range n / 3 {
				w.all[i].start()
			}
			thirdBack := w.settles(time.Minute)
			w.all[n-1].soon(func() { w.all[n-1].view.Leave(w.now) })
			w.run(10 * ms)
			w.all[n-1].kill()
			left := w.settles(time.Minute)
			t.Logf("%d drivers: joined %v, crash first known %v and by all %v, back %v, a third %v and back %v, left %v; %.1f messages and %.0f bytes a second each",
				n, joined, first, crash, back, third, thirdBack, left, float64(sent)/float64(n)/30, float64(bytes)/float64(n)/30)
			for what, took := range map[string]time.Duration{"joined": joined, "crash": crash, "back": back, "third": third, "third back": thirdBack, "left": left} {
				if took < 0 {
					t.Errorf("%s: never settled: %s", what, w.settled())
				}
			}
			if w.falsely > 0 || left > 20*time.Second || crash > 60*time.Second {
				t.Errorf("%d were held dead that were there", w.falsely)
			}
		})
	}
}

// Drawn faults on fleets of some sizes: the views settle once they are over, and who was gone for long does not come back by old gossip.
func TestViewsSettleAfterDrawnFaults(t *testing.T) {
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				w := newWorld(seed, 5+int(seed%8))
				w.startAll(2 * time.Second)
				for range 10 {
					w.at(time.Duration(w.chance.Float()*float64(80*time.Second)), w.trouble)
				}
				w.run(100 * time.Second)
				w.cut, w.loss, w.double = nil, 0, 0
				for _, h := range w.all {
					h.slow = 0
				}
				if took := w.settles(2 * time.Minute); took < 0 || w.back > 0 {
					t.Errorf("seed %d: settled after %v (%s), %d came back that were gone", seed, took, w.settled(), w.back)
				}
			}
		})
	}
	for seed := range uint64(300) {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
}

func (w *world) trouble() {
	h := w.all[w.chance.Below(len(w.all))]
	lasts := time.Duration(w.chance.Float() * float64(20*time.Second))
	switch w.chance.Below(7) {
	case 0:
		h.kill()
		w.at(lasts, h.start)
	case 1:
		h.kill() // for good
	case 2:
		h.paused = w.now + lasts
	case 3:
		half := w.chance.Below(1 << len(w.all))
		w.cut = func(a, b int) bool { return half>>a&1 != half>>b&1 }
		w.at(lasts, func() { w.cut = nil })
	case 4:
		o := w.chance.Below(len(w.all))
		w.cut = func(a, b int) bool { return a == h.number && b == o }
		w.at(lasts, func() { w.cut = nil })
	case 5:
		w.loss, w.double = 0.3, 0.3
		w.at(lasts, func() { w.loss, w.double = 0, 0 })
	case 6:
		if h.up {
			h.soon(func() { h.view.Leave(w.now) })
			w.at(20*ms, h.kill)
			w.at(20*ms+lasts, h.start)
		}
	}
}

// Nobody who is there is held dead: with a tenth of all messages lost, where one hears but is not heard by some, and beside one that is slow.
func TestNobodyIsFalselyDead(t *testing.T) {
	for name, change := range map[string]func(w *world){
		"a tenth is lost": func(w *world) { w.loss = 0.1 },
		"two do not hear each other": func(w *world) {
			w.cut = func(a, b int) bool { return a+b == 3 && (a == 1 || a == 2) }
		},
		"one way is cut":   func(w *world) { w.cut = func(a, b int) bool { return a == 1 && b == 2 } },
		"one is slow":      func(w *world) { w.all[3].slow = 900 * ms },
		"one stands still": func(w *world) { w.at(time.Second, func() { w.all[3].paused = w.now + 1500*ms }) },
		"all are a bit slow": func(w *world) {
			for _, h := range w.all {
				h.slow = 100 * ms
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(9, 20)
			w.startAll(time.Second)
			w.run(10 * time.Second)
			change(w)
			w.run(20 * time.Minute)
			if w.falsely > 0 {
				t.Errorf("%d times in twenty minutes", w.falsely)
			}
		})
	}
}

// How often one that is there is held dead, by the part of the messages that are lost: never up to a tenth.
func TestFalseDeathsByLoss(t *testing.T) {
	for _, loss := range []float64{0.05, 0.1, 0.2, 0.3, 0.4} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			t.Parallel()
			w := newWorld(11, 50)
			w.startAll(time.Second)
			w.run(20 * time.Second)
			w.loss = loss
			w.run(15 * time.Minute)
			t.Logf("%v lost: %d of 50 drivers held dead by others in a quarter of an hour", loss, w.falsely)
			if loss <= 0.1 && w.falsely > 0 {
				t.Errorf("%d", w.falsely)
			}
		})
	}
}

// One that stood still accuses nobody for what it missed, and is back soon; halves that were apart for long find each other; two fleets that never
// met do so when one address joins them.
func TestHaltsIslandsAndHealing(t *testing.T) {
	w := newWorld(4, 12)
	w.startAll(time.Second)
	w.run(15 * time.Second)
	w.all[5].paused = w.now + 30*time.Second
	w.run(30 * time.Second)
	if w.settles(30*time.Second) < 0 || w.all[5].view.Halts == 0 || w.falsely > 0 {
		t.Errorf("after a halt: %s, %d held dead that were there", w.settled(), w.falsely)
	}
	w.cut = func(a, b int) bool { return (a < 6) != (b < 6) }
	w.run(2 * time.Minute)
	if alive := w.all[0].view.Living(); alive != 6 {
		t.Errorf("in its half one sees %d", alive)
	}
	w.all[1].kill()
	w.cut = nil
	healed := w.settles(2 * time.Minute)
	t.Logf("healed after %v", healed)
	if healed < 0 {
		t.Errorf("after the halves meet: %s", w.settled())
	}
	w = newWorld(5, 12)
	w.cut = func(a, b int) bool { return (a < 6) != (b < 6) && !(a == 0 && b == 11 || a == 11 && b == 0) }
	w.startAll(time.Second)
	w.run(time.Minute)
	if alive := w.all[3].view.Living(); alive != 12 {
		t.Errorf("over one that both reach %d of 12 are known", alive)
	}
}

// A clock that went back between two lives, an emptied past and a name used twice.
func TestLivesAndNames(t *testing.T) {
	w := newWorld(6, 5)
	w.startAll(time.Second)
	w.run(15 * time.Second)
	w.all[2].kill()
	w.run(10 * time.Second)
	w.all[2].up, w.all[2].life = true, w.all[2].life+1
	w.all[2].view = New(w.all[2], "d2", Terms{Every: every, Life: 1}, 7, w.now) // its clock stands at the beginning of time
	w.all[2].plan()
	if took := w.settles(time.Minute); took < 0 {
		t.Errorf("after a clock went back: %s", w.settled())
	}
	moved, all := 0, 1000
	before := make(map[string]string)
	for n := range all {
		before[fmt.Sprint(n)] = w.all[0].view.Owner(fmt.Sprint(n))
	}
	w.all[4].kill()
	w.settles(time.Minute)
	for key, owner := range before {
		if now := w.all[1].view.Owner(key); now != owner && owner != "d4" {
			t.Fatalf("%s moves from %s to %s, though neither is gone", key, owner, now)
		} else if now != owner {
			moved++
		}
	}
	if moved < all/10 || moved > all*3/10 {
		t.Errorf("%d of %d moved", moved, all)
	}
}

// What is no message changes nothing, whatever it holds; what is comes through.
func TestMessagesThatCannotBeRead(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		if m, ok := readMessage(rapid.SliceOfN(rapid.Byte(), 0, Most+10).Draw(t, "text")); ok && len(m.entries) > 10 {
			t.Fatalf("%+v", m)
		}
	})
	w := newWorld(8, 3)
	w.startAll(0)
	w.run(3 * time.Second)
	var text []byte
	probe := &tap{host: w.all[0], seen: &text}
	w.all[0].view.host = probe
	w.all[0].view.give(1, message{})
	m, ok := readMessage(text)
	if !ok || len(m.entries) != 2 || m.sender.Name != "d0" || len(text) > Most {
		t.Fatalf("%+v, %v", m, ok)
	}
	for i := range text {
		if _, ok := readMessage(text[:i]); ok {
			t.Fatalf("%d bytes of %d are read", i, len(text))
		}
	}
}

type tap struct {
	*host
	seen *[]byte
}

func (p *tap) Send(_ driver.Peer, text []byte) { *p.seen = text }

func FuzzTake(f *testing.F) {
	w := newWorld(8, 3)
	w.startAll(0)
	w.run(3 * time.Second)
	f.Add([]byte{1, 0, 0, 0})
	f.Fuzz(func(t *testing.T, in []byte) { w.all[0].view.Take(1, in, w.now) })
}

// Two views that differ in one driver of 200 bring it over in one message each way, and one that asks without sums, as older programs do, is given all.
func TestAPullBringsWhatDiffersOnly(t *testing.T) {
	t.Parallel()
	w := newWorld(12, 200)
	w.startAll(time.Second)
	w.run(30 * time.Second)
	if why := w.settled(); why != "" {
		t.Fatal(why)
	}
	a, b := w.all[1].view, w.all[2].view
	k := b.nodes[NodeOf("d9")]
	k.Incarnation++
	b.summed = false
	var text []byte
	a.host, b.host = &tap{host: w.all[1], seen: &text}, &tap{host: w.all[2], seen: &text}
	found := 0
	for range 8 { // by chance two sums are the same, one time in 256
		a.pull.after = 0
		a.askPart(2)
		ask, ok := readMessage(text)
		if !ok || len(ask.sums) != ranges || len(text) > Most {
			t.Fatalf("%d bytes, %+v", len(text), ask)
		}
		b.give(1, ask)
		given, ok := readMessage(text)
		if !ok || len(given.entries) > 12 || given.more && len(given.entries) < 4 {
			t.Fatalf("%+v", given)
		}
		for _, e := range given.entries {
			if e.Node == k.Node && e.Incarnation == k.Incarnation {
				found++
			}
		}
	}
	if found < 6 {
		t.Errorf("it comes over %d times of 8", found)
	}
	all, ask := 0, message{op: opPull}
	for more := true; more; {
		b.give(1, ask)
		given, ok := readMessage(text)
		if !ok || len(given.entries) == 0 {
			t.Fatalf("%+v", given)
		}
		all, more, ask.target = all+len(given.entries), given.more, given.entries[len(given.entries)-1].Node
	}
	if all != len(w.all)-1 {
		t.Errorf("without sums %d are given", all)
	}
}

// What a crash costs any driver until all know of it, the one that is gone too, grows far slower than the fleet: neither whole views nor a word from each.
func TestACrashCostsLittleMoreInALargerFleet(t *testing.T) {
	t.Parallel()
	var worst [2]float64
	for i, n := range []int{60, 240} {
		w := newWorld(13, n)
		w.startAll(time.Second)
		w.run(2 * time.Minute)
		for _, h := range w.all {
			h.sent, h.bytes, h.taken = 0, 0, 0
		}
		from := w.now
		w.all[n/3].kill()
		if w.settles(time.Minute) < 0 {
			t.Fatal(w.settled())
		}
		for _, h := range w.all {
			worst[i] = max(worst[i], float64(h.bytes+h.taken)/(w.now-from).Seconds())
		}
	}
	t.Logf("%.0f bytes a second at the worst of 60, %.0f of 240", worst[0], worst[1])
	if worst[1] > 3*worst[0] || worst[1] > 2000 {
		t.Errorf("%.0f bytes a second at the worst of 60, %.0f of 240", worst[0], worst[1])
	}
}

// Regions that were apart for so long that each has forgotten the other's drivers are one fleet again soon: who is held dead hears of it from the first
// whom it meets, and all believe what it says to that.
func TestRegionsThatForgotEachOtherMeet(t *testing.T) {
	w := newWorld(14, 40)
	w.startAll(time.Second)
	w.run(15 * time.Second)
	w.cut = func(a, b int) bool { return (a < 17) != (b < 17) }
	w.run((forgets + 60) * every)
	if known := len(w.all[0].view.nodes); known != 17 {
		t.Fatalf("%d are known in its region", known)
	}
	w.cut = nil
	healed := w.settles(2 * time.Minute)
	t.Logf("one fleet after %v", healed)
	if healed < 0 || healed > 25*time.Second {
		t.Errorf("after %v: %s", healed, w.settled())
	}
}

// Where half of all that is known changes at once, as regions lose and find each other, no driver spends more than 5 KB a second on it.
func TestHalvesThatComeAndGoStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	w := newWorld(15, 160)
	w.startAll(time.Second)
	w.run(2 * time.Minute)
	for _, what := range []string{"lose", "find"} {
		for _, h := range w.all {
			h.bytes, h.taken = 0, 0
		}
		if w.cut = nil; what == "lose" {
			w.cut = func(a, b int) bool { return (a < 80) != (b < 80) }
		}
		from := w.now
		w.run(20 * time.Second)
		for alone := what == "lose"; w.now < from+2*time.Minute && !(alone && w.all[0].view.Living() == 80 && w.all[159].view.Living() == 80 || !alone && w.settled() == ""); {
			w.run(time.Second)
		}
		worst := 0.0
		for _, h := range w.all {
			worst = max(worst, float64(h.bytes+h.taken)/(w.now-from).Seconds())
		}
		t.Logf("as halves %s each other, for %v: %.0f bytes a second at the worst", what, w.now-from, worst)
		if worst > 5000 {
			t.Errorf("as halves %s each other: %.0f bytes a second at the worst", what, worst)
		}
	}
}

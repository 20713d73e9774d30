package play

import (
	"bytes"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"passtack/internal/emu"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/pgwire"
)

// dying is a driver and its group in one: the first try of an RPC runs, then the driver dies and takes its connection with it, as it may before anything is
// answered on that. For a while it lets nobody in. Later tries it sends on as late as their client allows.
type dying struct {
	t      *testing.T
	loop   *eventloop.Loop
	record *emu.Record
	window time.Duration
	rests  time.Duration            // it is down after each death; 0: it dies at the second RPC of a connection
	down   time.Duration            // until then nobody is let in
	ran    map[string]time.Duration // by token, or by RPC where it has none
	again  int                      // tries of what had run
}

// guest is a client's connection to it.
type guest struct {
	*dying
	stream *eventloop.Stream
	let    bool
	served bool // an RPC has been answered on it
}

func (g *guest) Opened()             {}
func (g *guest) Closed(error)        {}
func (g *guest) Panicked(what error) { g.t.Error(what) }

var inComment = regexp.MustCompile(`([a-z]+)=([^, ]+)`)

func (g *guest) Input(in []byte) int {
	if now := g.loop.Now(); now < g.down {
		g.stream.Close()
		return 0
	}
	if !g.let {
		if len(in) < 4 || len(in) < int(in[3]) { // a start is short, but may come in pieces
			return 0
		}
		size := int(in[3])
		g.let = true
		g.stream.Send(append(pgwire.AppendHead(nil, 'R', 4), 0, 0, 0, 0), append(pgwire.AppendHead(nil, 'Z', 1), 'I'))
		return size
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || kind != 'Q' || size == 0 {
		return size
	}
	said := make(map[string]string)
	for _, m := range inComment.FindAllStringSubmatch(strings.SplitN(string(bytes.TrimSuffix(body, []byte{0})), "*/", 2)[0], -1) {
		said[m[1]] = m[2]
	}
	key, id := said["k"], said["id"]
	if key == "" {
		key = id
		if said["r"] != "" {
			g.again++
		}
	}
	millis, _ := strconv.Atoi(said["d"])
	if g.rests == 0 && !g.served && said["r"] == "" { // then the next one comes on a connection that has rested
		g.served = true
		g.record.Ran(id, true, "")
		g.stream.Send(pgwire.AppendHead(nil, 'D', 0), append(pgwire.AppendHead(nil, 'Z', 1), 'I'))
		return size
	}
	if _, known := g.ran[key]; !known {
		g.ran[key] = g.loop.Now()
		g.record.Ran(id, true, "")
		g.loop.At(g.loop.Now()+20*time.Millisecond, func() {
			g.down = g.loop.Now() + g.rests
			g.stream.Close()
		})
		return size
	}
	g.again++
	g.loop.At(g.loop.Now()+time.Duration(millis)*time.Millisecond, func() {
		g.record.Ran(id, g.loop.Now()-g.ran[key] > g.window, "")
		g.stream.Close()
	})
	return size
}

// Clients ask again for what may have run only while its group knows the token, however long a driver holds the try, also where what failed last was a
// connection that nobody let in; and never for what must not run twice.
func TestClientsKeepToTheWindow(t *testing.T) {
	for effect, rests := range map[string]time.Duration{"tokened": 150 * time.Millisecond, "non-idempotent": 0} {
		s, err := ParseScript([]byte(strings.NewReplacer("drivers = 4", "drivers = 1", `need = "any"`,
			"need = \"write\"\n    effect = \""+effect+"\"\n    window = \"1200ms\"", "rate = 200", "rate = 12", "retries = 2", "retries = 6").Replace(fourDrivers)), "x.hcl")
		if err != nil {
			t.Fatal(err)
		}
		world := sim.New(1, epoch)
		home, crowd := world.AddHost("d0"), world.AddHost("clients")
		at := netip.MustParseAddrPort("10.0.0.1:6543")
		l, err := s.on(home)
		if err != nil {
			t.Fatal(err)
		}
		people, err := s.on(crowd)
		if err != nil {
			t.Fatal(err)
		}
		record := emu.NewRecord(emu.Allowed{})
		d := &dying{t: t, loop: l, record: record, window: s.Methods[0].Window, rests: rests, ran: make(map[string]time.Duration)}
		if _, err := l.Listen(at, 1<<16, eventloop.AcceptLimiter{Descriptors: func(most int) int { return most }}, func(open func(eventloop.Handler) *eventloop.Stream) {
			g := &guest{dying: d}
			g.stream = open(g)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		clients := NewClients(people, s, record, emu.NewLedger(epoch), 1, []netip.AddrPort{at})
		world.Run(epoch + s.Ends())
		if clients.Asked < 40 || len(d.ran) < 20 || effect == "tokened" && d.again < 10 || effect != "tokened" && d.again > 0 {
			t.Errorf("%s: %d asked, %d ran, %d of them were asked for again", effect, clients.Asked, len(d.ran), d.again)
		}
		for _, b := range record.Broken(0) {
			if strings.HasPrefix(b, "rule 2") {
				t.Errorf("%s: %s", effect, b)
			}
		}
	}
}

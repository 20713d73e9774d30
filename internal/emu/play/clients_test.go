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

// crashingDriver stands for a driver and its group. The first try of an RPC runs, then the driver dies and closes its
// connections before it has answered. For a while it admits nobody. Later tries run as late as their time limit
// allows.
type crashingDriver struct {
	t         *testing.T
	loop      *eventloop.Loop
	record    *emu.Record
	window    time.Duration
	downtime  time.Duration            // after each death; 0: it dies at the second RPC of a connection
	downUntil time.Duration            // until then nobody is admitted
	ranAt     map[string]time.Duration // by token, or by RPC if it has none
	retries   int                      // tries of an RPC that had run
}

// crashingConn is a client's connection to crashingDriver.
type crashingConn struct {
	*crashingDriver
	stream   *eventloop.Stream
	admitted bool
	answered bool // an RPC has been answered on it
}

func (c *crashingConn) Opened()             {}
func (c *crashingConn) Closed(error)        {}
func (c *crashingConn) Panicked(what error) { c.t.Error(what) }

var commentField = regexp.MustCompile(`([a-z]+)=([^, ]+)`)

func (c *crashingConn) Input(in []byte) int {
	if now := c.loop.Now(); now < c.downUntil {
		c.stream.Close()
		return 0
	}
	if !c.admitted {
		if len(in) < 4 || len(in) < int(in[3]) { // the startup message is short, but may arrive in parts
			return 0
		}
		size := int(in[3])
		c.admitted = true
		c.stream.Send(append(pgwire.AppendHead(nil, 'R', 4), 0, 0, 0, 0), append(pgwire.AppendHead(nil, 'Z', 1), 'I'))
		return size
	}
	kind, body, size, err := pgwire.Next(in)
	if err != nil || kind != 'Q' || size == 0 {
		return size
	}
	values := make(map[string]string)
	for _, m := range commentField.FindAllStringSubmatch(strings.SplitN(string(bytes.TrimSuffix(body, []byte{0})), "*/", 2)[0], -1) {
		values[m[1]] = m[2]
	}
	key, id := values["k"], values["id"]
	if key == "" {
		key = id
		if values["r"] != "" {
			c.retries++
		}
	}
	millis, _ := strconv.Atoi(values["d"])
	if c.downtime == 0 && !c.answered && values["r"] == "" { // the next one then arrives on a reused connection
		c.answered = true
		c.record.AttemptRan(id, true, "")
		c.stream.Send(pgwire.AppendHead(nil, 'D', 0), append(pgwire.AppendHead(nil, 'Z', 1), 'I'))
		return size
	}
	if _, known := c.ranAt[key]; !known {
		c.ranAt[key] = c.loop.Now()
		c.record.AttemptRan(id, true, "")
		c.loop.At(c.loop.Now()+20*time.Millisecond, func() {
			c.downUntil = c.loop.Now() + c.downtime
			c.stream.Close()
		})
		return size
	}
	c.retries++
	c.loop.At(c.loop.Now()+time.Duration(millis)*time.Millisecond, func() {
		c.record.AttemptRan(id, c.loop.Now()-c.ranAt[key] > c.window, "")
		c.stream.Close()
	})
	return size
}

// Guards against a second effect: clients must retry an RPC that may have run only while its group holds the token,
// even if the last failure was a connection that was not admitted, and must never retry a non-idempotent one.
func TestClientsRetryWithinTokenWindow(t *testing.T) {
	for effect, downtime := range map[string]time.Duration{"tokened": 150 * time.Millisecond, "non-idempotent": 0} {
		s, err := ParseScript([]byte(strings.NewReplacer("drivers = 4", "drivers = 1", `need = "any"`,
			"need = \"write\"\n    effect = \""+effect+"\"\n    window = \"1200ms\"", "rate = 200", "rate = 12", "retries = 2", "retries = 6").Replace(fourDrivers)), "x.hcl")
		if err != nil {
			t.Fatal(err)
		}
		world := sim.New(1, epoch)
		home, clientHost := world.AddHost("d0"), world.AddHost("clients")
		at := netip.MustParseAddrPort("10.0.0.1:6543")
		l, err := s.newLoop(home)
		if err != nil {
			t.Fatal(err)
		}
		clientLoop, err := s.newLoop(clientHost)
		if err != nil {
			t.Fatal(err)
		}
		record := emu.NewRecord(emu.Tolerance{})
		d := &crashingDriver{t: t, loop: l, record: record, window: s.Methods[0].Window, downtime: downtime, ranAt: make(map[string]time.Duration)}
		if _, err := l.Listen(at, 1<<16, eventloop.AcceptLimiter{Descriptors: func(most int) int { return most }}, func(open func(eventloop.Handler) *eventloop.Stream) {
			c := &crashingConn{crashingDriver: d}
			c.stream = open(c)
		}, func(bool) {}); err != nil {
			t.Fatal(err)
		}
		clients := NewClients(clientLoop, s, record, emu.NewLedger(epoch), 1, []netip.AddrPort{at})
		world.Run(epoch + s.Ends())
		if clients.Asked < 40 || len(d.ranAt) < 20 || effect == "tokened" && d.retries < 10 || effect != "tokened" && d.retries > 0 {
			t.Errorf("%s: %d asked, %d ran, %d of them were retried", effect, clients.Asked, len(d.ranAt), d.retries)
		}
		for _, b := range record.Broken(0) {
			if strings.HasPrefix(b, "rule 2") {
				t.Errorf("%s: %s", effect, b)
			}
		}
	}
}

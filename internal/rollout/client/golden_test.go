package client

import (
	"bytes"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/rollout"
)

var update = flag.Bool("update", false, "rewrite golden files")

// driver is the host of a client. It applies each offered version except version 3, which it rejects.
type driver struct {
	report  rollout.DriverReport
	client  *Client
	offered []string
	counts  map[string]int
}

func (d *driver) Report() rollout.DriverReport { return d.report }
func (d *driver) Count(counter string)         { d.counts[counter]++ }
func (d *driver) VersionOffered(version uint64, text []byte) {
	d.offered = append(d.offered, fmt.Sprintf("%d: %s", version, text))
	if version == 3 {
		d.report.RejectedVersion, d.report.RejectReason = version, "no \"such\" setting"
	} else {
		d.report.Version, d.report.NeedsRestart = version, []string{"tick_us", "areas"}
	}
	d.client.Settled()
}

// machine is a control machine that sends prepared answers and records the requests.
type machine struct {
	stream   *eventloop.Stream
	requests bytes.Buffer
	answers  []string
}

func (m *machine) Opened()        {}
func (m *machine) Panicked(error) {}
func (m *machine) Closed(error)   {}
func (m *machine) Input(in []byte) int {
	if m.requests.Write(in); len(m.answers) > 0 {
		m.requests.WriteString("\n----\n")
		m.stream.Send([]byte(m.answers[0]))
		m.answers = m.answers[1:]
	}
	return len(in)
}

// Control machines depend on the exact requests of a client, which must not change. They report applied and rejected versions.
func TestGoldenRequests(t *testing.T) {
	world := sim.New(3, 1767225600*time.Second)
	newLoop := func(name string) *eventloop.Loop {
		h := world.AddHost(name)
		l, err := eventloop.NewWithSystem(h, 100, 16<<20)
		if err != nil {
			t.Fatal(err)
		}
		h.Serve(l, func() {})
		return l
	}
	address := netip.MustParseAddrPort("10.0.0.1:7400")
	m := &machine{answers: []string{"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 200 OK\r\nVersion: 2\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nVersion: 3\r\nContent-Length: 15\r\n\r\n{\"settings\":{}}", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}}
	if _, err := newLoop("c0").Listen(address, 1<<20, eventloop.AcceptLimiter{}, func(open func(eventloop.Handler) *eventloop.Stream) { m.stream = open(m) }, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	d := &driver{report: rollout.DriverReport{Driver: "d0"}, counts: make(map[string]int)}
	d.client = New(newLoop("d0"), d, "bureau", "d0", []netip.AddrPort{address}, 1)
	world.Run(world.Now() + 200*time.Millisecond)
	path := filepath.Join("testdata", "requests.txt")
	if *update {
		if err := os.WriteFile(path, m.requests.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(m.requests.Bytes(), want) {
		t.Errorf("requests are\n%s\nwant\n%s", m.requests.Bytes(), want)
	}
	if got := fmt.Sprint(d.offered); got != `[2: {} 3: {"settings":{}}]` || d.counts["configuration_poll_failures"] != 1 || d.counts["configuration_polls"] != 4 {
		t.Errorf("offered %s, counted %v", got, d.counts)
	}
}

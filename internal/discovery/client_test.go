package discovery

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/loop"
	"passtack/internal/pcg"
)

// recorder records lists as text.
type recorder struct {
	text      strings.Builder
	openLists int
}

func (t *recorder) ListBegins(how driver.Listing) { t.openLists++; fmt.Fprintf(&t.text, "%d[", how) }
func (t *recorder) ListEnds(how driver.Listing)   { t.openLists--; fmt.Fprintf(&t.text, "]%d ", how) }
func (t *recorder) Count(string)                  {}
func (t *recorder) Listed(uid string, at netip.AddrPort, zone string, group driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	fmt.Fprintf(&t.text, "%s %s %s %d %d %v %d %t;", uid, at, zone, group, state, size, started, primary)
}

var idleLoop = sync.OnceValues(func() (*loop.Loop, error) { return loop.New(1000, 0) })

func newClient(t testing.TB) (*Client, *recorder) {
	l, err := idleLoop()
	if err != nil {
		t.Fatal(err)
	}
	recorded := new(recorder)
	return New(l, recorded, netip.MustParseAddrPort("127.0.0.1:9")), recorded
}

const entry = `{"uid":"s-1","endpoint":"127.0.0.1:7001","az":"a","model":"m","pod_group":3,"state":"in_service","capacity_hint":1.5,"boot_ms":1767225600123}`

func TestCompleteListsAndChanges(t *testing.T) {
	d, recorded := newClient(t)
	if err := d.Restore([]byte(`{"rev":41,"all":true,"targets":[` + entry + `]}`)); err != nil || d.revision != 41 {
		t.Fatal(err, d.revision)
	}
	d.receive(200, []byte(`{"rev":42,"all":false,"targets":[]}`), false)
	d.receive(200, []byte(`{"rev":43,"all":false,"targets":[{"uid":"s-2","state":"terminated","pod_group":1,"role":"leader"}]}`), false)
	d.receive(200, []byte(`{"rev":44,"all":true,"targets":[]}`), false)
	want := "2[s-1 127.0.0.1:7001 a 3 1 1.5 1767225600123000000 false;]2 0[]0 " +
		fmt.Sprintf("0[s-2 invalid AddrPort  1 2 0 %d true;]0 1[]1 ", int64(driver.LongAgo))
	if recorded.text.String() != want || d.revision != 44 {
		t.Fatalf("reported %s, want %s, revision %d", recorded.text.String(), want, d.revision)
	}
}

// Stored entries are read by later builds.
func TestStoredEntriesKeepTheirEncoding(t *testing.T) {
	c, _ := newClient(t)
	var stored map[string][]byte
	c.OnList = func(_ int64, _ bool, entries map[string][]byte) { stored = entries }
	body := `{"rev":42,"all":false,"targets":[` + entry + `,{"uid":"s-2","state":"terminated"}]}`
	if err := c.Restore([]byte(body)); err != nil {
		t.Fatal(err)
	}
	const want = `{"UID":"s-1","Endpoint":"127.0.0.1:7001","az":"a","pod_group":3,"State":"in_service","capacity_hint":1.5,` +
		`"boot_ms":1767225600123,"Role":""}`
	if removed, listed := stored["s-2"]; len(stored) != 2 || string(stored["s-1"]) != want || !listed || removed != nil {
		t.Errorf("stored %q", stored)
	}
}

func TestMalformedListsReportOnlyTheFailure(t *testing.T) {
	d, recorded := newClient(t)
	d.revision = 7
	for _, body := range []string{
		"", "[]", "{", `{"all":true,"targets":[` + entry + `]}`, `{"rev":8,"targets":[` + entry + `,{}]}`,
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "in_service", "dancing", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "127.0.0.1:7001", "nowhere", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, ":3", ":-3", 1),
	} {
		recorded.text.Reset()
		d.outstanding = 1
		d.receive(200, []byte(body), false)
		if recorded.text.String() != "3[]3 " || d.revision != 7 || d.outstanding != 0 {
			t.Errorf("%s: reported %s, revision %d", body, recorded.text.String(), d.revision)
		}
	}
	d.receive(503, []byte(`{"rev":9,"all":true,"targets":[]}`), false)
	if d.revision != 7 {
		t.Error("a response with status 503 was used")
	}
}

// A response without a length ends with its connection.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 999))
			fmt.Fprint(c, "HTTP/1.0 200 OK\r\n\r\n", `{"rev":7,"all":true,"targets":[`, entry, `]}`)
			c.Close()
		}
	}()
	l, err := loop.New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	recorded := new(recorder)
	d := New(l, recorded, netip.MustParseAddrPort(listener.Addr().String()))
	d.Fetch()
	l.At(l.Now()+200*time.Millisecond, l.Stop)
	if err := l.Run(func() {}); err != nil || d.revision != 7 || !strings.HasPrefix(recorded.text.String(), "1[s-1 ") {
		t.Fatalf("revision %d, reported %s, %v", d.revision, recorded.text.String(), err)
	}
}

func FuzzLists(f *testing.F) {
	whole := `{"rev":41,"all":true,"targets":[` + entry + `,` + strings.Replace(entry, "s-1", "s-2", 1) + `]}`
	for seed := range uint64(100) {
		chance := pcg.New(seed)
		damaged := []byte(whole)
		for range chance.Below(4) {
			damaged[chance.Below(len(damaged))] = byte(32 + chance.Below(95))
		}
		f.Add(damaged)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		d, recorded := newClient(t)
		err := d.apply(body, false)
		if recorded.openLists != 0 || (err != nil) != (recorded.text.Len() == 0) {
			t.Fatalf("%v, but reported %s", err, recorded.text.String())
		}
	})
}

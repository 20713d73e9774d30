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
	"passtack/internal/eventloop"
	"passtack/internal/pcg"
)

// recorder is a host that records the reported lists as text.
type recorder struct {
	text      strings.Builder
	openLists int
}

func (r *recorder) ListBegins(kind driver.ListKind) { r.openLists++; fmt.Fprintf(&r.text, "%d[", kind) }
func (r *recorder) ListEnds(kind driver.ListKind)   { r.openLists--; fmt.Fprintf(&r.text, "]%d ", kind) }
func (r *recorder) Count(string)                    {}
func (r *recorder) Listed(uid string, address netip.AddrPort, zone string, group driver.Group, state driver.MemberState,
	size float64, started time.Duration, primary bool) {
	fmt.Fprintf(&r.text, "%s %s %s %d %d %v %d %t;", uid, address, zone, group, state, size, started, primary)
}

var idleLoop = sync.OnceValues(func() (*eventloop.Loop, error) { return eventloop.New(1000, 0) })

func newClient(t testing.TB) (*Client, *recorder) {
	l, err := idleLoop()
	if err != nil {
		t.Fatal(err)
	}
	recorded := new(recorder)
	return New(l, recorded, netip.MustParseAddrPort("127.0.0.1:9")), recorded
}

const entry = `{"uid":"s-1","endpoint":"127.0.0.1:7001","az":"a","model":"m","pod_group":3,"state":"in_service","capacity_hint":1.5,"boot_ms":1767225600123}`

// Guards against lists reported as the wrong kind or with wrong entries: a stored one, complete ones and changes.
func TestCompleteListsAndChanges(t *testing.T) {
	client, recorded := newClient(t)
	if err := client.Restore([]byte(`{"rev":41,"all":true,"targets":[` + entry + `]}`)); err != nil || client.revision != 41 {
		t.Fatal(err, client.revision)
	}
	client.receive(200, []byte(`{"rev":42,"all":false,"targets":[]}`), false)
	client.receive(200, []byte(`{"rev":43,"all":false,"targets":[{"uid":"s-2","state":"terminated","pod_group":1,"role":"leader"}]}`), false)
	client.receive(200, []byte(`{"rev":44,"all":true,"targets":[]}`), false)
	want := "2[s-1 127.0.0.1:7001 a 3 1 1.5 1767225600123000000 false;]2 0[]0 " +
		fmt.Sprintf("0[s-2 invalid AddrPort  1 2 0 %d true;]0 1[]1 ", int64(driver.LongAgo))
	if recorded.text.String() != want || client.revision != 44 {
		t.Fatalf("reported %s, want %s, revision %d", recorded.text.String(), want, client.revision)
	}
}

// Guards against a changed encoding of stored entries, which later builds must be able to read.
func TestStoredEntriesKeepTheirEncoding(t *testing.T) {
	client, _ := newClient(t)
	var stored map[string][]byte
	client.OnList = func(_ int64, _ bool, entries map[string][]byte) { stored = entries }
	body := `{"rev":42,"all":false,"targets":[` + entry + `,{"uid":"s-2","state":"terminated"}]}`
	if err := client.Restore([]byte(body)); err != nil {
		t.Fatal(err)
	}
	const want = `{"UID":"s-1","Endpoint":"127.0.0.1:7001","az":"a","pod_group":3,"State":"in_service","capacity_hint":1.5,` +
		`"boot_ms":1767225600123,"Role":""}`
	if removed, listed := stored["s-2"]; len(stored) != 2 || string(stored["s-1"]) != want || !listed || removed != nil {
		t.Errorf("stored %q", stored)
	}
}

// Guards against a partly reported list: of one with a malformed entry, the host gets only the failure.
func TestMalformedListsReportOnlyTheFailure(t *testing.T) {
	client, recorded := newClient(t)
	client.revision = 7
	for _, body := range []string{
		"", "[]", "{", `{"all":true,"targets":[` + entry + `]}`, `{"rev":8,"targets":[` + entry + `,{}]}`,
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "in_service", "dancing", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "127.0.0.1:7001", "nowhere", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, ":3", ":-3", 1),
	} {
		recorded.text.Reset()
		client.outstanding = 1
		client.receive(200, []byte(body), false)
		if recorded.text.String() != "3[]3 " || client.revision != 7 || client.outstanding != 0 {
			t.Errorf("%s: reported %s, revision %d", body, recorded.text.String(), client.revision)
		}
	}
	client.receive(503, []byte(`{"rev":9,"all":true,"targets":[]}`), false)
	if client.revision != 7 {
		t.Error("a response with status 503 was used")
	}
}

// Guards against waiting for more of a response without a length, which is complete when its connection ends.
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
	l, err := eventloop.New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	recorded := new(recorder)
	client := New(l, recorded, netip.MustParseAddrPort(listener.Addr().String()))
	client.Fetch()
	l.At(l.Now()+200*time.Millisecond, l.Stop)
	if err := l.Run(func() {}); err != nil || client.revision != 7 || !strings.HasPrefix(recorded.text.String(), "1[s-1 ") {
		t.Fatalf("revision %d, reported %s, %v", client.revision, recorded.text.String(), err)
	}
}

// Guards against a panic on a damaged list, and against a malformed list of which a part is reported.
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
		client, recorded := newClient(t)
		err := client.apply(body, false)
		if recorded.openLists != 0 || (err != nil) != (recorded.text.Len() == 0) {
			t.Fatalf("%v, but reported %s", err, recorded.text.String())
		}
	})
}

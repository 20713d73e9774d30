package list

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

// told writes down what the list says.
type told struct {
	text strings.Builder
	open int
}

func (t *told) ListBegins(how driver.Listing) { t.open++; fmt.Fprintf(&t.text, "%d[", how) }
func (t *told) ListEnds(how driver.Listing)   { t.open--; fmt.Fprintf(&t.text, "]%d ", how) }
func (t *told) Count(string)                  {}
func (t *told) Listed(uid string, at netip.AddrPort, zone string, group driver.Group, state driver.Standing,
	size float64, started time.Duration, primary bool) {
	fmt.Fprintf(&t.text, "%s %s %s %d %d %v %d %t;", uid, at, zone, group, state, size, started, primary)
}

var idle = sync.OnceValues(func() (*loop.Loop, error) { return loop.New(1000, 0) })

func newDiscovery(t testing.TB) (*Discovery, *told) {
	l, err := idle()
	if err != nil {
		t.Fatal(err)
	}
	heard := new(told)
	return New(l, heard, netip.MustParseAddrPort("127.0.0.1:9")), heard
}

const entry = `{"uid":"s-1","endpoint":"127.0.0.1:7001","az":"a","model":"m","pod_group":3,"state":"in_service","capacity_hint":1.5,"boot_ms":1767225600123}`

func TestWholeListsAndChanges(t *testing.T) {
	d, heard := newDiscovery(t)
	if err := d.Know([]byte(`{"rev":41,"all":true,"targets":[` + entry + `]}`)); err != nil || d.rev != 41 {
		t.Fatal(err, d.rev)
	}
	d.answered(200, []byte(`{"rev":42,"all":false,"targets":[]}`), false)
	d.answered(200, []byte(`{"rev":43,"all":false,"targets":[{"uid":"s-2","state":"terminated","pod_group":1,"role":"leader"}]}`), false)
	d.answered(200, []byte(`{"rev":44,"all":true,"targets":[]}`), false)
	want := "2[s-1 127.0.0.1:7001 a 3 1 1.5 1767225600123000000 false;]2 0[]0 " +
		fmt.Sprintf("0[s-2 invalid AddrPort  1 2 0 %d true;]0 1[]1 ", int64(driver.LongAgo))
	if heard.text.String() != want || d.rev != 44 {
		t.Fatalf("told %s, wanted %s, version %d", heard.text.String(), want, d.rev)
	}
}

func TestBrokenListsTellNothingButTheFailure(t *testing.T) {
	d, heard := newDiscovery(t)
	d.rev = 7
	for _, body := range []string{
		"", "[]", "{", `{"all":true,"targets":[` + entry + `]}`, `{"rev":8,"targets":[` + entry + `,{}]}`,
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "in_service", "dancing", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, "127.0.0.1:7001", "nowhere", 1),
		strings.Replace(`{"rev":8,"targets":[`+entry+`]}`, ":3", ":-3", 1),
	} {
		heard.text.Reset()
		d.asked = 1
		d.answered(200, []byte(body), false)
		if heard.text.String() != "3[]3 " || d.rev != 7 || d.asked != 0 {
			t.Errorf("%s: told %s, version %d", body, heard.text.String(), d.rev)
		}
	}
	d.answered(503, []byte(`{"rev":9,"all":true,"targets":[]}`), false)
	if d.rev != 7 {
		t.Error("an answer with status 503 was believed")
	}
}

// An answer without a length ends with its connection.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
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
	heard := new(told)
	d := New(l, heard, netip.MustParseAddrPort(listener.Addr().String()))
	d.Fetch()
	l.At(l.Now()+200*time.Millisecond, l.Stop)
	if err := l.Run(func() {}); err != nil || d.rev != 7 || !strings.HasPrefix(heard.text.String(), "1[s-1 ") {
		t.Fatalf("version %d, told %s, %v", d.rev, heard.text.String(), err)
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
		d, heard := newDiscovery(t)
		err := d.tell(body, false)
		if heard.open != 0 || (err != nil) != (heard.text.Len() == 0) {
			t.Fatalf("%v, but told %s", err, heard.text.String())
		}
	})
}

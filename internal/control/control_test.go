package control

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/testaddress"
)

// serve answers queries at a free address until the test ends, and returns the address.
func serve(t *testing.T, answers Handlers) string {
	t.Helper()
	address := testaddress.Reserve(t)
	l, err := eventloop.New(200, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(l, netip.MustParseAddrPort(address), answers); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() {
		l.Run(func() { l.Stop() })
		l.Close()
		close(stopped)
	}()
	t.Cleanup(func() {
		l.Wake()
		<-stopped
	})
	return address
}

// A query returns the decoded answer, or an error if the query is unknown, the answer cannot be encoded or no driver listens.
func TestQuery(t *testing.T) {
	address := serve(t, Handlers{"status": func() any { return map[string]int{"rpcs": 7} }, "broken": func() any { return func() {} }})
	var got map[string]int
	if err := Query(address, "status", &got); err != nil || got["rpcs"] != 7 {
		t.Errorf("%v, %v", got, err)
	}
	var failure *Error
	if err := Query(address, "weather", &got); !errors.As(err, &failure) || failure.Message != `there is nothing to tell of "weather"` {
		t.Errorf("an unknown query: %v", err)
	}
	if err := Query(address, "broken", &got); err == nil {
		t.Error("a value that JSON cannot encode is answered")
	}
	if err := Query("127.0.0.1:1", "status", &got); err == nil {
		t.Error("a query without a driver succeeds")
	}
}

// Connections that send nothing, too much or an incomplete line are closed, and do not block later queries: otherwise maxConnections of them
// would make the endpoint unusable.
func TestSilentConnectionsAreClosed(t *testing.T) {
	address := serve(t, Handlers{"status": func() any { return 1 }})
	var silent []net.Conn
	for range maxConnections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	silent[0].Write([]byte("stat"))
	silent[1].Write([]byte(strings.Repeat("x", 10*maxQueryBytes)))
	silent[1].SetDeadline(time.Now().Add(receiveTimeout / 2))
	if _, err := io.ReadAll(silent[1]); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("a connection that sends too much is not closed immediately")
	}
	silent[0].SetDeadline(time.Now().Add(2 * receiveTimeout))
	if _, err := io.ReadAll(silent[0]); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("a connection that sends an incomplete line is not closed")
	}
	var got int
	if err := Query(address, "status", &got); err != nil || got != 1 {
		t.Errorf("afterwards: %v, %v", got, err)
	}
}

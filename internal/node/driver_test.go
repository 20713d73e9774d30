package node

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"passtack/internal/pgwire"
	"passtack/internal/testaddress"
)

// listenLocal listens on a free address until the test ends.
func listenLocal(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serveConnections serves each connection in its own goroutine until the listener is closed.
func serveConnections(l net.Listener, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// runningDriver is a driver under test. stop sends SIGTERM to the process and waits until the driver has stopped.
type runningDriver struct {
	*Node
	address string
	stop    func()
}

func startDriver(t *testing.T, discovery string, sockets int, initialList string) *runningDriver {
	return runDriver(t, buildDriver(t, discovery, sockets, initialList, testSettings))
}

func buildDriver(t testing.TB, discovery string, sockets int, initialList, settings string) *Node {
	return buildDriverWithConfig(t, discovery, sockets, initialList, settings, nil)
}

// buildDriverWithConfig builds a driver with an initial endpoint list and settings. If configFor is not nil, it also writes an operator's
// file: configFor returns its text, with a free address for a listener.
func buildDriverWithConfig(t testing.TB, discovery string, sockets int, initialList, settings string, configFor func(address string) string) *Node {
	if discovery == "" {
		discovery = testaddress.Reserve(t)
	}
	file := filepath.Join(t.TempDir(), "site.json")
	var failed error
	for range 5 { // the port of the datagrams is not reserved: another process may use it
		listen, peerListen, operatorListen := testaddress.Reserve(t), testaddress.Reserve(t), testaddress.Reserve(t)
		open, err := os.ReadDir("/proc/self/fd") // the fake members and clients of this process use descriptors too
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(file, fmt.Appendf(nil, `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"peer_listen":"%s","peers":["127.0.0.1:9"],"peers_all":"127.0.0.1:9",
"known":%s,"settings":%s}`, listen, discovery, sockets+len(open), peerListen, initialList, settings), 0o600)
		site, err := ReadSite(file, func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		if configFor != nil {
			site.ConfigFile = filepath.Join(t.TempDir(), "passtack.hcl")
			os.WriteFile(site.ConfigFile, []byte(configFor(operatorListen)), 0o600)
		}
		cfg, err := site.ReadConfig()
		if err != nil {
			t.Fatal(err)
		}
		n, err := New(site, cfg)
		if err == nil {
			return n
		}
		failed = err
	}
	t.Fatal(failed)
	return nil
}

func runDriver(t testing.TB, n *Node) *runningDriver {
	done := make(chan error)
	go func() { done <- n.Run() }()
	d := &runningDriver{Node: n, address: n.site.Listen.String()}
	d.stop = sync.OnceFunc(func() {
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		select {
		case err := <-done:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(30 * time.Second):
			t.Error("the driver has not stopped after 30 s")
		}
	})
	t.Cleanup(d.stop)
	if got := dialPG(t, d.address).query(t, ""); got != "empty" { // an answer shows that Run has registered for signals
		t.Fatalf("the empty query was answered with %s", got)
	}
	return d
}

// waitFor waits until a condition holds, and fails the test if it does not hold within 20 s.
func waitFor(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("after 20 s, not fulfilled: %s", condition)
		}
	}
}

// pgClient is a client that speaks the PostgreSQL protocol. All its answers must arrive within 30 s.
type pgClient struct {
	net.Conn
	r *bufio.Reader
}

func dialPG(t testing.TB, address string) *pgClient {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	c.Write(pgwire.AppendStartup(nil, "app", "shop"))
	return &pgClient{c, bufio.NewReader(c)}
}

func queryMessage(text string) []byte {
	return append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)
}

func taggedStatement(id, method string, millis, group int) string {
	return fmt.Sprintf("/* id=%s,c=%s,d=%d,k=key-%s,cluster=%d */ INSERT INTO items (id, doc) VALUES ('%s', 'x')", id, method, millis, id, group, id)
}

// readAnswer reads one complete answer. It returns "ok" and the value of the row, the error code, "empty" or "done" for an answer
// without a row, or a text that ends with "closed" if the connection ended.
func (c *pgClient) readAnswer() string {
	got := ""
	for {
		kind, body, err := readMessage(c.r)
		if err != nil {
			return got + "closed"
		}
		switch kind {
		case 'D':
			got = "ok " + string(body[6:])
		case 'I':
			got = "empty"
		case 'C':
			if got == "" {
				got = "done"
			}
		case 'E':
			pgwire.Fields(body, func(code byte, value []byte) {
				if code == 'C' {
					got = string(value)
				}
			})
		case 'Z':
			if got != "" {
				return got
			}
		}
	}
}

func (c *pgClient) query(t testing.TB, text string) string {
	t.Helper()
	c.Write(queryMessage(text))
	return c.readAnswer()
}

const codeRejected, codeAborted, codeInvalidRequest = "53300", "58000", "08P01"

// outcomes returns the number of attempts that have ended, from the counters of all outcomes.
func (d *runningDriver) outcomes() (sum int) {
	for _, name := range outcomeNames {
		sum += d.counters["attempts_"+name]
	}
	return sum
}

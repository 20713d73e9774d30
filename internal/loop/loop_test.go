package loop

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// echo sends its input back; input that starts with '!' makes it panic.
type echo struct {
	stream       *Stream
	panicked     bool
	ignoresInput bool // consumes no input
}

func (e *echo) Opened()              {}
func (e *echo) Closed(error)         {}
func (e *echo) Panicked(cause error) { e.panicked = true; e.stream.CloseWhenSent() }

func (e *echo) Input(in []byte) int {
	if in[0] == '!' {
		panic("as asked")
	}
	if e.ignoresInput || e.stream.Unsent() > 0 {
		return 0
	}
	e.stream.Send(in)
	return len(in)
}

func startEchoServer(t *testing.T, maxDescriptors, maxExtraBytes int, ignoresInput bool) (l *Loop, address netip.AddrPort, stop func()) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	l, err := New(maxDescriptors, maxExtraBytes)
	if err != nil {
		t.Fatal(err)
	}
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = netip.MustParseAddrPort(probe.Addr().String())
	probe.Close()
	if _, err := l.Listen(address, 64<<10, AcceptLimiter{}, func(open func(Handler) *Stream) {
		e := &echo{ignoresInput: ignoresInput}
		e.stream = open(e)
	}, func(bool) {}); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- l.Run(l.Stop) }()
	stop = sync.OnceFunc(func() {
		l.Wake()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return l, address, stop
}

func dialTCP(t *testing.T, address netip.AddrPort) net.Conn {
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func expectEcho(t *testing.T, c net.Conn, text string) {
	c.Write([]byte(text))
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("sent %q, got %q, %v", text, got, err)
	}
}

func TestPanicEndsOneStreamOnly(t *testing.T) {
	_, at, _ := startEchoServer(t, 100, 1<<20, false)
	other, panicking := dialTCP(t, at), dialTCP(t, at)
	expectEcho(t, other, "before")
	panicking.Write([]byte("!"))
	if n, err := panicking.Read(make([]byte, 9)); err != io.EOF {
		t.Fatalf("%d bytes, %v", n, err)
	}
	expectEcho(t, other, "after")
}

// Input that crosses a close must not be read, or it would count as accepted.
func TestInputAfterCloseWhenSentIsNotRead(t *testing.T) {
	l, err := New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	e := new(echo)
	if e.stream, err = l.newStream(ends[0], e, 64<<10, false); err != nil {
		t.Fatal(err)
	}
	unix.Write(ends[1], []byte("!crosses"))
	e.stream.Send([]byte("last words"))
	e.stream.CloseWhenSent()
	l.At(l.Now()+50*time.Millisecond, func() { unix.Close(ends[1]) })
	l.At(l.Now()+100*time.Millisecond, l.Stop)
	got := make([]byte, 99)
	if n, err := unix.Read(ends[1], got); err != nil || string(got[:n]) != "last words" {
		t.Fatalf("%q, %v", got[:n], err)
	}
	if err := l.Run(func() {}); err != nil || e.panicked || !e.stream.closed {
		t.Fatalf("read %t, closed %t, %v", e.panicked, e.stream.closed, err)
	}
}

func TestSlowReaderDelaysOnlyItself(t *testing.T) {
	_, at, _ := startEchoServer(t, 100, 1<<20, false)
	slow, other := dialTCP(t, at), dialTCP(t, at)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go slow.Write(sent)
	for range 50 {
		expectEcho(t, other, "quick")
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(slow, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("the slow reader read different bytes, %v", err)
	}
}

func TestConnectionsWaitForAFreeDescriptor(t *testing.T) {
	free, err := New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	limit := free.descriptors.inherited + 2 + 6 // its own two; half of the rest is for clients
	l, at, stop := startEchoServer(t, limit, 1<<20, false)
	var clients []net.Conn
	for range 3 {
		clients = append(clients, dialTCP(t, at))
		expectEcho(t, clients[len(clients)-1], "in")
	}
	late := dialTCP(t, at)
	late.Write([]byte("waits"))
	late.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, err := late.Read(make([]byte, 9)); err == nil {
		t.Fatalf("%d bytes were echoed beyond the limit", n)
	}
	late.SetReadDeadline(time.Now().Add(20 * time.Second))
	clients[0].Close()
	got := make([]byte, 5)
	if _, err := io.ReadFull(late, got); err != nil || string(got) != "waits" {
		t.Fatalf("%q, %v", got, err)
	}
	stop()
	if _, most := l.DescriptorCounts(); most > limit {
		t.Fatalf("%d descriptors were open", most)
	}
}

func TestLongMessagesShareBufferBudget(t *testing.T) {
	const budget = 40 << 10
	l, at, stop := startEchoServer(t, 100, budget, true)
	for range 5 { // each would buffer 64 KiB
		c := dialTCP(t, at)
		c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		c.Write(make([]byte, 8<<20))
	}
	stop()
	if l.memory.extraBytes > budget/2 || l.memory.extraBytes < budget/4 || len(l.memory.starved) == 0 { // half is left for the answers to requests
		t.Fatalf("%d bytes beyond the standard size are held, %d streams wait", l.memory.extraBytes, len(l.memory.starved))
	}
	l.memory.starved[0].Send(make([]byte, 16<<20)) // the client does not read that either
	if l.memory.extraBytes < 4<<20 {
		t.Errorf("%d bytes count as held, of which 16 MB wait to be read", l.memory.extraBytes)
	}
	for _, s := range l.memory.starved {
		s.Close()
	}
	if l.memory.extraBytes != 0 || len(l.memory.starved) != 0 {
		t.Fatalf("%d bytes are held for nobody, %d streams wait", l.memory.extraBytes, len(l.memory.starved))
	}
}

func TestTimersFireInOrder(t *testing.T) {
	l, err := New(100, 0)
	if err != nil {
		t.Fatal(err)
	}
	order := ""
	add := func(name string) func() { return func() { order += name } }
	now := l.Now()
	l.At(now+20*time.Millisecond, add("d"))
	l.At(now+5*time.Millisecond, func() {
		order += "b"
		l.Defer(add("c"))
		panic("as asked")
	})
	l.Defer(add("a"))
	l.At(now+30*time.Millisecond, l.Stop)
	if err := l.Run(func() {}); err != nil || order != "abcd" {
		t.Fatalf("order %s, %v", order, err)
	}
}

// silentHandler consumes nothing and notes how its stream ended.
type silentHandler struct {
	closed bool
	cause  error
}

func (*silentHandler) Opened()              {}
func (k *silentHandler) Closed(cause error) { k.closed, k.cause = true, cause }
func (*silentHandler) Panicked(error)       {}
func (*silentHandler) Input([]byte) int     { return 0 }

// The peer closes while reading is paused for lack of memory and input waits in the kernel. This is no orderly end yet: a
// close is reported once the rest has been read, a reset at once.
func TestCloseIsReportedOnlyAfterUnreadInput(t *testing.T) {
	for _, reset := range []bool{false, true} {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer n.Close()
		l, err := New(50, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		k := new(silentHandler)
		s, err := l.Dial(netip.MustParseAddrPort(n.Addr().String()), k, 64<<10)
		if err != nil {
			t.Fatal(err)
		}
		c, err := n.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Write(make([]byte, 3*readBufferSize))
		for !s.ReadPaused() {
			l.RunOnce(10*time.Millisecond, func() {})
		}
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		for range 20 {
			l.RunOnce(10*time.Millisecond, func() {})
		}
		if k.closed != reset || k.cause == io.EOF {
			t.Errorf("reset %t: closed %t with %v after %d of %d bytes", reset, k.closed, k.cause, len(s.Unread()), 3*readBufferSize)
		}
		if reset {
			continue
		}
		l.SetLimits(50, 1<<20) // the memory is available again
		l.accountBytes(-1)
		for range 100 {
			if l.RunOnce(10*time.Millisecond, func() {}); k.closed {
				break
			}
		}
		if k.cause != io.EOF {
			t.Errorf("closed %t with %v once all could be read", k.closed, k.cause)
		}
	}
}

// discardHandler consumes all input and ignores it.
type discardHandler struct{}

func (discardHandler) Opened()             {}
func (discardHandler) Closed(error)        {}
func (discardHandler) Panicked(error)      {}
func (discardHandler) Input(in []byte) int { return len(in) }

// DialReserved gets a descriptor when all others are in use.
func TestReservedDescriptors(t *testing.T) {
	_, at, stop := startEchoServer(t, 200, 1<<20, true)
	defer stop()
	l, err := New(60, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened := 0
	for ; opened < 100; opened++ {
		if _, err := l.Dial(at, discardHandler{}, 1<<10); err == ErrNoDescriptors {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if opened < 20 || opened == 100 {
		t.Fatalf("%d connections were opened", opened)
	}
	if _, err := l.DialReserved(at, discardHandler{}, 1<<10); err != nil {
		t.Error("no descriptor was reserved:", err)
	}
	for range 5 {
		if _, err = l.DialReserved(at, discardHandler{}, 1<<10); err == ErrNoDescriptors {
			return
		}
	}
	t.Error("more connections were opened than the limit allows")
}

package eventloop

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

	"passtack/internal/testaddress"
)

// echoHandler sends its input back. It panics on input that starts with '!'.
type echoHandler struct {
	stream       *Stream
	panicked     bool
	ignoresInput bool // Input consumes nothing
}

func (e *echoHandler) Opened()              {}
func (e *echoHandler) Closed(error)         {}
func (e *echoHandler) Panicked(cause error) { e.panicked = true; e.stream.CloseWhenSent() }

func (e *echoHandler) Input(in []byte) int {
	if in[0] == '!' {
		panic("test panic")
	}
	if e.ignoresInput || e.stream.Unsent() > 0 {
		return 0
	}
	e.stream.Send(in)
	return len(in)
}

// startEchoServer runs a loop that listens on a free port and echoes the input of each connection.
func startEchoServer(t *testing.T, maxDescriptors, maxExtraBytes int, ignoresInput bool) (l *Loop, address netip.AddrPort, stop func()) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	l, err := New(maxDescriptors, maxExtraBytes)
	if err != nil {
		t.Fatal(err)
	}
	address = netip.MustParseAddrPort(testaddress.Reserve(t))
	if _, err := l.Listen(address, 64<<10, AcceptLimiter{}, func(open func(Handler) *Stream) {
		e := &echoHandler{ignoresInput: ignoresInput}
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

// dialTCP connects to the address, with a deadline of 20 s for all reads and writes.
func dialTCP(t *testing.T, address netip.AddrPort) net.Conn {
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(20 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

// expectEcho sends a text and fails the test unless it is sent back.
func expectEcho(t *testing.T, c net.Conn, text string) {
	c.Write([]byte(text))
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("sent %q, got %q, %v", text, got, err)
	}
}

// A panic in the handler of one stream ends that stream and leaves the others usable.
func TestPanicEndsOneStreamOnly(t *testing.T) {
	_, address, _ := startEchoServer(t, 100, 1<<20, false)
	other, panicking := dialTCP(t, address), dialTCP(t, address)
	expectEcho(t, other, "before")
	panicking.Write([]byte("!"))
	if n, err := panicking.Read(make([]byte, 9)); err != io.EOF {
		t.Fatalf("read %d bytes, %v, want the end of the stream", n, err)
	}
	expectEcho(t, other, "after")
}

// Input that arrives after CloseWhenSent must not be read: a request in it would count as accepted but get no answer.
func TestInputAfterCloseWhenSentIsNotRead(t *testing.T) {
	l, err := New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	e := new(echoHandler)
	if e.stream, err = l.newStream(ends[0], e, 64<<10, false); err != nil {
		t.Fatal(err)
	}
	unix.Write(ends[1], []byte("!late input"))
	e.stream.Send([]byte("final output"))
	e.stream.CloseWhenSent()
	l.At(l.Now()+50*time.Millisecond, func() { unix.Close(ends[1]) })
	l.At(l.Now()+100*time.Millisecond, l.Stop)
	got := make([]byte, 99)
	if n, err := unix.Read(ends[1], got); err != nil || string(got[:n]) != "final output" {
		t.Fatalf("read %q, %v, want the final output", got[:n], err)
	}
	if err := l.Run(func() {}); err != nil || e.panicked || !e.stream.closed {
		t.Fatalf("input was read: %t, stream closed: %t, %v", e.panicked, e.stream.closed, err)
	}
}

// A client that reads its output slowly does not delay another client, and gets all of its output.
func TestSlowReaderDelaysOnlyItself(t *testing.T) {
	_, address, _ := startEchoServer(t, 100, 1<<20, false)
	slow, other := dialTCP(t, address), dialTCP(t, address)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	go slow.Write(sent)
	for range 50 {
		expectEcho(t, other, "request")
	}
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(slow, got); err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("the slow reader did not read the bytes that were sent, %v", err)
	}
}

// A connection beyond the descriptor limit stays in the backlog, and is accepted once another connection is closed.
func TestConnectionsWaitForAFreeDescriptor(t *testing.T) {
	free, err := New(1000, 0)
	if err != nil {
		t.Fatal(err)
	}
	limit := free.descriptors.inherited + 2 + 6 // 2 descriptors of the loop itself and 6 more, of which 3 are for clients
	l, address, stop := startEchoServer(t, limit, 1<<20, false)
	var clients []net.Conn
	for range 3 {
		clients = append(clients, dialTCP(t, address))
		expectEcho(t, clients[len(clients)-1], "accepted")
	}
	late := dialTCP(t, address)
	late.Write([]byte("later"))
	late.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	if n, err := late.Read(make([]byte, 9)); err == nil {
		t.Fatalf("%d bytes were echoed beyond the limit", n)
	}
	late.SetReadDeadline(time.Now().Add(20 * time.Second))
	clients[0].Close()
	got := make([]byte, 5)
	if _, err := io.ReadFull(late, got); err != nil || string(got) != "later" {
		t.Fatalf("read %q, %v after a descriptor was freed", got, err)
	}
	stop()
	if _, peak := l.DescriptorCounts(); peak > limit {
		t.Fatalf("%d descriptors were open, more than the limit", peak)
	}
}

// The input buffers of all accepted streams together keep to the memory limit, and all memory is released when the streams are
// closed.
func TestLongMessagesShareBufferBudget(t *testing.T) {
	const budget = 40 << 10
	l, address, stop := startEchoServer(t, 100, budget, true)
	for range 5 { // each would buffer 64 KiB if there were no limit
		c := dialTCP(t, address)
		c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		c.Write(make([]byte, 8<<20))
	}
	stop()
	if l.memory.extraBytes > budget/2 || l.memory.extraBytes < budget/4 || len(l.memory.starved) == 0 { // half is left for the answers to requests
		t.Fatalf("%d bytes beyond the standard size are held, %d streams are starved", l.memory.extraBytes, len(l.memory.starved))
	}
	l.memory.starved[0].Send(make([]byte, 16<<20)) // the client does not read this
	if l.memory.extraBytes < 4<<20 {
		t.Errorf("%d bytes are counted although 16 MiB of output are queued", l.memory.extraBytes)
	}
	for _, s := range l.memory.starved {
		s.Close()
	}
	if l.memory.extraBytes != 0 || len(l.memory.starved) != 0 {
		t.Fatalf("%d bytes are counted and %d streams are starved after all of them were closed", l.memory.extraBytes, len(l.memory.starved))
	}
}

// Timers run in the order of their times, also after one of them panics.
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
		panic("test panic")
	})
	l.Defer(add("a"))
	l.At(now+30*time.Millisecond, l.Stop)
	if err := l.Run(func() {}); err != nil || order != "abcd" {
		t.Fatalf("timers ran in the order %s, %v", order, err)
	}
}

// idleHandler consumes no input and records how its stream ended.
type idleHandler struct {
	closed bool
	cause  error
}

func (*idleHandler) Opened()              {}
func (h *idleHandler) Closed(cause error) { h.closed, h.cause = true, cause }
func (*idleHandler) Panicked(error)       {}
func (*idleHandler) Input([]byte) int     { return 0 }

// The peer closes or resets a stream while reading is paused for lack of memory and unread input is in the kernel. A close must
// not be reported as an orderly end before the rest has been read; a reset is reported immediately.
func TestCloseIsReportedOnlyAfterUnreadInput(t *testing.T) {
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		l, err := New(50, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		handler := new(idleHandler)
		s, err := l.Dial(netip.MustParseAddrPort(listener.Addr().String()), handler, 64<<10)
		if err != nil {
			t.Fatal(err)
		}
		client, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		client.Write(make([]byte, 3*readBufferSize))
		for !s.ReadPaused() {
			l.RunOnce(10*time.Millisecond, func() {})
		}
		if reset {
			client.(*net.TCPConn).SetLinger(0)
		}
		client.Close()
		for range 20 {
			l.RunOnce(10*time.Millisecond, func() {})
		}
		if handler.closed != reset || handler.cause == io.EOF {
			t.Errorf("reset %t: Closed called: %t, cause %v, after %d of %d bytes", reset, handler.closed, handler.cause, len(s.Unread()), 3*readBufferSize)
		}
		if reset {
			continue
		}
		l.SetLimits(50, 1<<20) // memory is available again
		l.accountBytes(-1)
		for range 100 {
			if l.RunOnce(10*time.Millisecond, func() {}); handler.closed {
				break
			}
		}
		if handler.cause != io.EOF {
			t.Errorf("Closed called: %t, cause %v, after all input could be read, want io.EOF", handler.closed, handler.cause)
		}
	}
}

// discardHandler consumes and discards all input.
type discardHandler struct{}

func (discardHandler) Opened()             {}
func (discardHandler) Closed(error)        {}
func (discardHandler) Panicked(error)      {}
func (discardHandler) Input(in []byte) int { return len(in) }

// DialReserved gets a reserved descriptor when Dial finds no free one, and no more than the reserved ones.
func TestReservedDescriptors(t *testing.T) {
	_, address, stop := startEchoServer(t, 200, 1<<20, true)
	defer stop()
	l, err := New(60, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened := 0
	for ; opened < 100; opened++ {
		if _, err := l.Dial(address, discardHandler{}, 1<<10); err == ErrNoDescriptors {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	if opened < 20 || opened == 100 {
		t.Fatalf("Dial opened %d connections, want 20 to 99", opened)
	}
	if _, err := l.DialReserved(address, discardHandler{}, 1<<10); err != nil {
		t.Error("no descriptor was reserved:", err)
	}
	for range 5 {
		if _, err = l.DialReserved(address, discardHandler{}, 1<<10); err == ErrNoDescriptors {
			return
		}
	}
	t.Error("more connections were opened than the limit allows")
}

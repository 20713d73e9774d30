package loop

import (
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slots"
)

// What may be waited for, as epoll names it.
const (
	readable = unix.EPOLLIN
	writable = unix.EPOLLOUT
	ended    = unix.EPOLLRDHUP
	broken   = unix.EPOLLHUP | unix.EPOLLERR
)

// Event tells that something of a descriptor is ready; handle 0 is the bell.
type Event struct {
	Handle slots.Handle
	Ready  uint32
}

// System is what a loop needs of the machine: its clock and its sockets, none of which may block but Wait. Errors are the
// kernel's (unix.Errno). The real one is the kernel; loop/sim has one in simulated time.
type System interface {
	Clock() time.Duration // since the start of Unix time; never goes back
	Held() (int, error)   // descriptors that are open before the loop opens any

	Wait(events []Event, most time.Duration) (n int, err error) // most under 0: without limit
	Ring()                                                      // ends Wait, from any goroutine
	Watch(fd int, h slots.Handle, events uint32, anew bool) error

	Dial(to netip.AddrPort) (fd int, err error)
	Listen(at netip.AddrPort) (fd int, err error)
	Accept(fd int) (int, error)
	Receive(at netip.AddrPort) (fd int, err error)

	Read(fd int, into []byte) (int, error)
	Write(fd int, parts [][]byte) (int, error)
	Outcome(fd int) error                        // of a connect that is over
	Quiet(fd int) bool                           // neither ended nor something to read
	Pending(fd int) bool                         // something to read has come
	Arrived(fd int) (ago time.Duration, ok bool) // when the latest byte came
	Goodbye(fd int)                              // ends the sending side
	Take(fd int, into []byte) (n int, from netip.AddrPort, err error)
	Send(fd int, to netip.AddrPort, text []byte)
	Close(fd int)
	Abort(fd int) // Close that the other side sees as a reset
	End()         // nothing is waited for any more
}

// kernel is the machine itself.
type kernel struct {
	poll, bell int
	began      time.Time
	zero       time.Duration
	events     []unix.EpollEvent
}

func newKernel() (*kernel, error) {
	poll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	bell, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, err
	}
	k := &kernel{poll: poll, bell: bell, began: time.Now()}
	k.zero = time.Duration(k.began.UnixNano())
	event := unix.EpollEvent{Events: unix.EPOLLIN}
	return k, unix.EpollCtl(poll, unix.EPOLL_CTL_ADD, bell, &event)
}

// Clock counts from the start of Unix time, by the clock that never goes back.
func (k *kernel) Clock() time.Duration { return k.zero + time.Since(k.began) }

// Held: the runtime holds some for itself and others were handed down. The one through which they are counted leaves
// room for one in hand.
func (k *kernel) Held() (int, error) {
	held, err := os.ReadDir("/proc/self/fd")
	return len(held), err
}

// Wait implements System by epoll_wait.
func (k *kernel) Wait(events []Event, most time.Duration) (int, error) {
	wait := -1
	if most >= 0 {
		wait = int(min((most+time.Millisecond-1)/time.Millisecond, 60000))
	}
	if len(k.events) < len(events) {
		k.events = make([]unix.EpollEvent, len(events))
	}
	n, err := unix.EpollWait(k.poll, k.events[:len(events)], wait)
	if err == unix.EINTR {
		err = nil
	}
	for i, e := range k.events[:max(n, 0)] {
		if events[i] = (Event{slots.Handle(e.Fd), e.Events}); e.Fd == 0 {
			var count [8]byte
			unix.Read(k.bell, count[:])
		}
	}
	return max(n, 0), err
}

// Ring implements System by an eventfd.
func (k *kernel) Ring() {
	one := [8]byte{1}
	unix.Write(k.bell, one[:])
}

// Watch implements System by epoll_ctl.
func (k *kernel) Watch(fd int, h slots.Handle, events uint32, anew bool) error {
	event, how := unix.EpollEvent{Events: events, Fd: int32(h)}, unix.EPOLL_CTL_MOD
	if anew {
		how = unix.EPOLL_CTL_ADD
	}
	return unix.EpollCtl(k.poll, how, fd, &event)
}

// Dial implements System; the connect goes on without blocking.
func (k *kernel) Dial(to netip.AddrPort) (int, error) {
	address, family := sockaddr(to)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := unix.Connect(fd, address); err != nil && err != unix.EINPROGRESS && err != unix.EINTR { // either goes on
		unix.Close(fd)
		return 0, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return fd, nil
}

func sockaddr(a netip.AddrPort) (unix.Sockaddr, int) {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}, unix.AF_INET6
}

func (k *kernel) bind(at netip.AddrPort, kind int) (int, error) {
	address, family := sockaddr(at)
	fd, err := unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if kind == unix.SOCK_STREAM {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err = unix.Bind(fd, address); err == nil && kind == unix.SOCK_STREAM {
		err = unix.Listen(fd, 1024)
	}
	if err != nil {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// Listen implements System.
func (k *kernel) Listen(at netip.AddrPort) (int, error) { return k.bind(at, unix.SOCK_STREAM) }

// Receive implements System: it binds a datagram socket.
func (k *kernel) Receive(at netip.AddrPort) (int, error) { return k.bind(at, unix.SOCK_DGRAM) }

// Accept implements System.
func (k *kernel) Accept(fd int) (int, error) {
	fd, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return fd, err
}

// Read implements System.
func (k *kernel) Read(fd int, into []byte) (int, error) { return unix.Read(fd, into) }

// Write implements System by writev.
func (k *kernel) Write(fd int, parts [][]byte) (int, error) {
	if len(parts) == 1 {
		return unix.Write(fd, parts[0])
	}
	return unix.Writev(fd, parts)
}

// Outcome implements System by SO_ERROR.
func (k *kernel) Outcome(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Quiet implements System by a poll that does not wait.
func (k *kernel) Quiet(fd int) bool {
	_, err := peek(fd)
	return err == unix.EAGAIN
}

// Pending implements System.
func (k *kernel) Pending(fd int) bool {
	n, err := peek(fd)
	return err == nil && n > 0
}

// peek looks for a byte that has come, and leaves it there.
func peek(fd int) (n int, err error) {
	var one [1]byte
	for err = unix.EINTR; err == unix.EINTR; {
		n, _, err = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	return n, err
}

// Arrived implements System.
func (k *kernel) Arrived(fd int) (ago time.Duration, ok bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// Goodbye implements System.
func (k *kernel) Goodbye(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }

// Take implements System by recvfrom.
func (k *kernel) Take(fd int, into []byte) (n int, sender netip.AddrPort, err error) {
	n, from, err := unix.Recvfrom(fd, into, 0)
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		sender = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		sender = netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return n, sender, err
}

// Send implements System by sendto.
func (k *kernel) Send(fd int, to netip.AddrPort, text []byte) {
	address, _ := sockaddr(to)
	unix.Sendto(fd, text, unix.MSG_DONTWAIT, address)
}

// Close implements System.
func (k *kernel) Close(fd int) { unix.Close(fd) }

// End implements System.
func (k *kernel) End() {
	unix.Close(k.poll)
	unix.Close(k.bell)
}

// Abort implements System by a close with SO_LINGER 0.
func (k *kernel) Abort(fd int) {
	unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	unix.Close(fd)
}

package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slotmap"
)

// Event masks of System.Watch and Event.Ready, with the values of epoll.
const (
	eventReadable   = unix.EPOLLIN
	eventWritable   = unix.EPOLLOUT
	eventPeerClosed = unix.EPOLLRDHUP
	eventHangup     = unix.EPOLLHUP | unix.EPOLLERR
)

// Event is a descriptor that is ready, with the events that occurred.
type Event struct {
	Handle slotmap.Handle // handle passed to Watch; 0 for a call of Wake
	Ready  uint32         // epoll event mask
}

// System provides the clock and the socket calls that a loop uses. No call except Wait may block. Errors are those of the
// kernel (unix.Errno). It is implemented with the system calls of the kernel, and by loop/sim in simulated time.
type System interface {
	// Clock returns the time since the Unix epoch. It is monotonic.
	Clock() time.Duration
	// OpenDescriptors returns the number of descriptors that were open before the loop opened any.
	OpenDescriptors() (int, error)

	// Wait fills events with ready descriptors. It waits for the first one up to maxWait, or without limit if maxWait is
	// negative.
	Wait(events []Event, maxWait time.Duration) (n int, err error)
	// Wake makes Wait return. It may be called from any goroutine.
	Wake()
	// Watch sets the events that a descriptor is watched for. isNew is true if it was not watched before.
	Watch(fd int, handle slotmap.Handle, events uint32, isNew bool) error

	// Dial starts a TCP connect. The descriptor becomes writable once ConnectError knows the result.
	Dial(address netip.AddrPort) (fd int, err error)
	// Listen opens a TCP listener.
	Listen(address netip.AddrPort) (fd int, err error)
	// Accept takes a connection from the backlog of a listener.
	Accept(fd int) (int, error)
	// ListenUDP opens a UDP socket.
	ListenUDP(address netip.AddrPort) (fd int, err error)

	// Read reads from a stream. It returns 0 bytes and no error at the end of the input.
	Read(fd int, buffer []byte) (int, error)
	// Write writes as much of the parts as the stream accepts without blocking.
	Write(fd int, parts [][]byte) (int, error)
	// ConnectError returns the error of a completed connect.
	ConnectError(fd int) error
	// Idle reports whether a stream is open and has nothing to read, neither bytes nor the end of the input.
	Idle(fd int) bool
	// Pending reports whether a stream has bytes to read.
	Pending(fd int) bool
	// LastReceiveAge returns the time since the latest byte of a stream arrived. ok is false if it is not known.
	LastReceiveAge(fd int) (age time.Duration, ok bool)
	// ShutdownWrite shuts down the sending side of a stream.
	ShutdownWrite(fd int)
	// ReceiveFrom reads one datagram.
	ReceiveFrom(fd int, buffer []byte) (n int, from netip.AddrPort, err error)
	// SendTo sends one datagram, which may be lost.
	SendTo(fd int, address netip.AddrPort, payload []byte)
	// Close closes a descriptor.
	Close(fd int)
	// Abort closes a stream with a reset.
	Abort(fd int)
	// Release releases the resources of Wait and Wake.
	Release()
}

package loop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"passtack/internal/slots"
)

// Event masks of System.Watch and Event.Ready, with the values of epoll.
const (
	eventReadable   = unix.EPOLLIN
	eventWritable   = unix.EPOLLOUT
	eventPeerClosed = unix.EPOLLRDHUP
	eventHangup     = unix.EPOLLHUP | unix.EPOLLERR
)

// Event reports that a descriptor is ready.
type Event struct {
	Handle slots.Handle // given to Watch; 0 for a wake-up by Wake
	Ready  uint32       // epoll event mask
}

// System is the clock and the socket calls that a loop uses. No call but Wait may block. Errors are those of the kernel
// (unix.Errno). It is implemented by the kernel, and by loop/sim in simulated time.
type System interface {
	// Clock returns the time since the Unix epoch. It is monotonic.
	Clock() time.Duration
	// OpenDescriptors returns the number of descriptors that were open before the loop opened any.
	OpenDescriptors() (int, error)

	// Wait fills events with ready descriptors, waiting up to maxWait for the first one, without limit if it is negative.
	Wait(events []Event, maxWait time.Duration) (n int, err error)
	// Wake ends a Wait. It may be called from any goroutine.
	Wake()
	// Watch sets the events that a descriptor is watched for; isNew tells that it was not watched before.
	Watch(fd int, handle slots.Handle, events uint32, isNew bool) error

	// Dial starts a TCP connect. The descriptor becomes writable once ConnectError knows the result.
	Dial(address netip.AddrPort) (fd int, err error)
	// Listen opens a TCP listener.
	Listen(address netip.AddrPort) (fd int, err error)
	// Accept takes a connection from the backlog of a listener.
	Accept(fd int) (int, error)
	// ListenUDP opens a UDP socket.
	ListenUDP(address netip.AddrPort) (fd int, err error)

	// Read reads from a stream; 0 bytes without an error are its end.
	Read(fd int, buffer []byte) (int, error)
	// Write writes as much of the parts as the stream takes now.
	Write(fd int, parts [][]byte) (int, error)
	// ConnectError returns the error of a completed connect.
	ConnectError(fd int) error
	// Idle reports that a stream is open and has nothing to read.
	Idle(fd int) bool
	// Pending reports that a stream has bytes to read.
	Pending(fd int) bool
	// LastReceiveAge returns how long ago the latest byte of a stream arrived; ok is false if that is not known.
	LastReceiveAge(fd int) (ago time.Duration, ok bool)
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
	// Release releases what Wait and Wake use.
	Release()
}

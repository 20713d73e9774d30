package eventloop

import (
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Dial implements System with a non-blocking connect.
func (k *kernel) Dial(address netip.AddrPort) (int, error) {
	sockAddress, family := toSockaddr(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := unix.Connect(fd, sockAddress); err != nil && err != unix.EINPROGRESS && err != unix.EINTR { // EINPROGRESS and EINTR: the connect continues
		unix.Close(fd)
		return 0, err
	}
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return fd, nil
}

// toSockaddr converts an address to the form that system calls take and returns its address family.
func toSockaddr(address netip.AddrPort) (unix.Sockaddr, int) {
	if address.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}, unix.AF_INET
	}
	return &unix.SockaddrInet6{Port: int(address.Port()), Addr: address.Addr().As16()}, unix.AF_INET6
}

// bind opens a socket of the given type on a local address. It makes a stream socket listen.
func (k *kernel) bind(address netip.AddrPort, socketType int) (int, error) {
	sockAddress, family := toSockaddr(address)
	fd, err := unix.Socket(family, socketType|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if socketType == unix.SOCK_STREAM {
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err = unix.Bind(fd, sockAddress); err == nil && socketType == unix.SOCK_STREAM {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		unix.Close(fd)
		return 0, err
	}
	return fd, nil
}

// listenBacklog is the maximum number of connections that the kernel queues until they are accepted.
const listenBacklog = 1024

// Listen implements System.
func (k *kernel) Listen(address netip.AddrPort) (int, error) {
	return k.bind(address, unix.SOCK_STREAM)
}

// ListenUDP implements System with a UDP socket.
func (k *kernel) ListenUDP(address netip.AddrPort) (int, error) {
	return k.bind(address, unix.SOCK_DGRAM)
}

// Accept implements System.
func (k *kernel) Accept(fd int) (int, error) {
	fd, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	if err == nil {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return fd, err
}

// Read implements System.
func (k *kernel) Read(fd int, buffer []byte) (int, error) { return unix.Read(fd, buffer) }

// Write implements System with write or writev.
func (k *kernel) Write(fd int, parts [][]byte) (int, error) {
	if len(parts) == 1 {
		return unix.Write(fd, parts[0])
	}
	return unix.Writev(fd, parts)
}

// ConnectError implements System with SO_ERROR.
func (k *kernel) ConnectError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	return err
}

// Idle implements System with MSG_PEEK.
func (k *kernel) Idle(fd int) bool {
	_, err := peek(fd)
	return err == unix.EAGAIN
}

// Pending implements System with MSG_PEEK.
func (k *kernel) Pending(fd int) bool {
	n, err := peek(fd)
	return err == nil && n > 0
}

// peek reads one byte without blocking and leaves it in the receive buffer.
func peek(fd int) (n int, err error) {
	var one [1]byte
	for err = unix.EINTR; err == unix.EINTR; {
		n, _, err = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}
	return n, err
}

// LastReceiveAge implements System with TCP_INFO.
func (k *kernel) LastReceiveAge(fd int) (age time.Duration, ok bool) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// ShutdownWrite implements System with shutdown(SHUT_WR).
func (k *kernel) ShutdownWrite(fd int) { unix.Shutdown(fd, unix.SHUT_WR) }

// ReceiveFrom implements System with recvfrom.
func (k *kernel) ReceiveFrom(fd int, buffer []byte) (n int, sender netip.AddrPort, err error) {
	n, from, err := unix.Recvfrom(fd, buffer, 0)
	switch a := from.(type) {
	case *unix.SockaddrInet4:
		sender = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		sender = netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return n, sender, err
}

// SendTo implements System with sendto.
func (k *kernel) SendTo(fd int, address netip.AddrPort, payload []byte) {
	sockAddress, _ := toSockaddr(address)
	unix.Sendto(fd, payload, unix.MSG_DONTWAIT, sockAddress)
}

// Close implements System.
func (k *kernel) Close(fd int) { unix.Close(fd) }

// Abort implements System: closing with SO_LINGER 0 sends a reset.
func (k *kernel) Abort(fd int) {
	unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	unix.Close(fd)
}

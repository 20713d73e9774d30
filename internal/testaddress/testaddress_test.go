package testaddress

import (
	"net"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against tests whose server finds that another socket has taken its address before it listens: a socket that asks for a port of
// the kernel's choice, from a range that holds the reserved port alone, has to get none, by bind or by connect.
func TestReservedAddressIsGivenToNoOtherSocket(t *testing.T) {
	address := Reserve(t)
	port := int(netip.MustParseAddrPort(address).Port())
	for _, reuse := range []int{0, 1} {
		fd := socketLimitedTo(t, port)
		unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, reuse)
		if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback}); err != unix.EADDRINUSE {
			t.Errorf("bind with SO_REUSEADDR = %d: %v", reuse, err)
		}
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	target := &unix.SockaddrInet4{Addr: loopback, Port: server.Addr().(*net.TCPAddr).Port}
	if err := unix.Connect(socketLimitedTo(t, port), target); err != unix.EADDRNOTAVAIL {
		t.Errorf("connect: %v", err)
	}
}

// socketLimitedTo returns a socket for which the kernel may choose only the given port.
func socketLimitedTo(t *testing.T, port int) int {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_LOCAL_PORT_RANGE, port<<16|port); err != nil {
		t.Skipf("the kernel does not limit the ports of a socket: %v", err)
	}
	return fd
}

// Guards against a reservation that keeps the server itself from its address, at its first start or at a restart.
func TestServerListensOnReservedAddress(t *testing.T) {
	address := Reserve(t)
	for range 3 {
		server, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
		client.Close()
		server.Close()
	}
}

// Package testaddress reserves local addresses for the servers that tests start.
package testaddress

import (
	"errors"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
)

var loopback = [4]byte{127, 0, 0, 1}

// Reserve returns a local TCP address that the kernel gives to no other socket until the test ends. A server that listens on it with
// SO_REUSEADDR, as those of this project and of package net do, gets it, also after a restart. While none listens, connections to it are
// refused.
func Reserve(t testing.TB) string {
	t.Helper()
	fd, address, err := bind()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return address.String()
}

// bind binds a socket, which does not listen, to a port of the kernel's choice.
func bind() (fd int, address netip.AddrPort, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, address, err
	}
	err = errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Bind(fd, &unix.SockaddrInet4{Addr: loopback}))
	if err == nil {
		address, err = boundAddress(fd)
	}
	if err != nil {
		unix.Close(fd)
	}
	return fd, address, err
}

func boundAddress(fd int) (netip.AddrPort, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, err
	}
	port := name.(*unix.SockaddrInet4).Port
	return netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(port)), nil
}

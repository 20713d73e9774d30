package eventloop

import (
	"net/netip"

	"passtack/internal/slotmap"
)

// DatagramSocket is a UDP socket.
type DatagramSocket struct {
	loop       *Loop
	fd         int
	handle     slotmap.Handle
	onDatagram func(from netip.AddrPort, payload []byte)
	buffer     [maxDatagramSize]byte
}

// maxDatagramSize is the maximum payload size of a received datagram, in bytes. A longer payload is truncated.
const maxDatagramSize = 512

// ListenUDP opens a UDP socket at the address and calls onDatagram for each received datagram. The payload is valid only
// during the call.
func (l *Loop) ListenUDP(address netip.AddrPort, onDatagram func(from netip.AddrPort, payload []byte)) (*DatagramSocket, error) {
	fd, err := l.system.ListenUDP(address)
	if err != nil {
		return nil, err
	}
	d := &DatagramSocket{loop: l, fd: fd, onDatagram: onDatagram}
	if d.handle, err = l.register(fd, d, eventReadable); err != nil {
		l.system.Close(fd)
		return nil, err
	}
	return d, nil
}

// maxDatagramsPerIteration is the maximum number of datagrams that one socket receives in an iteration, so that a busy
// socket does not delay the others.
const maxDatagramsPerIteration = 64

func (d *DatagramSocket) onReady(uint32) {
	for range maxDatagramsPerIteration {
		n, sender, err := d.loop.system.ReceiveFrom(d.fd, d.buffer[:])
		if err != nil {
			return
		}
		d.onDatagram(sender, d.buffer[:n])
	}
}

func (d *DatagramSocket) onPanic(error) {}

func (d *DatagramSocket) updateInterest() { d.loop.modify(d.fd, d.handle, eventReadable) }

// Close closes the socket.
func (d *DatagramSocket) Close() { d.loop.unregister(d.fd, d.handle, d.loop.system.Close) }

// Send sends one datagram. The datagram may be lost, and errors are ignored.
func (d *DatagramSocket) Send(address netip.AddrPort, payload []byte) {
	d.loop.system.SendTo(d.fd, address, payload)
}

package sim

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"passtack/internal/eventloop"
	"passtack/internal/pcg"
	"passtack/internal/slotmap"
)

// Faults is a System whose calls fail at random with the errors that Linux documents for them. Dialed streams may also get
// fatal errors; accepted streams get only transient ones.
type Faults struct {
	eventloop.System
	Random *pcg.Source
	Rate   float64        // probability that a call fails
	Counts map[string]int // number of injected failures by call and error name
	dialed map[int]bool   // descriptors of dialed streams
}

const (
	fatalShare       = 0.2 // share of the reads and writes on dialed streams that may fail with a fatal error
	maxShortTransfer = 16  // maximum number of bytes of a read or write that is shortened at random
)

// NewFaults wraps a system so that its calls fail with the given probability.
func NewFaults(system eventloop.System, seed uint64, rate float64) *Faults {
	return &Faults{System: system, Random: pcg.New(seed), Rate: rate, Counts: make(map[string]int), dialed: make(map[int]bool)}
}

// inject decides at random whether a call fails, and with which of the candidates. It returns nil if the call is to succeed.
func (f *Faults) inject(call string, candidates ...unix.Errno) error {
	if f.Random.Float() >= f.Rate {
		return nil
	}
	err := candidates[f.Random.Below(len(candidates))]
	f.Counts[call+" "+unix.ErrnoName(err)]++
	return err
}

// Watch implements eventloop.System. Changing the events of a watched descriptor may fail for lack of memory.
func (f *Faults) Watch(fd int, handle slotmap.Handle, events uint32, isNew bool) error {
	if err := f.inject("epoll_ctl", unix.ENOMEM); err != nil && !isNew {
		return err
	}
	return f.System.Watch(fd, handle, events, isNew)
}

// Accept implements eventloop.System. It may fail for lack of resources, or because the connection no longer exists.
func (f *Faults) Accept(fd int) (int, error) {
	if err := f.inject("accept", unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR,
		unix.EPROTO, unix.ENETUNREACH); err != nil {
		return 0, err
	}
	return f.System.Accept(fd)
}

// Dial implements eventloop.System. It may fail because no port, route, descriptor or buffer is available.
func (f *Faults) Dial(address netip.AddrPort) (int, error) {
	if err := f.inject("connect", unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENFILE, unix.ENOBUFS, unix.EAGAIN); err != nil {
		return 0, err
	}
	fd, err := f.System.Dial(address)
	f.dialed[fd] = err == nil
	return fd, err
}

// ConnectError implements eventloop.System. It may report that the connect failed.
func (f *Faults) ConnectError(fd int) error {
	if err := f.inject("connect", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED); err != nil {
		return err
	}
	return f.System.ConnectError(fd)
}

// Read implements eventloop.System. It may be interrupted, return fewer bytes than are available, or fail on a dialed stream with
// a fatal error.
func (f *Faults) Read(fd int, buffer []byte) (int, error) {
	if f.dialed[fd] && f.Random.Float() < fatalShare {
		if err := f.inject("read", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET); err != nil {
			return 0, err
		}
	}
	if err := f.inject("read", unix.EINTR, unix.ENOMEM, unix.ENOBUFS); err != nil {
		return 0, err
	}
	if f.Random.Float() < f.Rate {
		buffer = buffer[:min(len(buffer), 1+f.Random.Below(maxShortTransfer))]
	}
	return f.System.Read(fd, buffer)
}

// Write implements eventloop.System. It may be interrupted, accept fewer bytes than given, or fail on a dialed stream with a fatal
// error.
func (f *Faults) Write(fd int, parts [][]byte) (int, error) {
	if f.dialed[fd] && f.Random.Float() < fatalShare {
		if err := f.inject("write", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EPIPE); err != nil {
			return 0, err
		}
	}
	if err := f.inject("write", unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN); err != nil {
		return 0, err
	}
	if f.Random.Float() < f.Rate {
		first := parts[0]
		return f.System.Write(fd, [][]byte{first[:min(len(first), 1+f.Random.Below(maxShortTransfer))]})
	}
	return f.System.Write(fd, parts)
}

// Close implements eventloop.System.
func (f *Faults) Close(fd int) {
	delete(f.dialed, fd)
	f.System.Close(fd)
}

// Abort implements eventloop.System.
func (f *Faults) Abort(fd int) {
	delete(f.dialed, fd)
	f.System.Abort(fd)
}

package sim

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"passtack/internal/loop"
	"passtack/internal/pcg"
	"passtack/internal/slots"
)

// Faults is a system whose calls fail now and then in the ways that Linux documents. What it dials may break; what it accepts
// only hears of what passes.
type Faults struct {
	loop.System
	Chance *pcg.Source
	Part   float64        // of the calls that fail; 0: none
	Failed map[string]int // by call and error
	dialed map[int]bool
}

// NewFaults makes a system that fails so.
func NewFaults(of loop.System, seed uint64, part float64) *Faults {
	return &Faults{System: of, Chance: pcg.New(seed), Part: part, Failed: make(map[string]int), dialed: make(map[int]bool)}
}

// fails draws an error, nil for most calls.
func (f *Faults) fails(call string, errors ...unix.Errno) error {
	if f.Chance.Float() >= f.Part {
		return nil
	}
	err := errors[f.Chance.Below(len(errors))]
	f.Failed[call+" "+unix.ErrnoName(err)]++
	return err
}

// Watch runs out of memory, or of watches.
func (f *Faults) Watch(fd int, h slots.Handle, events uint32, anew bool) error {
	if err := f.fails("epoll_ctl", unix.ENOMEM); err != nil && !anew {
		return err
	}
	return f.System.Watch(fd, h, events, anew)
}

// Accept runs out of descriptors, or meets connections that are gone already.
func (f *Faults) Accept(fd int) (int, error) {
	if err := f.fails("accept", unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR, unix.EPROTO, unix.ENETUNREACH); err != nil {
		return 0, err
	}
	return f.System.Accept(fd)
}

// Dial finds no port, no way or no memory.
func (f *Faults) Dial(to netip.AddrPort) (int, error) {
	if err := f.fails("connect", unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENFILE, unix.ENOBUFS, unix.EAGAIN); err != nil {
		return 0, err
	}
	fd, err := f.System.Dial(to)
	f.dialed[fd] = err == nil
	return fd, err
}

// Outcome tells of connects that failed on their way.
func (f *Faults) Outcome(fd int) error {
	if err := f.fails("connect", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNREFUSED); err != nil {
		return err
	}
	return f.System.Outcome(fd)
}

// Read is interrupted, gives less than there is, or breaks.
func (f *Faults) Read(fd int, into []byte) (int, error) {
	if f.dialed[fd] && f.Chance.Float() < 0.2 {
		if err := f.fails("read", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ECONNRESET); err != nil {
			return 0, err
		}
	}
	if err := f.fails("read", unix.EINTR, unix.ENOMEM, unix.ENOBUFS); err != nil {
		return 0, err
	}
	if f.Chance.Float() < f.Part {
		into = into[:min(len(into), 1+f.Chance.Below(16))]
	}
	return f.System.Read(fd, into)
}

// Write is interrupted, takes less than it is given, or breaks.
func (f *Faults) Write(fd int, parts [][]byte) (int, error) {
	if f.dialed[fd] && f.Chance.Float() < 0.2 {
		if err := f.fails("write", unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EPIPE); err != nil {
			return 0, err
		}
	}
	if err := f.fails("write", unix.EINTR, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN); err != nil {
		return 0, err
	}
	if f.Chance.Float() < f.Part {
		first := parts[0]
		return f.System.Write(fd, [][]byte{first[:min(len(first), 1+f.Chance.Below(16))]})
	}
	return f.System.Write(fd, parts)
}

// Close ends a descriptor, whose number may come again.
func (f *Faults) Close(fd int) {
	delete(f.dialed, fd)
	f.System.Close(fd)
}

// Abort is Close that the other side sees as a reset.
func (f *Faults) Abort(fd int) {
	delete(f.dialed, fd)
	f.System.Abort(fd)
}

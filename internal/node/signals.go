package node

import (
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"passtack/internal/loop"
)

// signals hears what the system tells the driver. Each kind has a place of its own, so that none is lost behind others;
// several of one kind in a row count as one, as they do in the system.
type signals struct {
	loop       *loop.Loop
	terminate  chan os.Signal
	reload     chan os.Signal
	print      chan os.Signal
	terminates atomic.Bool
	prints     atomic.Bool
	rereads    atomic.Bool
	wanted     chan Site              // whose files are to be read again
	reloads    atomic.Pointer[func()] // the latest result of that
}

// hearSignals hears them from now on. It has to come before the first socket listens: what a client has sent to a driver
// that the default action of a signal ends is lost.
func hearSignals(l *loop.Loop) *signals {
	s := &signals{
		loop: l, terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), print: make(chan os.Signal, 1),
		wanted: make(chan Site, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may have gone
	return s
}

// follow passes the signals on to the loop. Files are read one after the other, where nobody waits for them, so that the
// latest reading is of the latest files.
func (s *signals) follow(read func(Site) func()) {
	for from, to := range map[chan os.Signal]*atomic.Bool{s.terminate: &s.terminates, s.reload: &s.rereads, s.print: &s.prints} {
		go func() {
			for range from {
				to.Store(true)
				s.loop.Ring()
			}
		}()
	}
	go func() {
		for site := range s.wanted {
			act := read(site)
			s.reloads.Store(&act)
			s.loop.Ring()
		}
	}()
}

// hear does what signals asked for since it was called last.
func (n *Node) hear() {
	s := n.signals
	if s.terminates.Swap(false) {
		n.leave()
	}
	if s.prints.Swap(false) {
		n.print()
	}
	if s.rereads.Swap(false) {
		select { // one that has not begun is covered by this one
		case <-s.wanted:
		default:
		}
		s.wanted <- *n.site
	}
	if act := s.reloads.Swap(nil); act != nil {
		(*act)()
	}
}

// readAgain reads the files of the driver again, and gives what the loop is to do with them.
func (n *Node) readAgain(site Site) func() {
	fresh, err := site.again()
	wants, wrong := site.Wants()
	return func() { n.reload(fresh, wants, errors.Join(err, wrong)) }
}

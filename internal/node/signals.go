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
	loop             *loop.Loop
	terminate        chan os.Signal
	reload           chan os.Signal
	print            chan os.Signal
	terminatePending atomic.Bool
	printPending     atomic.Bool
	reloadPending    atomic.Bool
	reloadRequests   chan Site              // whose files are to be read again
	reloadResult     atomic.Pointer[func()] // the latest result of that
}

// hearSignals hears them from now on. It has to come before the first socket listens: what a client has sent to a driver
// that the default action of a signal ends is lost.
func watchSignals(l *loop.Loop) *signals {
	s := &signals{
		loop: l, terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), print: make(chan os.Signal, 1),
		reloadRequests: make(chan Site, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may have gone
	return s
}

// follow passes the signals on to the loop. Files are read one after the other, where nobody waits for them, so that the
// latest reading is of the latest files.
func (s *signals) forward(read func(Site) func()) {
	for from, to := range map[chan os.Signal]*atomic.Bool{s.terminate: &s.terminatePending, s.reload: &s.reloadPending, s.print: &s.printPending} {
		go func() {
			for range from {
				to.Store(true)
				s.loop.Ring()
			}
		}()
	}
	go func() {
		for site := range s.reloadRequests {
			act := read(site)
			s.reloadResult.Store(&act)
			s.loop.Ring()
		}
	}()
}

// hear does what signals asked for since it was called last.
func (n *Node) handleSignals() {
	s := n.signals
	if s.terminatePending.Swap(false) {
		n.beginShutdown()
	}
	if s.printPending.Swap(false) {
		n.logCounters()
	}
	if s.reloadPending.Swap(false) {
		select { // one that has not begun is covered by this one
		case <-s.reloadRequests:
		default:
		}
		s.reloadRequests <- *n.site
	}
	if act := s.reloadResult.Swap(nil); act != nil {
		(*act)()
	}
}

// readAgain reads the files of the driver again, and gives what the loop is to do with them.
func (n *Node) reread(site Site) func() {
	fresh, err := site.reread()
	wants, wrong := site.ReadConfig()
	return func() { n.reload(fresh, wants, errors.Join(err, wrong)) }
}

package node

import (
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"passtack/internal/loop"
)

// signals receives the process's signals. Each kind has a channel of its own, so that none is lost behind others; several of
// one kind in a row count as one, as they do in the system.
type signals struct {
	loop             *loop.Loop
	terminate        chan os.Signal
	reload           chan os.Signal
	print            chan os.Signal
	terminatePending atomic.Bool
	printPending     atomic.Bool
	reloadPending    atomic.Bool
	reloadRequests   chan Site              // whose files are to be read again
	reloadResult     atomic.Pointer[func()] // what the loop is to do with the latest files
}

// watchSignals receives signals from now on. It must be called before the first socket listens: a signal's default action
// would end the driver, and what clients have sent to it would be lost.
func watchSignals(l *loop.Loop) *signals {
	s := &signals{
		loop: l, terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), print: make(chan os.Signal, 1),
		reloadRequests: make(chan Site, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may have exited
	return s
}

// forward passes the signals on to the loop. Files are read by one goroutine of their own, one reload after the other, so
// that the latest result is of the latest files.
func (s *signals) forward(read func(Site) func()) {
	for from, to := range map[chan os.Signal]*atomic.Bool{s.terminate: &s.terminatePending, s.reload: &s.reloadPending, s.print: &s.printPending} {
		go func() {
			for range from {
				to.Store(true)
				s.loop.Wake()
			}
		}()
	}
	go func() {
		for site := range s.reloadRequests {
			apply := read(site)
			s.reloadResult.Store(&apply)
			s.loop.Wake()
		}
	}()
}

// requestReload has the files read again. A request that has not begun is replaced by this one.
func (s *signals) requestReload(site Site) {
	select {
	case <-s.reloadRequests:
	default:
	}
	s.reloadRequests <- site
}

// handleSignals does what signals have asked for since its last call.
func (n *Node) handleSignals() {
	s := n.signals
	if s.terminatePending.Swap(false) {
		n.shutdown.begin()
	}
	if s.printPending.Swap(false) {
		n.logCounters()
	}
	if s.reloadPending.Swap(false) {
		s.requestReload(*n.site)
	}
	if apply := s.reloadResult.Swap(nil); apply != nil {
		(*apply)()
	}
}

// reread reads the driver's files again and returns what the loop is to do with them. It runs outside of the loop.
func (n *Node) reread(site Site) (apply func()) {
	fresh, siteErr := site.reread()
	cfg, cfgErr := site.ReadConfig()
	return func() { n.reload(fresh, cfg, errors.Join(siteErr, cfgErr)) }
}

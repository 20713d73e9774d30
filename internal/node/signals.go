package node

import (
	"errors"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"passtack/internal/eventloop"
)

// signals receives the process's signals. Each kind has a channel of its own, so that signals of one kind do not displace those
// of another. Several signals of one kind in a row count as one, as in the operating system.
type signals struct {
	loop             *eventloop.Loop
	terminate        chan os.Signal
	reload           chan os.Signal
	counters         chan os.Signal
	terminatePending atomic.Bool
	countersPending  atomic.Bool
	reloadPending    atomic.Bool
	reloadRequests   chan Site              // sites whose files are to be read again
	reloadResult     atomic.Pointer[func()] // called by the loop to apply the latest files
}

// watchSignals starts receiving signals. It must be called before the first socket listens: a signal's default action would
// end the driver, and requests that clients have already sent would be lost.
func watchSignals(l *eventloop.Loop) *signals {
	s := &signals{
		loop: l, terminate: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), counters: make(chan os.Signal, 1),
		reloadRequests: make(chan Site, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.counters, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may have exited
	return s
}

// forward passes the signals on to the loop. A goroutine of its own reads the files, one reload after the other, so that the
// latest result comes from the latest files.
func (s *signals) forward(read func(Site) func()) {
	for from, to := range map[chan os.Signal]*atomic.Bool{s.terminate: &s.terminatePending, s.reload: &s.reloadPending, s.counters: &s.countersPending} {
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

// requestReload requests that the files are read again. It replaces a request that has not been started.
func (s *signals) requestReload(site Site) {
	select {
	case <-s.reloadRequests:
	default:
	}
	s.reloadRequests <- site
}

// handleSignals handles the signals received since its last call, and applies reloaded files.
func (n *Node) handleSignals() {
	s := n.signals
	if s.terminatePending.Swap(false) {
		n.shutdown.begin()
	}
	if s.countersPending.Swap(false) {
		n.logCounters()
	}
	if s.reloadPending.Swap(false) {
		s.requestReload(*n.site)
	}
	if apply := s.reloadResult.Swap(nil); apply != nil {
		(*apply)()
	}
}

// reread reads the driver's files again and returns a function by which the loop applies them. It runs outside of the loop.
func (n *Node) reread(site Site) (apply func()) {
	fresh, siteErr := site.reread()
	cfg, cfgErr := site.ReadConfig()
	return func() { n.reload(fresh, cfg, errors.Join(siteErr, cfgErr)) }
}

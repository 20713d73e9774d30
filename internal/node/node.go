// Package node assembles one driver: it connects the decision module to clients, members, the endpoint list and the other
// drivers. It makes no decisions about RPCs.
//
// Node creates the components of a driver and connects them. Each component is a type with a file of its own:
//
//	Site                the site file of the platform
//	listenerSet         listeners for clients, and the quotas that they share
//	rpcTable            RPCs being served, their attempts and answers
//	memberRegistry      numbers of members, the endpoint list, connection pools for members
//	moduleHost          the interface through which the decision module acts
//	moduleTimer         the ticks of the decision module
//	recoveryMonitor     the stage of recovery that the driver has reached since its start
//	gracefulShutdown    the phases of a shutdown
//	signals             SIGTERM, SIGHUP and SIGUSR1
//	telemetry           counters and the log
//	backgroundJobs, workerPool
//	                    work outside of RPCs, and goroutines for operations that would block the event loop
//	features            optional components, enabled by the operator's file: messenger, fleetMembership, leaseService,
//	                    configuration, learnedState
package node

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"

	"passtack/internal/config"
	"passtack/internal/control"
	"passtack/internal/discovery"
	"passtack/internal/eventloop"
	"passtack/internal/logs"
	"passtack/internal/memberclock"
	"passtack/internal/peers"
	"passtack/internal/recovery"
	"passtack/internal/settings"
	"passtack/rules"
)

// bufferDivisor is the divisor of the runtime's memory limit that gives the limit for buffers of long messages.
const bufferDivisor = 3

// Node is one driver. All its code runs on its event loop, except for workers, which do not access its state.
type Node struct {
	site      *Site
	config    *config.File // the operator's file, as currently applied
	simulated bool         // whether the caller provides the event loop: time may stand still within an iteration, and there are no workers

	loop      *eventloop.Loop
	module    *rules.Router
	discovery *discovery.Client
	peers     *peers.Peers // nil if the site has no address for messages between drivers

	host      moduleHost
	listeners listenerSet
	rpcs      rpcTable
	members   memberRegistry
	timer     moduleTimer
	recovery  recoveryMonitor
	shutdown  gracefulShutdown
	signals   *signals

	memberClock memberclock.Estimator // estimates the offset of the members' clock to the loop's
	background  *backgroundJobs
	workers     workerPool
	telemetry
	features
}

// features are the optional components of a driver. Each is nil unless the operator's file enables it.
type features struct {
	messenger     *messenger
	membership    *fleetMembership
	leases        *leaseService
	configuration *configuration
	learned       *learnedState
}

// New creates a driver with an event loop of its own, opens all its sockets and registers for signals. Call Run to serve.
func New(site *Site, cfg *config.File) (*Node, error) {
	debug.SetMemoryLimit(runtimeMemory(site))
	var l *eventloop.Loop
	err := retryOnResourceShortage(func() (err error) {
		l, err = eventloop.New(site.Descriptors, bufferMemory(site))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("limits: %w", err)
	}
	signals := watchSignals(l)
	n, err := assemble(l, site, cfg, false)
	if err != nil {
		return nil, err
	}
	n.signals = signals
	return n, nil
}

// On creates a driver on an event loop, real or simulated, that the caller provides and runs.
func On(l *eventloop.Loop, site *Site, cfg *config.File) (*Node, error) {
	return assemble(l, site, cfg, true)
}

// programMemory is the memory of the program itself, which the Go runtime does not count: its code and constants, and what the C library
// and the threads need.
const programMemory = 14 << 20

// runtimeMemory returns the memory limit for the Go runtime in bytes. The rest of the site's limit is for memory that the runtime does
// not count.
func runtimeMemory(site *Site) int64 {
	return min(site.Memory*3/4, max(site.Memory-programMemory, site.Memory/4))
}

// bufferMemory returns the limit for the buffers of long messages in bytes.
func bufferMemory(site *Site) int { return int(runtimeMemory(site) / bufferDivisor) }

// assemble creates all components of a driver and opens its sockets.
func assemble(l *eventloop.Loop, site *Site, cfg *config.File, simulated bool) (*Node, error) {
	n := newNode(l, site, cfg, simulated)
	n.restoreConfiguration()
	n.rpcs.tick = settings.New(site.Settings).Duration("tick")
	n.members.openPools()
	n.applySettings()
	l.EvictIdle = n.evictIdle
	n.discovery = discovery.New(l, &n.members, site.Discovery)
	for _, step := range []func() error{
		n.listenToPeers,
		n.startModule,
		n.startMessaging,
		n.restoreEndpointList,
		n.listeners.open,
		n.listenForOperators,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	if site.Settings["list"] == "pushed" {
		n.discovery.SetWatching(true)
	}
	n.watchConfiguration()
	n.recovery.check()
	return n, nil
}

// newNode creates the components that need no socket, file or setting.
func newNode(l *eventloop.Loop, site *Site, cfg *config.File, simulated bool) *Node {
	n := &Node{site: site, config: cfg, simulated: simulated, loop: l, telemetry: newTelemetry()}
	n.background = newBackgroundJobs(l, simulated)
	n.workers.loop = l
	n.host.node = n
	n.listeners = newListenerSet(n)
	n.rpcs.node = n
	n.members = newMemberRegistry(n)
	n.timer.node = n
	n.recovery = newRecoveryMonitor(n)
	n.shutdown.node = n
	return n
}

// listenToPeers opens the socket for messages between drivers, if the site has an address for it.
func (n *Node) listenToPeers() error {
	s := n.site
	if !s.PeerListen.IsValid() {
		return nil
	}
	err := n.openWithRetry(func() (err error) {
		n.peers, err = peers.Listen(n.loop, s.PeerListen, s.PeerBroadcast, s.Peers, n.receivePeerMessage)
		return err
	})
	if err != nil {
		return fmt.Errorf("peer_listen %s: %w", s.PeerListen, err)
	}
	return nil
}

// startModule creates the decision module and restores the learned state that an earlier process saved.
func (n *Node) startModule() error {
	n.module = rules.New(&n.host, n.site.Seed, n.site.Settings)
	if n.host.fault != nil {
		return n.host.fault
	}
	n.restoreLearned()
	return nil
}

// restoreEndpointList applies the endpoint list in the site's file, and then the saved one if that is newer.
func (n *Node) restoreEndpointList() error {
	if len(n.site.InitialList) > 0 {
		if err := n.discovery.Restore(n.site.InitialList); err != nil {
			slog.Warn("initial endpoint list rejected", "cause", err)
		}
	}
	n.learned.restoreList()
	return nil
}

// listenForOperators opens the socket for operators' requests, if the operator's file has an address for it.
func (n *Node) listenForOperators() error {
	address := n.config.Control
	if !address.IsValid() {
		return nil
	}
	err := n.openWithRetry(func() error {
		_, err := control.Listen(n.loop, address, n.controlHandlers())
		return err
	})
	if err != nil {
		return fmt.Errorf("control listen %s: %w", address, err)
	}
	return nil
}

// openWithRetry opens a resource that the driver needs to start, and retries while the system lacks resources. In simulated time
// it tries once, as no resource can run out.
func (n *Node) openWithRetry(open func() error) error {
	if n.simulated {
		return open()
	}
	return retryOnResourceShortage(open)
}

// RecoveryStage returns the stage of recovery that the driver has reached since its start.
func (n *Node) RecoveryStage() recovery.Stage { return n.recovery.Stage() }

// Run serves until a signal stops the driver and all admitted RPCs are answered.
func (n *Node) Run() error {
	debug.SetMemoryLimit(runtimeMemory(n.site))
	n.lines = logs.Start(os.Stderr)
	defer n.lines.Close()
	n.lines.Level.Set(n.config.LogLevel)
	n.lines.RateLimit.Store(n.config.LogSample)
	n.signals.forward(n.reread)
	defer n.startWorkers()()
	slog.Info("started", "name", n.site.Name, "listen", n.site.Listen, "discovery", n.site.Discovery)
	err := n.loop.Run(func() {
		n.workers.processResults()
		n.handleSignals()
	})
	n.logCounters()
	slog.Info("stopped", "name", n.site.Name)
	return errors.Join(err, n.host.fault)
}

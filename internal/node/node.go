// Package node assembles one driver: it connects the decision module to clients, members, the endpoint list and the other
// drivers. No decision about an RPC is taken here.
//
// Node creates the parts of a driver and connects them. Each part is a type with a file of its own:
//
//	Site                the platform's file
//	listenerSet         listeners for clients, and the quotas between them
//	rpcTable            RPCs in service, their attempts and answers
//	memberRegistry      numbers of members, the endpoint list, pools of connections to members
//	moduleHost          what the decision module acts through
//	moduleTimer         the ticks of the decision module
//	recoveryMonitor     how far the driver has recovered since its start
//	gracefulShutdown    the phases of a shutdown
//	signals             SIGTERM, SIGHUP and SIGUSR1
//	telemetry           counters and the log
//	backgroundJobs, workerPool
//	                    work beside RPCs, and the goroutines for what would block the loop
//	features            the parts that the operator's file may ask for: messenger, fleetMembership, leaseService,
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
	"passtack/internal/logs"
	"passtack/internal/loop"
	"passtack/internal/memberclock"
	"passtack/internal/peers"
	"passtack/internal/recovery"
	"passtack/internal/settings"
	"passtack/rules"
)

// bufferFraction is the part of the memory limit, as a divisor, that buffers of long messages may take.
const bufferFraction = 4

// Node is one driver. All of it runs on its event loop; workers touch none of its state.
type Node struct {
	site      *Site
	config    *config.File // in force
	simulated bool         // time stands still within an iteration of the loop, and there are no workers

	loop      *loop.Loop
	module    *rules.Router
	discovery *discovery.Client
	peers     *peers.Peers // nil: the site has no address for messages between drivers

	host      moduleHost
	listeners listenerSet
	rpcs      rpcTable
	members   memberRegistry
	timer     moduleTimer
	recovery  recoveryMonitor
	shutdown  gracefulShutdown
	signals   *signals

	memberClock memberclock.Estimator // the members' clock against the loop's
	background  *backgroundJobs
	workers     workerPool
	telemetry
	features
}

// features are the parts that a driver has only if the operator's file asks for them. Each is nil otherwise.
type features struct {
	messenger     *messenger
	membership    *fleetMembership
	leases        *leaseService
	configuration *configuration
	learned       *learnedState
}

// New opens all sockets of a driver on the system's event loop and listens for signals. Run serves.
func New(site *Site, cfg *config.File) (*Node, error) {
	debug.SetMemoryLimit(runtimeMemory(site))
	var l *loop.Loop
	err := retryOnResourceShortage(func() (err error) {
		l, err = loop.New(site.Descriptors, int(site.Memory/bufferFraction))
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

// On assembles a driver on an event loop of the caller's, real or simulated, which the caller runs.
func On(l *loop.Loop, site *Site, cfg *config.File) (*Node, error) {
	return assemble(l, site, cfg, true)
}

// runtimeMemory is the memory limit of the Go runtime in bytes. The rest of the site's limit is left to what the runtime does not count.
func runtimeMemory(site *Site) int64 { return site.Memory * 3 / 4 }

// assemble creates all parts of a driver and opens its sockets.
func assemble(l *loop.Loop, site *Site, cfg *config.File, simulated bool) (*Node, error) {
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

// newNode creates the parts that need no socket, file or setting.
func newNode(l *loop.Loop, site *Site, cfg *config.File, simulated bool) *Node {
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

// listenToPeers opens the socket for messages of other drivers, if the site has an address for it.
func (n *Node) listenToPeers() error {
	s := n.site
	if !s.PeerListen.IsValid() {
		return nil
	}
	err := n.openWithRetry(func() (err error) {
		n.peers, err = peers.Listen(n.loop, s.PeerListen, s.PeerBroadcast, s.Peers, n.takePeerMessage)
		return err
	})
	if err != nil {
		return fmt.Errorf("peer_listen %s: %w", s.PeerListen, err)
	}
	return nil
}

// startModule creates the decision module and restores what an earlier process has learned.
func (n *Node) startModule() error {
	n.module = rules.New(&n.host, n.site.Seed, n.site.Settings)
	if n.host.fault != nil {
		return n.host.fault
	}
	n.restoreLearned()
	return nil
}

// restoreEndpointList takes the list of the site's file, and the one that was persisted if that is newer.
func (n *Node) restoreEndpointList() error {
	if len(n.site.InitialList) > 0 {
		if err := n.discovery.Restore(n.site.InitialList); err != nil {
			slog.Warn("initial endpoint list rejected", "cause", err)
		}
	}
	n.learned.restoreList()
	return nil
}

// listenForOperators opens the control endpoint, if the operator's file has an address for it.
func (n *Node) listenForOperators() error {
	address := n.config.Control
	if !address.IsValid() {
		return nil
	}
	err := n.openWithRetry(func() error {
		_, err := control.Listen(n.loop, address, n.answers())
		return err
	})
	if err != nil {
		return fmt.Errorf("control listen %s: %w", address, err)
	}
	return nil
}

// openWithRetry opens a resource that the driver needs to start, and retries while the system is short of something. In
// simulated time nothing is ever short.
func (n *Node) openWithRetry(open func() error) error {
	if n.simulated {
		return open()
	}
	return retryOnResourceShortage(open)
}

// RecoveryStage reports how far the driver has recovered since its start.
func (n *Node) RecoveryStage() recovery.Stage { return n.recovery.Stage() }

// Run serves until a signal has stopped the driver and all RPCs that it took are answered.
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

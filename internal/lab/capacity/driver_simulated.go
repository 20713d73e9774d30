package capacity

import (
	"context"
	"net/netip"
	"time"

	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/node"
)

// simulationStart is the start of simulated time, as Unix time.
const simulationStart = 1767225600 * time.Second

// simulatedRun runs one driver with members in simulated time. It measures how often the driver contacts each member, and so how
// recent its knowledge of them is.
type simulatedRun struct {
	members, clients int
	rate             float64
	probes           bool
	warmUp, duration time.Duration // the measurement window begins after warmUp

	testbed          testbed
	load             *clientLoad
	connectionCounts []int // connections to members, sampled once a second
}

const simulatedServiceTime = 2 * time.Millisecond // of a member per statement

// play runs the simulation to its end, or until the context ends.
func (m *simulatedRun) play(ctx context.Context, seed uint64) error {
	world := sim.New(seed, simulationStart)
	memberHost, clientHost, driverHost := world.AddHost("members"), world.AddHost("clients"), world.AddHost("d0")
	memberHost.IterationTime, clientHost.IterationTime = 0, 0
	loops := make([]*eventloop.Loop, 3)
	for i, h := range []*sim.Host{memberHost, clientHost, driverHost} {
		l, err := eventloop.NewWithSystem(h, 1<<16, 1<<28)
		if err != nil {
			return err
		}
		h.Serve(l, func() {})
		loops[i] = l
	}
	address := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
	}
	listen, discovery := netip.MustParseAddrPort("10.0.0.1:6543"), netip.MustParseAddrPort("10.2.0.1:8500")
	windowStart := simulationStart + m.warmUp
	m.testbed = testbed{serviceTime: simulatedServiceTime, windowStart: windowStart, windowEnd: windowStart + m.duration}
	if err := m.testbed.listen(loops[0], m.members, address, discovery); err != nil {
		return err
	}
	site := &node.Site{
		Name: "d0", Listen: listen, Discovery: discovery, Seed: seed, Descriptors: 1 << 16, Memory: driverMemoryMB << 20,
		InitialList: m.testbed.endpointListJSON(), Settings: flatDriverSettings(designDrivers, m.probes, time.Second),
	}
	if _, err := node.On(loops[2], site, config.Default()); err != nil {
		return err
	}
	m.load = newClientLoad(listen, seed, m.clients, m.members, m.rate)
	m.load.windowStart, m.load.windowEnd = windowStart, windowStart+m.duration
	loops[1].At(simulationStart+time.Second, func() { m.load.start(loops[1]) })
	for at := simulationStart + time.Second; at <= windowStart+m.duration; at += time.Second {
		world.Run(at)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if at > windowStart {
			m.connectionCounts = append(m.connectionCounts, m.testbed.openConnections())
		}
	}
	return m.load.check()
}

// points records the measured values.
func (m *simulatedRun) points(point func(measure, unit string, value float64)) {
	g, c, seconds := &m.testbed, m.load, m.duration.Seconds()
	open := 0.0
	for _, n := range m.connectionCounts {
		open += float64(n) / float64(len(m.connectionCounts))
	}
	members := float64(m.members)
	point("statements", "1/s", float64(c.succeeded)/seconds)
	point("attempts_member", "1/s per member", float64(g.attempts)/seconds/members)
	point("connections", "per driver", open)
	point("connections_fleet", "of 470 drivers", open*designDrivers)
	point("connections_member", "of 470 drivers", open*designDrivers/members)
	point("handshakes_fleet", "1/s of 470 drivers", float64(g.handshakes)/seconds*designDrivers)
	point("handshakes_member", "1/s of 470 drivers", float64(g.handshakes)/seconds*designDrivers/members)
	point("probes", "1/s per driver", float64(g.probes)/seconds)
	point("probes_member", "1/s of 470 drivers", float64(g.probes)/seconds*designDrivers/members)
	point("age_p50", "ms", float64(durationQuantile(g.positionAges, 0.5))/1e6)
	point("age_p99", "ms", float64(durationQuantile(g.positionAges, 0.99))/1e6)
	point("age_worst", "ms", float64(durationQuantile(g.positionAges, 1))/1e6)
	point("pin_p50", "ms", float64(durationQuantile(g.pinDurations, 0.5))/1e6)
	point("pin_p99", "ms", float64(durationQuantile(g.pinDurations, 0.99))/1e6)
	point("pin_worst", "ms", float64(durationQuantile(g.pinDurations, 1))/1e6)
	point("pinned_reads", "% of session reads at the primary", 100*float64(g.primaryReads)/max(float64(g.sessionReads), 1))
	point("took_p50", "ms", float64(durationQuantile(c.latencies, 0.5))/1e6)
	point("took_p99", "ms", float64(durationQuantile(c.latencies, 0.99))/1e6)
	point("client_connections", "per driver", float64(c.openConnections))
	point("client_connects", "1/s per driver", float64(c.connects)/seconds)
	point("client_connects_fleet", "1/s of 470 drivers", float64(c.connects)/seconds*designDrivers)
	point("not_ok", "", float64(c.failed))
}

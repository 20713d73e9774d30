package capacity

import (
	"context"
	"net/netip"
	"time"

	"passtack/internal/config"
	"passtack/internal/loop"
	"passtack/internal/loop/sim"
	"passtack/internal/node"
)

// simulatedFrom is when simulated time begins, as Unix time.
const simulatedFrom = 1767225600 * time.Second

// met is one driver before members in simulated time: how often it meets each, and so what it knows of them.
type met struct {
	members, clients int
	rate             float64
	probes           bool
	warm, lasts      time.Duration // what is counted begins after warm

	ground ground
	crowd  *crowd
	opened []int // connections to members, looked at once a second
}

const simulatedWork = 2 * time.Millisecond // of a member for each statement

// play plays it to its end, unless it is told to stop.
func (m *met) play(stop context.Context, seed uint64) error {
	world := sim.New(seed, simulatedFrom)
	field, crowd, host := world.AddHost("members"), world.AddHost("clients"), world.AddHost("d0")
	field.IterationTime, crowd.IterationTime = 0, 0
	loops := make([]*loop.Loop, 3)
	for i, h := range []*sim.Host{field, crowd, host} {
		l, err := loop.NewWithSystem(h, 1<<16, 1<<28)
		if err != nil {
			return err
		}
		h.Serve(l, func() {})
		loops[i] = l
	}
	place := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 5432)
	}
	listen, discovery := netip.MustParseAddrPort("10.0.0.1:6543"), netip.MustParseAddrPort("10.2.0.1:8500")
	from := simulatedFrom + m.warm
	m.ground = ground{work: simulatedWork, from: from, to: from + m.lasts}
	if err := m.ground.stand(loops[0], m.members, place, discovery); err != nil {
		return err
	}
	site := &node.Site{
		Name: "d0", Listen: listen, Discovery: discovery, Seed: seed, Descriptors: 1 << 16, Memory: memoryMB << 20,
		InitialList: m.ground.listText(), Settings: settingsTerms(designDrivers, m.probes, time.Second),
	}
	if _, err := node.On(loops[2], site, config.Default()); err != nil {
		return err
	}
	m.crowd = newCrowd(listen, seed, m.clients, m.members, m.rate)
	m.crowd.from, m.crowd.until = from, from+m.lasts
	loops[1].At(simulatedFrom+time.Second, func() { m.crowd.begin(loops[1]) })
	for at := simulatedFrom + time.Second; at <= from+m.lasts; at += time.Second {
		world.Run(at)
		if stop.Err() != nil {
			return stop.Err()
		}
		if at > from {
			m.opened = append(m.opened, m.ground.held())
		}
	}
	return m.crowd.sound()
}

func (m *met) points(point func(measure, unit string, value float64)) {
	g, c, seconds := &m.ground, m.crowd, m.lasts.Seconds()
	open := 0.0
	for _, n := range m.opened {
		open += float64(n) / float64(len(m.opened))
	}
	per := float64(m.members)
	point("statements", "1/s", float64(c.ok)/seconds)
	point("attempts_member", "1/s per member", float64(g.attempts)/seconds/per)
	point("connections", "per driver", open)
	point("connections_fleet", "of 470 drivers", open*designDrivers)
	point("connections_member", "of 470 drivers", open*designDrivers/per)
	point("handshakes_fleet", "1/s of 470 drivers", float64(g.connects)/seconds*designDrivers)
	point("handshakes_member", "1/s of 470 drivers", float64(g.connects)/seconds*designDrivers/per)
	point("probes", "1/s per driver", float64(g.probes)/seconds)
	point("probes_member", "1/s of 470 drivers", float64(g.probes)/seconds*designDrivers/per)
	point("age_p50", "ms", float64(at(g.ages, 0.5))/1e6)
	point("age_p99", "ms", float64(at(g.ages, 0.99))/1e6)
	point("age_worst", "ms", float64(at(g.ages, 1))/1e6)
	point("pin_p50", "ms", float64(at(g.pins, 0.5))/1e6)
	point("pin_p99", "ms", float64(at(g.pins, 0.99))/1e6)
	point("pin_worst", "ms", float64(at(g.pins, 1))/1e6)
	point("pinned_reads", "% of session reads at the primary", 100*float64(g.pinnedTo)/max(float64(g.owns), 1))
	point("took_p50", "ms", float64(at(c.took, 0.5))/1e6)
	point("took_p99", "ms", float64(at(c.took, 0.99))/1e6)
	point("client_connections", "per driver", float64(c.open))
	point("client_connects", "1/s per driver", float64(c.connects)/seconds)
	point("client_connects_fleet", "1/s of 470 drivers", float64(c.connects)/seconds*designDrivers)
	point("not_ok", "", float64(c.bad))
}

package capacity

import (
	"context"
	"time"
)

// Statements is the axis of what a driver is asked for, in a second; its clients grow with them.
const Statements Axis = "statements"

// The size to design towards, of one driver where it is about one.
const (
	designDrivers    = 470
	designMembers    = 1100
	designClients    = 3617
	designStatements = 1787
)

// driverSweeps are those of one driver: what it spends, holds and knows.
func driverSweeps() []Sweep {
	const leftOut = " Members answer at once from another process, as clients ask; their cost, other drivers and the network's latency are left out."
	return []Sweep{
		servedSweep("driver_clients", "A process of the driver, 1,787 statements a second over so many clients, 1,100 members."+leftOut,
			Clients, []int{16, 200, 1000, 3617, 7234}, func(size int) serving {
				return serving{members: designMembers, clients: size, rate: designStatements}
			}),
		servedSweep("driver_statements", "The same by statements a second with clients in proportion: 1,787 of an ordinary day, 2,085 after a zone is lost, 3,574 of one region alone."+leftOut,
			Statements, []int{450, 900, 1787, 2085, 3574}, func(size int) serving {
				return serving{members: designMembers, clients: size * designClients / designStatements, rate: float64(size)}
			}),
		servedSweep("driver_members", "The same by members, with 3,617 clients and 1,787 statements a second."+leftOut,
			Members, []int{120, 550, 1100, 2200}, func(size int) serving {
				return serving{members: size, clients: designClients, rate: designStatements}
			}),
		servedSweep("driver_resting", "The same by members, without a client: those that ask nothing are not kept.",
			Members, []int{120, 550, 1100, 2200}, func(size int) serving { return serving{members: size} }),
		metSweep("driver_met", false), metSweep("driver_met_probing", true),
		stateSweep("driver_state_members", Members, []int{120, 550, 1100, 2200}, membersState),
		stateSweep("driver_state_clients", Clients, []int{200, 500, 1000, 2000}, clientsState),
		stateSweep("driver_list", Members, []int{120, 550, 1100, 2200}, listCost),
	}
}

// pointer gives points of one sweep at one size.
func pointer(sweep string, axis Axis, size int, members int, seed uint64, how string, give func(Point)) func(measure, unit string, value float64) {
	return func(measure, unit string, value float64) {
		give(Point{Sweep: sweep, Measure: measure, Unit: unit, Axis: string(axis), Size: int64(size), Drivers: 1, Members: int64(members),
			Seed: seed, Value: value, How: how})
	}
}

// servedSweep plays a process of the driver at each size.
func servedSweep(name, about string, axis Axis, sizes []int, of func(size int) serving) Sweep {
	return Sweep{Name: name, About: about, Axis: axis, Sizes: sizes, Play: func(stop context.Context, size int, seed uint64, give func(Point)) error {
		s := of(size)
		o, err := s.play(stop, seed)
		if err == nil {
			o.points(pointer(name, axis, size, s.members, seed, "loopback", give))
		}
		return err
	}}
}

// metSweep plays one driver in simulated time at its true rate.
func metSweep(name string, probes bool) Sweep {
	about := "One driver in simulated time with 3,617 clients and 1,787 statements a second, by members, which answer after 2 ms and apply 20 ms behind; the other 469 drivers' load on them is left out."
	return Sweep{Name: name, About: about, Axis: Members, Sizes: []int{120, 550, 1100, 2200},
		Play: func(stop context.Context, size int, seed uint64, give func(Point)) error {
			m := met{members: size, clients: designClients, rate: designStatements, probes: probes, warm: 30 * time.Second, lasts: 60 * time.Second}
			if err := m.play(stop, seed); err != nil {
				return err
			}
			m.points(pointer(name, Members, size, size, seed, "simulated", give))
			return nil
		}}
}

// stateSweep counts what is held, or spent, at each size.
func stateSweep(name string, axis Axis, sizes []int, count func(size int, point func(measure, unit string, value float64)) error) Sweep {
	return Sweep{Name: name, About: "Counted on the heap of this process after its garbage is collected, with the driver's own parts and nothing else.", Axis: axis, Sizes: sizes,
		Play: func(stop context.Context, size int, seed uint64, give func(Point)) error {
			members := designMembers
			if axis == Members {
				members = size
			}
			return count(size, pointer(name, axis, size, members, seed, "counted", give))
		}}
}

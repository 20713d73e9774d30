package capacity

import (
	"context"
	"time"
)

// Statements varies the statements per second that one driver receives; its clients grow in proportion.
const Statements Axis = "statements"

// The deployment size the design aims at; clients, and statements per second, are those of one driver.
const (
	designDrivers    = 470
	designMembers    = 1100
	designClients    = 3617
	designStatements = 1787
)

// driverSweeps returns the sweeps that measure one driver: its CPU time, memory, connections and the age of what it knows of members.
func driverSweeps() []Sweep {
	const omitted = " Members answer at once; they and the clients run in another process. Their cost, other drivers and the network's latency are left out."
	return []Sweep{
		loopbackSweep("driver_clients", "A driver process that receives 1,787 statements a second, by clients, with 1,100 members."+omitted,
			Clients, []int{16, 200, 1000, 3617, 7234}, func(size int) loopbackRun {
				return loopbackRun{members: designMembers, clients: size, rate: designStatements}
			}),
		loopbackSweep("driver_statements", "The same by statements a second with clients in proportion: 1,787 on an ordinary day, 2,085 after the loss of a zone, 3,574 when one region carries all load."+omitted,
			Statements, []int{450, 900, 1787, 2085, 3574}, func(size int) loopbackRun {
				return loopbackRun{members: designMembers, clients: size * designClients / designStatements, rate: float64(size)}
			}),
		loopbackSweep("driver_members", "The same by members, with 3,617 clients and 1,787 statements a second."+omitted,
			Members, []int{120, 550, 1100, 2200}, func(size int) loopbackRun {
				return loopbackRun{members: size, clients: designClients, rate: designStatements}
			}),
		loopbackSweep("driver_resting", "The same by members, without clients, as the driver closes idle client connections.",
			Members, []int{120, 550, 1100, 2200}, func(size int) loopbackRun { return loopbackRun{members: size} }),
		simulatedSweep("driver_met", false), simulatedSweep("driver_met_probing", true),
		countedSweep("driver_state_members", Members, []int{120, 550, 1100, 2200}, membersState),
		countedSweep("driver_state_clients", Clients, []int{200, 500, 1000, 2000}, clientsState),
		countedSweep("driver_list", Members, []int{120, 550, 1100, 2200}, listCost),
	}
}

// pointRecorder returns a function that records points of one sweep at one size.
func pointRecorder(sweep string, axis Axis, size int, members int, seed uint64, source string, record func(Point)) func(measure, unit string, value float64) {
	return func(measure, unit string, value float64) {
		record(Point{Sweep: sweep, Measure: measure, Unit: unit, Axis: string(axis), Size: int64(size), Drivers: 1, Members: int64(members),
			Seed: seed, Value: value, How: source})
	}
}

// loopbackSweep measures a driver process on loopback at each size.
func loopbackSweep(name, about string, axis Axis, sizes []int, runAt func(size int) loopbackRun) Sweep {
	return Sweep{Name: name, About: about, Axis: axis, Sizes: sizes, Play: func(ctx context.Context, size int, seed uint64, record func(Point)) error {
		run := runAt(size)
		result, err := run.play(ctx, seed)
		if err == nil {
			result.points(pointRecorder(name, axis, size, run.members, seed, "loopback", record))
		}
		return err
	}}
}

// simulatedSweep runs one driver in simulated time at the statement rate of the design size.
func simulatedSweep(name string, probes bool) Sweep {
	about := "One driver in simulated time with 3,617 clients and 1,787 statements a second, by members; members answer after 2 ms, and replicas apply writes 20 ms late. The load of the other 469 drivers on members is left out."
	return Sweep{Name: name, About: about, Axis: Members, Sizes: []int{120, 550, 1100, 2200},
		Play: func(ctx context.Context, size int, seed uint64, record func(Point)) error {
			run := simulatedRun{members: size, clients: designClients, rate: designStatements, probes: probes, warmUp: 30 * time.Second, duration: 60 * time.Second}
			if err := run.play(ctx, seed); err != nil {
				return err
			}
			run.points(pointRecorder(name, Members, size, size, seed, "simulated", record))
			return nil
		}}
}

// countedSweep counts the memory held, or the cost of an operation, at each size.
func countedSweep(name string, axis Axis, sizes []int, count func(size int, point func(measure, unit string, value float64)) error) Sweep {
	return Sweep{Name: name, About: "Counted on the heap of this process after garbage collection; the heap holds only the driver's own parts.", Axis: axis, Sizes: sizes,
		Play: func(ctx context.Context, size int, seed uint64, record func(Point)) error {
			members := designMembers
			if axis == Members {
				members = size
			}
			return count(size, pointRecorder(name, axis, size, members, seed, "counted", record))
		}}
}

package rules

import (
	"fmt"
	"strings"
	"time"

	"passtack/driver"
)

// actionLog is a simulated host that records the router's actions with their times.
type actionLog struct {
	*cluster
	lines strings.Builder
}

func (d *actionLog) record(format string, args ...any) {
	fmt.Fprintf(&d.lines, "%v %s\n", d.now, fmt.Sprintf(format, args...))
}

func (d *actionLog) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	d.record("attempt %d to %d by %v for %v", id, to, by, timeout)
	d.cluster.Attempt(id, to, by, timeout)
}

func (d *actionLog) PushBack(id driver.RPC, wait time.Duration) {
	d.record("push back %d for %v", id, wait)
	d.cluster.PushBack(id, wait)
}

func (d *actionLog) Abort(id driver.RPC) {
	d.record("abort %d", id)
	d.cluster.Abort(id)
}

func (d *actionLog) Probe(m driver.Member) {
	d.record("probe %d", m)
	d.cluster.Probe(m)
}

func (d *actionLog) Watch(on bool) {
	d.record("watch %t", on)
	d.cluster.Watch(on)
}

func (d *actionLog) Log(line string) { d.record("%s", line) }

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

func (l *actionLog) record(format string, args ...any) {
	fmt.Fprintf(&l.lines, "%v %s\n", l.now, fmt.Sprintf(format, args...))
}

func (l *actionLog) Attempt(id driver.RPC, to driver.Member, by, timeout time.Duration) {
	l.record("attempt %d to %d by %v for %v", id, to, by, timeout)
	l.cluster.Attempt(id, to, by, timeout)
}

func (l *actionLog) PushBack(id driver.RPC, wait time.Duration) {
	l.record("push back %d for %v", id, wait)
	l.cluster.PushBack(id, wait)
}

func (l *actionLog) Abort(id driver.RPC) {
	l.record("abort %d", id)
	l.cluster.Abort(id)
}

func (l *actionLog) Probe(m driver.Member) {
	l.record("probe %d", m)
	l.cluster.Probe(m)
}

func (l *actionLog) Watch(on bool) {
	l.record("watch %t", on)
	l.cluster.Watch(on)
}

func (l *actionLog) Log(line string) { l.record("%s", line) }

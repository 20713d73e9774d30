package recovery

import "time"

// Stage is how far a driver has recovered since its start.
type Stage uint8

// The stages, in their order.
const (
	AwaitingList     Stage = iota // the driver serves from the endpoint list that it was started with
	ProvingPrimaries              // discovery has sent a list; some group that RPCs came for has no proven primary
	WarmingUp                     // more RPCs than usual are rejected, or attempts wait for connections
	Complete
)

// stageNames are as logs, counters and the status have them.
var stageNames = [...]string{"listing", "proving", "warming", "whole"}

// String returns the name of the stage, as operators see it.
func (s Stage) String() string { return stageNames[s] }

// stageLimits are how long each stage lasts at most, whether or not its condition is met.
var stageLimits = [Complete]time.Duration{
	AwaitingList:     time.Second,
	ProvingPrimaries: 3 * time.Second,
	WarmingUp:        10 * time.Second,
}

const (
	settleTime          = 500 * time.Millisecond // for which a driver must serve as usual to count as recovered
	maxRejectedFraction = 0.05                   // of the RPCs that are usually rejected
	suspendThreshold    = time.Second            // between two checks, from which the process counts as having been suspended
)

// Tracker follows one driver through the stages. It only reports how far the driver is, and holds nothing back.
type Tracker struct {
	stage        Stage
	startedAt    time.Duration // of the recovery
	stageSince   time.Duration
	lastCheck    time.Duration
	listReceived bool
	groups       map[uint16]bool // that RPCs or answers came for; true: its primary has answered
	provenGroups int
	steadySince  time.Duration // since when the driver has served as usual, while it warms up
	answered     int           // RPCs, since steadySince
	rejected     int           // of these
}

// NewTracker returns the tracker of a driver that starts now.
func NewTracker(now time.Duration) *Tracker {
	t := new(Tracker)
	t.restart(now)
	return t
}

func (t *Tracker) restart(now time.Duration) {
	*t = Tracker{
		stage: AwaitingList, startedAt: now, stageSince: now, lastCheck: now, steadySince: now,
		groups: make(map[uint16]bool),
	}
}

// ListReceived reports that discovery has sent an endpoint list or changes to it.
func (t *Tracker) ListReceived() { t.listReceived = true }

// GroupUsed reports that an RPC came for a group.
func (t *Tracker) GroupUsed(group uint16) {
	if _, known := t.groups[group]; t.stage < WarmingUp && !known {
		t.groups[group] = false
	}
}

// PrimaryAnswered reports that a member has answered as the primary of its group.
func (t *Tracker) PrimaryAnswered(group uint16) {
	if t.stage < WarmingUp && !t.groups[group] {
		t.groups[group] = true
		t.provenGroups++
	}
}

// RPCAnswered reports that an RPC got its final answer.
func (t *Tracker) RPCAnswered(rejected bool) {
	if t.stage == Complete {
		return
	}
	if t.answered++; rejected {
		t.rejected++
	}
}

// Check enters the next stage if the condition of this one is met or its time is up, and reports whether the stage has
// changed. waiting is how many attempts wait for a connection. If the latest check was over suspendThreshold ago, the process
// was suspended and what the driver knows is old: the recovery starts again.
func (t *Tracker) Check(now time.Duration, waiting int) (changed bool) {
	sinceLast := now - t.lastCheck
	if t.lastCheck = now; sinceLast > suspendThreshold {
		t.restart(now)
		return true
	}
	if t.stage == Complete {
		return false
	}
	if !t.stageDone(now, waiting) && now-t.stageSince < stageLimits[t.stage] {
		return false
	}
	t.stage++
	t.stageSince = now
	t.measureFrom(now)
	return true
}

// stageDone reports whether the condition of the stage is met.
func (t *Tracker) stageDone(now time.Duration, waiting int) bool {
	switch t.stage {
	case AwaitingList:
		return t.listReceived
	case ProvingPrimaries:
		return t.provenGroups == len(t.groups)
	}
	if t.steadySince == 0 || waiting > 0 || float64(t.rejected) > maxRejectedFraction*float64(t.answered) {
		t.measureFrom(now)
	}
	return now-t.steadySince >= settleTime
}

func (t *Tracker) measureFrom(now time.Duration) {
	t.steadySince, t.answered, t.rejected = now, 0, 0
}

// Stage returns how far the driver has recovered.
func (t *Tracker) Stage() Stage { return t.stage }

// Age returns the time since the recovery started.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.startedAt }

// Ready returns how ready the driver is, from 0 to 1, for whoever sends clients back to it in proportion.
func (t *Tracker) Ready() float64 {
	switch t.stage {
	case AwaitingList:
		return 0
	case ProvingPrimaries:
		return 0.5 * float64(t.provenGroups) / float64(max(len(t.groups), 1))
	case WarmingUp:
		return 0.5 + 0.5*(1-float64(t.rejected)/float64(max(t.answered, 1)))
	}
	return 1
}

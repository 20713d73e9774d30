package recovery

import "time"

// Stage is a stage of the recovery of a driver after its start.
type Stage uint8

// The stages, in their order.
const (
	AwaitingList     Stage = iota // the driver uses the endpoint list that it was started with
	ProvingPrimaries              // discovery has sent a list; the primary of some group that got RPCs has not answered yet
	WarmingUp                     // more than maxRejectedFraction of the RPCs are rejected, or attempts wait for connections
	Complete
)

// stageNames are the names of the stages in logs, counters and the status.
var stageNames = [...]string{"listing", "proving", "warming", "whole"}

// String returns the name of the stage in logs, counters and the status.
func (s Stage) String() string { return stageNames[s] }

// stageLimits are the longest durations of the stages. A stage ends after its limit even if its condition is not met.
var stageLimits = [Complete]time.Duration{
	AwaitingList:     time.Second,
	ProvingPrimaries: 3 * time.Second,
	WarmingUp:        10 * time.Second,
}

const (
	settleTime          = 500 * time.Millisecond // time for which a driver must serve normally to count as recovered
	maxRejectedFraction = 0.05                   // fraction of the RPCs that may be rejected while a driver serves normally
	suspendThreshold    = time.Second            // interval between two checks beyond which the process counts as suspended
)

// Tracker tracks the stage of one driver. It only reports the stage and delays no RPC.
type Tracker struct {
	stage        Stage
	startedAt    time.Duration // start of the recovery
	stageSince   time.Duration // start of the stage
	lastCheck    time.Duration
	listReceived bool
	groups       map[uint16]bool // groups that got RPCs or whose primary has answered; true: the primary has answered
	provenGroups int
	steadySince  time.Duration // start of the time in which the driver has served normally, in the stage WarmingUp
	answered     int           // RPCs that got a final answer since steadySince
	rejected     int           // RPCs among them that were rejected
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

// ListReceived records that discovery has sent an endpoint list or changes to it.
func (t *Tracker) ListReceived() { t.listReceived = true }

// GroupUsed records that an RPC for a group was received.
func (t *Tracker) GroupUsed(group uint16) {
	if _, known := t.groups[group]; t.stage < WarmingUp && !known {
		t.groups[group] = false
	}
}

// PrimaryAnswered records that a member has answered as the primary of its group.
func (t *Tracker) PrimaryAnswered(group uint16) {
	if t.stage < WarmingUp && !t.groups[group] {
		t.groups[group] = true
		t.provenGroups++
	}
}

// RPCAnswered records that an RPC got its final answer.
func (t *Tracker) RPCAnswered(rejected bool) {
	if t.stage == Complete {
		return
	}
	if t.answered++; rejected {
		t.rejected++
	}
}

// Check enters the next stage if the condition of the current stage is met or its limit is reached, and reports whether the stage has
// changed. waiting is the number of attempts that wait for a connection. If the previous check was more than suspendThreshold ago, the
// process was suspended and its learned state is outdated: the recovery starts again.
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

// stageDone reports whether the condition for leaving the stage is met.
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

// Stage returns the current stage.
func (t *Tracker) Stage() Stage { return t.stage }

// Age returns the time since the recovery started.
func (t *Tracker) Age(now time.Duration) time.Duration { return now - t.startedAt }

// Ready returns how far the driver is ready to serve, from 0 to 1. A load balancer can send clients back to it in proportion.
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

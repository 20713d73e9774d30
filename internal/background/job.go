package background

import "time"

// Usage is the resources that work takes: time of the event loop or of a worker, bytes written, disk or network operations.
type Usage struct {
	Time       time.Duration
	Bytes      int
	Operations int
}

func (u *Usage) add(v Usage) {
	u.Time += v.Time
	u.Bytes += v.Bytes
	u.Operations += v.Operations
}

// Job is work that runs periodically or when it is triggered. All fields except Name are optional.
type Job struct {
	Name       string
	Priority   int           // a higher priority runs first
	Period     time.Duration // from the end of a run until the next is due; 0: only runs when triggered
	Deadline   time.Duration // from when a run is due until it no longer yields to RPCs; 0: it always yields
	Budget     Usage         // per second; fields of 0 are unlimited
	After      []string      // names of the jobs that must finish a run after this job is due and before it starts
	MinBackoff time.Duration // wait after a failure, doubled with each consecutive one
	MaxBackoff time.Duration // longest wait after a failure
}

// JobID identifies a job of a scheduler, counted from 0.
type JobID int

// Outcome describes how a slice of a job, or its part on a worker, ended.
type Outcome uint8

// The outcomes of a slice.
const (
	More     Outcome = iota // the run needs another slice on the event loop
	OnWorker                // a worker continues the run; SliceEnded is called again when it returns
	Done                    // the run has succeeded
	Failed                  // the run has failed
)

// BlockedReason is the reason why a job does not run.
type BlockedReason uint8

// The reasons why a job does not run.
const (
	NotBlocked      BlockedReason = iota // the job may run or is running
	NotDue                               // the job is not due yet
	LoopLate                             // the job yields to RPCs, since the event loop is late
	BudgetExhausted                      // the budget of the job is used up
	Dependency                           // a job of Job.After has not finished yet
	WorkersBusy                          // all workers are busy
	Outranked                            // other jobs run first
	JobCancelled                         // the job was cancelled
)

// blockedReasonNames are the names of the reasons in the status. Scripts of operators read them.
var blockedReasonNames = [...]string{
	NotBlocked:      "",
	NotDue:          "not due",
	LoopLate:        "yields",
	BudgetExhausted: "budget",
	Dependency:      "dependency",
	WorkersBusy:     "workers",
	Outranked:       "others first",
	JobCancelled:    "cancelled",
}

// String returns the name of the reason in the status.
func (r BlockedReason) String() string { return blockedReasonNames[r] }

// jobState is the state of a job in a scheduler.
type jobState uint8

const (
	idle     jobState = iota
	waiting           // due, but not started
	running           // on the event loop
	onWorker          // on a worker
	cancelled
)

// jobStateNames are the names of the states in the status. Scripts of operators read them.
var jobStateNames = [...]string{
	idle:      "idle",
	waiting:   "waits",
	running:   "runs",
	onWorker:  "away",
	cancelled: "cancelled",
}

// String returns the name of the state in the status.
func (s jobState) String() string { return jobStateNames[s] }

// RunReport describes the runs of one job so far.
type RunReport struct {
	Name              string
	State             string        // one of jobStateNames
	BlockedBy         string        // name of a BlockedReason, while the job waits
	Since             time.Duration // time at which the state was entered
	Runs, Failed      int
	Skipped           int    // runs that became due while another was waiting or running
	SkipReason        string // of the last skipped run
	StartedLate       int    // runs that started after their deadline
	Slices            int
	Used              Usage         // in total
	LongestSlice      time.Duration // on the event loop
	LongestWorkerPart time.Duration
}

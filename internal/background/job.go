package background

import "time"

// Usage is what work takes: time of the event loop or of a worker, bytes written, operations of the disk or the network.
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

// Job is work that is done again and again, or when it is triggered. All fields but the name are optional.
type Job struct {
	Name       string
	Priority   int           // a higher one goes first
	Period     time.Duration // from the end of a run until the next is due; 0: the job only runs when it is triggered
	Deadline   time.Duration // from when a run is due until it no longer yields to RPCs
	Budget     Usage         // for each second; fields of 0 are unlimited
	After      []string      // names of jobs that have to finish a run between when this one is due and its start
	MinBackoff time.Duration // wait after a failure, doubled with each further one
	MaxBackoff time.Duration // limit of that
}

// JobID identifies a job of a scheduler, counted from 0.
type JobID int

// Outcome tells how a slice of a job, or its part on a worker, ended.
type Outcome uint8

// The outcomes of a slice.
const (
	More     Outcome = iota // there is more to do on the event loop
	OnWorker                // a worker does the rest; SliceEnded is called again when it returns
	Done                    // the run has succeeded
	Failed                  // the run has failed
)

// BlockedReason tells why a job that is due does not run.
type BlockedReason uint8

// The reasons why a job does not run.
const (
	NotBlocked      BlockedReason = iota // it may run, or it runs
	NotDue                               // its time has not come
	LoopLate                             // the event loop is late, and RPCs go first
	BudgetExhausted                      // its budget is used up for now
	Dependency                           // a job of Job.After has not finished yet
	WorkersBusy                          // all workers are busy
	Outranked                            // other jobs go first
	JobCancelled                         // it was cancelled
)

// blockedReasonNames are read by operators' scripts.
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

// String returns the reason as the status answer names it.
func (r BlockedReason) String() string { return blockedReasonNames[r] }

// jobState is the state of a job in a scheduler.
type jobState uint8

const (
	idle     jobState = iota
	waiting           // due, but not begun
	running           // on the event loop
	onWorker          // on a worker
	cancelled
)

// jobStateNames are read by operators' scripts.
var jobStateNames = [...]string{
	idle:      "idle",
	waiting:   "waits",
	running:   "runs",
	onWorker:  "away",
	cancelled: "cancelled",
}

// String returns the state as the status answer names it.
func (s jobState) String() string { return jobStateNames[s] }

// RunReport describes the runs of one job so far.
type RunReport struct {
	Name              string
	State             string        // idle, waits, runs, away or cancelled
	BlockedBy         string        // a BlockedReason, while it waits
	Since             time.Duration // when the state was entered
	Runs, Failed      int
	Skipped           int    // runs that came due while one was waiting or running
	SkipReason        string // of the last one skipped
	StartedLate       int    // runs that began after their deadline
	Slices            int
	Used              Usage         // in total
	LongestSlice      time.Duration // on the event loop
	LongestWorkerPart time.Duration
}

package node

import (
	"time"

	"passtack/internal/background"
	"passtack/internal/control"
)

// controlHandlers returns the handlers for the queries of operators through the control endpoint.
func (n *Node) controlHandlers() control.Handlers {
	all := control.Handlers{"status": func() any { return n.status() }}
	if n.leases != nil {
		all["leases"] = func() any { return n.leases.status() }
	}
	if n.membership != nil {
		all["fleet"] = func() any { return n.membership.status() }
	}
	return all
}

// Status is a driver's answer to the query "status". Its keys must not change, because operators' scripts read them.
type Status struct {
	Name          string               `json:"Name"`
	RecoveryStage string               `json:"Comeback"`
	Ready         float64              `json:"Ready"` // progress of the recovery, 0 to 1
	Counters      map[string]int       `json:"Counters"`
	Jobs          []JobStatus          `json:"Chores"`
	Configuration *ConfigurationStatus `json:"Configuration"` // nil: the driver takes no published configurations
}

// JobStatus describes a background job. Fields whose names end in MS are in milliseconds.
type JobStatus struct {
	Name            string  `json:"Name"`
	State           string  `json:"State"`
	BlockedBy       string  `json:"Why"`
	SkipReason      string  `json:"Skipped"` // reason of the last skip
	ForMS           int64   `json:"ForMS"`   // time since the state was entered
	Runs            int     `json:"Runs"`
	Failed          int     `json:"Failed"`
	StartedLate     int     `json:"Late"`
	SkippedRuns     int     `json:"Skips"`
	Slices          int     `json:"Slices"`
	Bytes           int     `json:"Bytes"`
	Operations      int     `json:"Operations"`
	UsedMS          float64 `json:"SpentMS"`
	LongestSliceMS  float64 `json:"LongestMS"`
	LongestWorkerMS float64 `json:"SlowestMS"`
}

func (n *Node) status() Status {
	s := Status{
		Name:          n.site.Name,
		RecoveryStage: n.recovery.Stage().String(),
		Ready:         n.recovery.Ready(),
		Counters:      n.counters,
		Configuration: n.configuration.status(),
	}
	now := n.loop.Now()
	for _, r := range n.background.scheduler.Reports(now) {
		s.Jobs = append(s.Jobs, jobStatus(r, now))
	}
	return s
}

func jobStatus(r background.RunReport, now time.Duration) JobStatus {
	return JobStatus{
		Name:            r.Name,
		State:           r.State,
		BlockedBy:       r.BlockedBy,
		SkipReason:      r.SkipReason,
		ForMS:           (now - r.Since).Milliseconds(),
		Runs:            r.Runs,
		Failed:          r.Failed,
		StartedLate:     r.StartedLate,
		SkippedRuns:     r.Skipped,
		Slices:          r.Slices,
		Bytes:           r.Used.Bytes,
		Operations:      r.Used.Operations,
		UsedMS:          milliseconds(r.Used.Time),
		LongestSliceMS:  milliseconds(r.LongestSlice),
		LongestWorkerMS: milliseconds(r.LongestWorkerPart),
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }

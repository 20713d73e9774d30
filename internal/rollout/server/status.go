package server

import "slices"

// DriverStatus is the status of a driver in Status. Times are in milliseconds before the answer.
type DriverStatus struct {
	Name            string   `json:"driver"`
	Version         uint64   `json:"version"`
	VersionAgeMS    int64    `json:"since_ms"` // since this pair of Version and RejectedVersion was first reported
	LastSeenMS      int64    `json:"heard_ms"` // since the last poll
	RejectedVersion uint64   `json:"refused,omitempty"`
	RejectReason    string   `json:"why,omitempty"`
	NeedsRestart    []string `json:"needs_restart,omitempty"`
}

// Status is the status of a machine and of the drivers that poll it.
type Status struct {
	Machine  string         `json:"machine"`
	Writer   string         `json:"writer"` // name of the writer; "": unknown
	Votes    bool           `json:"votes"`
	Fresh    bool           `json:"fresh"` // the machine may claim that no newer version is committed
	Version  uint64         `json:"version"`
	Floor    uint64         `json:"floor"` // newest version that any driver has reported
	Drivers  []DriverStatus `json:"drivers"`
	Counters map[string]int `json:"counts"`
}

func (s *Server) status() Status {
	now := s.loop.Now()
	status := Status{
		Machine:  s.config.Name,
		Writer:   s.writer(),
		Votes:    s.election.voter != nil,
		Fresh:    s.machine.IsFresh(now),
		Version:  s.machine.Committed().Version,
		Floor:    s.persisted.State.Floor,
		Drivers:  []DriverStatus{},
		Counters: s.counters,
	}
	for _, d := range s.roster.All(now) {
		status.Drivers = append(status.Drivers, DriverStatus{
			Name:            d.Driver,
			Version:         d.Version,
			VersionAgeMS:    (now - d.VersionSince).Milliseconds(),
			LastSeenMS:      (now - d.LastSeen).Milliseconds(),
			RejectedVersion: d.RejectedVersion,
			RejectReason:    d.RejectReason,
			NeedsRestart:    slices.Clone(d.NeedsRestart),
		})
	}
	return status
}

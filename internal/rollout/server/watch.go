package server

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"passtack/internal/rollout"
)

// WatchRequest is a driver's long poll for a newer version. It reports what the driver has in force.
type WatchRequest struct {
	Fleet           string   `json:"fleet"`
	Driver          string   `json:"driver"`
	Version         uint64   `json:"from"`                    // in force
	RejectedVersion uint64   `json:"refused,omitempty"`       // a newer one that the driver cannot use; 0: none
	RejectReason    string   `json:"why,omitempty"`           // why not
	NeedsRestart    []string `json:"needs_restart,omitempty"` // settings that take effect only after a restart
	MaxWaitMS       int      `json:"hold_ms"`                 // that the answer may take
}

// handleWatch answers at once if there is a newer version, otherwise when there is one or the wait is over.
func (c *session) handleWatch(body []byte) bool {
	var r WatchRequest
	s, now := c.server, c.server.loop.Now()
	if err := json.Unmarshal(body, &r); err != nil || r.Fleet != s.config.Fleet || r.Driver == "" || len(r.Driver) > rollout.MaxNameBytes {
		return c.rejectInvalid(400, "no call of a driver of this fleet")
	}
	s.counters[counterPolls]++
	c.knownVersion = max(r.Version, r.RejectedVersion) // the number of a rejected version must not be used again either
	if !s.machine.ObserveVersion(c.knownVersion) {
		return c.rejectInvalid(400, fmt.Sprintf("from is %d: there is no such version", c.knownVersion))
	}
	s.roster.Report(rollout.DriverReport{
		Driver:          r.Driver,
		Version:         r.Version,
		RejectedVersion: r.RejectedVersion,
		RejectReason:    r.RejectReason,
		NeedsRestart:    r.NeedsRestart,
	}, now)
	if c.sendNewerVersion() {
		return true
	}
	c.waiting, c.watcherLink.Value = true, c
	s.watchers.PushBack(&c.watcherLink)
	s.loop.Cancel(c.timer)
	wait := min(max(time.Duration(r.MaxWaitMS)*time.Millisecond, 0), maxLongPoll)
	c.timer = s.loop.At(now+wait, c.endWatch)
	return true
}

// endWatch answers a watch whose wait is over: nothing is new, or this machine cannot tell.
func (c *session) endWatch() {
	if c.server.machine.IsFresh(c.server.loop.Now()) {
		c.respond(204, "", nil)
	} else {
		c.server.counters[counterStaleAnswers]++
		c.respond(503, "", nil)
	}
	c.resume()
}

// sendNewerVersion answers with the committed version if that is newer than the driver's, and reports whether it is.
func (c *session) sendNewerVersion() bool {
	e := c.server.machine.Committed()
	if e.Version <= c.knownVersion {
		return false
	}
	c.respond(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	return true
}

// versionCommitted answers the watch if it waits for an older version.
func (c *session) versionCommitted() {
	if c.sendNewerVersion() {
		c.resume()
	}
}

package server

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"passtack/internal/rollout"
)

// WatchRequest is a driver's long poll for a newer version. It also reports the driver's state.
type WatchRequest struct {
	Fleet           string   `json:"fleet"`
	Driver          string   `json:"driver"`
	Version         uint64   `json:"from"`                    // version in force
	RejectedVersion uint64   `json:"refused,omitempty"`       // newer version that the driver cannot use; 0: none
	RejectReason    string   `json:"why,omitempty"`           // why the driver rejected RejectedVersion
	NeedsRestart    []string `json:"needs_restart,omitempty"` // settings that take effect only after a restart
	MaxWaitMS       int      `json:"hold_ms"`                 // longest wait for the answer
}

// handleWatch answers immediately if a newer version is committed. Otherwise it answers once one is committed or the wait ends.
func (c *session) handleWatch(body []byte) bool {
	var r WatchRequest
	s, now := c.server, c.server.loop.Now()
	if err := json.Unmarshal(body, &r); err != nil || r.Fleet != s.config.Fleet || r.Driver == "" || len(r.Driver) > rollout.MaxNameBytes {
		return c.rejectInvalid(400, "no call of a driver of this fleet")
	}
	s.counters[counterPolls]++
	c.knownVersion = max(r.Version, r.RejectedVersion) // the number of a rejected version must not be reused either
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

// endWatch answers a watch whose wait has ended: with 204 if there is no newer version, or with 503 if this machine is not fresh.
func (c *session) endWatch() {
	if c.server.machine.IsFresh(c.server.loop.Now()) {
		c.respond(204, "", nil)
	} else {
		c.server.counters[counterStaleAnswers]++
		c.respond(503, "", nil)
	}
	c.resume()
}

// sendNewerVersion answers with the committed version if it is newer than the driver's, and reports whether it has answered.
func (c *session) sendNewerVersion() bool {
	e := c.server.machine.Committed()
	if e.Version <= c.knownVersion {
		return false
	}
	c.respond(200, strconv.FormatUint(e.Version, 10), []byte(e.Text))
	return true
}

// versionCommitted answers the watch if the committed version is newer than the one the driver knows.
func (c *session) versionCommitted() {
	if c.sendNewerVersion() {
		c.resume()
	}
}

// Package client is the side of a driver that asks control machines for newer versions of its configuration, and tells them with each call
// what it has in force. Whom it asks and when decides rollout.Follower.
package client

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"passtack/internal/httpwire"
	"passtack/internal/loop"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

// Host is told of what comes.
type Host interface {
	// Standing is what the driver has in force.
	Report() rollout.DriverReport
	// Offered brings a version newer than that, and than the one refused. Once it is settled, Settled is to be called.
	VersionOffered(version uint64, text []byte)
	Count(what string)
}

const (
	applyTimeout           = 2 * time.Second  // that the host may take before the next call goes out all the same
	unreachableLogInterval = 30 * time.Second // between two lines about machines that cannot be reached
)

var limits = httpwire.Limits{Head: 1 << 10, Fields: 16, Body: rollout.MaxTextBytes}

// Client is a driver's watch.
type Client struct {
	loop              *loop.Loop
	host              Host
	fleet             string
	machines          []netip.AddrPort
	selector          *rollout.MachineSelector
	stream            *loop.Stream
	connectedTo       int      // the machine of the stream
	inFlight          bool     // a call is
	timer             loop.Due // of the call's end, or of the next call
	lastAnswerAt      time.Duration
	quietUntil        time.Duration // until when failures are not logged
	unreachableLogged bool          // it was logged that no machine answers
}

// New begins to ask.
func New(l *loop.Loop, host Host, fleet, driver string, machines []netip.AddrPort, seed uint64) *Client {
	var names []string
	for _, at := range machines {
		names = append(names, at.String())
	}
	c := &Client{loop: l, host: host, fleet: fleet, machines: machines, selector: rollout.NewMachineSelector(driver, names, seed), lastAnswerAt: l.Now()}
	l.Later(c.poll)
	return c
}

// Machine is the address of the one that is asked, and for how long none has answered.
func (c *Client) CurrentMachine() (at netip.AddrPort, silent time.Duration) {
	return c.machines[c.selector.Current()], c.loop.Now() - c.lastAnswerAt
}

// Settled lets the next call go out, after what was offered is in force or refused.
func (c *Client) Settled() {
	if !c.inFlight {
		c.schedule(0)
	}
}

func (c *Client) schedule(wait time.Duration) {
	c.loop.Forget(c.timer)
	c.timer = c.loop.At(c.loop.Now()+wait, c.poll)
}

func (c *Client) poll() {
	c.loop.Forget(c.timer)
	c.timer = nil
	if c.stream != nil && (c.connectedTo != c.selector.Current() || !c.stream.Alive()) {
		c.disconnect()
	}
	c.connectedTo = c.selector.Current()
	if c.stream == nil {
		var err error
		if c.stream, err = c.loop.DialKept(c.machines[c.connectedTo], c, limits.Head+limits.Body); err != nil {
			c.stream = nil
			c.fail(err)
			return
		}
	}
	s := c.host.Report()
	body, err := json.Marshal(server.WatchRequest{Fleet: c.fleet, Driver: s.Driver, Version: s.Version, RejectedVersion: s.RejectedVersion, RejectReason: s.RejectReason, NeedsRestart: s.NeedsRestart, MaxWaitMS: int(rollout.LongPollWait / time.Millisecond)})
	if err != nil {
		slog.Error("call_unwritable", "cause", err)
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/watch"), "Host", c.machines[c.connectedTo].String())
	c.inFlight = true
	c.host.Count("configuration_calls")
	c.timer = c.loop.At(c.loop.Now()+rollout.LongPollWait+rollout.LongPollSlack, func() { c.fail(errors.New("no answer in time")) })
	c.stream.Send(httpwire.AppendLength(head, len(body)), body)
}

func (c *Client) Opened()              {}
func (c *Client) Panicked(cause error) { c.fail(cause) }

func (c *Client) Closed(cause error) {
	if c.stream = nil; c.inFlight {
		if cause == nil {
			cause = io.EOF
		}
		c.fail(cause)
	}
}

func (c *Client) Input(in []byte) int {
	r, fault := httpwire.NextReply(in, false, false, limits)
	if fault != nil {
		c.fail(fault)
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	if !c.inFlight {
		c.disconnect()
		return len(in)
	}
	c.handleReply(r)
	return r.Size
}

func (c *Client) handleReply(r httpwire.Reply) {
	now := c.loop.Now()
	version, err := strconv.ParseUint(r.Fields.Text(server.VersionField), 10, 64)
	s := c.host.Report()
	switch {
	case r.Status == 204:
	case r.Status != 200:
		c.fail(fmt.Errorf("status %d", r.Status))
		return
	case err != nil || version <= max(s.Version, s.RejectedVersion):
		c.fail(fmt.Errorf("version %q is offered, %d is in force", r.Fields.Text(server.VersionField), s.Version))
		return
	}
	c.loop.Forget(c.timer)
	c.inFlight, c.lastAnswerAt = false, now
	if c.unreachableLogged {
		c.unreachableLogged = false
		slog.Info("configuration_reached", "machine", c.machines[c.connectedTo])
	}
	c.selector.Succeeded(now)
	if r.Status == 204 {
		c.schedule(0)
		return
	}
	c.schedule(applyTimeout)
	c.host.VersionOffered(version, slices.Clone(r.Body))
}

func (c *Client) disconnect() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

func (c *Client) fail(cause error) {
	now := c.loop.Now()
	c.disconnect()
	c.inFlight = false
	c.host.Count("configuration_failures")
	c.schedule(c.selector.Failed(now))
	if silent := now - c.lastAnswerAt; silent > rollout.LongPollWait+rollout.LongPollSlack && now >= c.quietUntil {
		c.quietUntil, c.unreachableLogged = now+unreachableLogInterval, true
		slog.Warn("configuration_unreachable", "version", c.host.Report().Version, "silent_ms", silent.Milliseconds(), "cause", cause)
	}
}

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
	Standing() rollout.Standing
	// Offered brings a version newer than that, and than the one refused. Once it is settled, Settled is to be called.
	Offered(version uint64, text []byte)
	Count(what string)
}

const (
	settling = 2 * time.Second  // that the host may take before the next call goes out all the same
	quietFor = 30 * time.Second // between two lines about machines that cannot be reached
)

var limits = httpwire.Limits{Head: 1 << 10, Fields: 16, Body: rollout.LongestText}

// Client is a driver's watch.
type Client struct {
	loop     *loop.Loop
	host     Host
	fleet    string
	machines []netip.AddrPort
	follower *rollout.Follower
	stream   *loop.Stream
	at       int      // the machine of the stream
	out      bool     // a call is
	due      loop.Due // of the call's end, or of the next call
	heardAt  time.Duration
	quiet    time.Duration // until when failures are not logged
	silent   bool          // it was logged that no machine answers
}

// New begins to ask.
func New(l *loop.Loop, host Host, fleet, driver string, machines []netip.AddrPort, seed uint64) *Client {
	var names []string
	for _, at := range machines {
		names = append(names, at.String())
	}
	c := &Client{loop: l, host: host, fleet: fleet, machines: machines, follower: rollout.NewFollower(driver, names, seed), heardAt: l.Now()}
	l.Later(c.ask)
	return c
}

// Machine is the address of the one that is asked, and for how long none has answered.
func (c *Client) Machine() (at netip.AddrPort, silent time.Duration) {
	return c.machines[c.follower.Asks()], c.loop.Now() - c.heardAt
}

// Settled lets the next call go out, after what was offered is in force or refused.
func (c *Client) Settled() {
	if !c.out {
		c.after(0)
	}
}

func (c *Client) after(wait time.Duration) {
	c.loop.Forget(c.due)
	c.due = c.loop.At(c.loop.Now()+wait, c.ask)
}

func (c *Client) ask() {
	c.loop.Forget(c.due)
	c.due = nil
	if c.stream != nil && (c.at != c.follower.Asks() || !c.stream.Alive()) {
		c.drop()
	}
	c.at = c.follower.Asks()
	if c.stream == nil {
		var err error
		if c.stream, err = c.loop.DialKept(c.machines[c.at], c, limits.Head+limits.Body); err != nil {
			c.stream = nil
			c.failed(err)
			return
		}
	}
	s := c.host.Standing()
	body, err := json.Marshal(server.Call{Fleet: c.fleet, Driver: s.Driver, From: s.Version, Refused: s.Refused, Why: s.Why, Restart: s.Restart, HoldMS: int(rollout.Hold / time.Millisecond)})
	if err != nil {
		slog.Error("call_unwritable", "cause", err)
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/watch"), "Host", c.machines[c.at].String())
	c.out = true
	c.host.Count("configuration_calls")
	c.due = c.loop.At(c.loop.Now()+rollout.Hold+rollout.Slack, func() { c.failed(errors.New("no answer in time")) })
	c.stream.Send(httpwire.AppendLength(head, len(body)), body)
}

func (c *Client) Opened()              {}
func (c *Client) Panicked(cause error) { c.failed(cause) }

func (c *Client) Closed(cause error) {
	if c.stream = nil; c.out {
		if cause == nil {
			cause = io.EOF
		}
		c.failed(cause)
	}
}

func (c *Client) Input(in []byte) int {
	r, fault := httpwire.NextReply(in, false, false, limits)
	if fault != nil {
		c.failed(fault)
		return 0
	}
	if r.Size == 0 {
		return 0
	}
	if !c.out {
		c.drop()
		return len(in)
	}
	c.answered(r)
	return r.Size
}

func (c *Client) answered(r httpwire.Reply) {
	now := c.loop.Now()
	version, err := strconv.ParseUint(r.Fields.Text(server.VersionField), 10, 64)
	s := c.host.Standing()
	switch {
	case r.Status == 204:
	case r.Status != 200:
		c.failed(fmt.Errorf("status %d", r.Status))
		return
	case err != nil || version <= max(s.Version, s.Refused):
		c.failed(fmt.Errorf("version %q is offered, %d is in force", r.Fields.Text(server.VersionField), s.Version))
		return
	}
	c.loop.Forget(c.due)
	c.out, c.heardAt = false, now
	if c.silent {
		c.silent = false
		slog.Info("configuration_reached", "machine", c.machines[c.at])
	}
	c.follower.Answered(now)
	if r.Status == 204 {
		c.after(0)
		return
	}
	c.after(settling)
	c.host.Offered(version, slices.Clone(r.Body))
}

func (c *Client) drop() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

func (c *Client) failed(cause error) {
	now := c.loop.Now()
	c.drop()
	c.out = false
	c.host.Count("configuration_failures")
	c.after(c.follower.Failed(now))
	if silent := now - c.heardAt; silent > rollout.Hold+rollout.Slack && now >= c.quiet {
		c.quiet, c.silent = now+quietFor, true
		slog.Warn("configuration_unreachable", "version", c.host.Standing().Version, "silent_ms", silent.Milliseconds(), "cause", cause)
	}
}

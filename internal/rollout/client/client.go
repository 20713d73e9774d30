// Package client is a driver's side of the configuration service. It polls control machines for newer versions, and reports with each poll
// what the driver has in force. rollout.MachineSelector decides which machine is polled, and when.
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

// Host is the driver. It is called on the loop.
type Host interface {
	// Report returns what the driver has in force.
	Report() rollout.DriverReport
	// VersionOffered hands over a version newer than the one in force and the one rejected. The host calls Client.Settled once that is either.
	VersionOffered(version uint64, text []byte)
	// Count increments the counter of that name.
	Count(counter string)
}

const (
	applyTimeout           = 2 * time.Second // for the host to settle a version, before the next poll is sent all the same
	unreachableLogInterval = 30 * time.Second
	pollTimeout            = rollout.LongPollWait + rollout.LongPollSlack
)

// Counters of a driver, by name.
const (
	counterPolls        = "configuration_polls"
	counterPollFailures = "configuration_poll_failures"
)

var errNoAnswer = errors.New("no answer in time")

var limits = httpwire.Limits{Head: 1 << 10, Fields: 16, Body: rollout.MaxTextBytes}

// Client polls the control machines of one driver. Its methods must be called on its loop.
type Client struct {
	loop         *loop.Loop
	host         Host
	fleet        string
	machines     []netip.AddrPort
	selector     *rollout.MachineSelector
	stream       *loop.Stream // nil: not connected
	connectedTo  int          // index of the stream's machine
	inFlight     bool         // a poll is sent and not answered
	timer        loop.Timer   // of the poll's timeout, or of the next poll
	lastAnswerAt time.Duration
	unreachable  unreachableLog
}

// unreachableLog limits how often it is logged that no machine answers.
type unreachableLog struct {
	active     bool // it was logged, and no machine has answered since
	quietUntil time.Duration
}

// New returns a client that begins to poll at once.
func New(l *loop.Loop, host Host, fleet, driver string, machines []netip.AddrPort, seed uint64) *Client {
	var names []string
	for _, address := range machines {
		names = append(names, address.String())
	}
	c := &Client{
		loop:         l,
		host:         host,
		fleet:        fleet,
		machines:     machines,
		selector:     rollout.NewMachineSelector(driver, names, seed),
		lastAnswerAt: l.Now(),
	}
	l.Defer(c.poll)
	return c
}

// CurrentMachine returns the address of the machine that is polled, and for how long no machine has answered.
func (c *Client) CurrentMachine() (address netip.AddrPort, silent time.Duration) {
	return c.machines[c.selector.Current()], c.loop.Now() - c.lastAnswerAt
}

// Settled tells the client that an offered version is in force or rejected, so that the next poll reports it.
func (c *Client) Settled() {
	if !c.inFlight {
		c.schedule(0)
	}
}

// schedule sets the time of the next poll.
func (c *Client) schedule(delay time.Duration) {
	c.loop.Cancel(c.timer)
	c.timer = c.loop.At(c.loop.Now()+delay, c.poll)
}

func (c *Client) poll() {
	c.loop.Cancel(c.timer)
	c.timer = nil
	if err := c.connect(); err != nil {
		c.fail(err)
		return
	}
	report := c.host.Report()
	body, err := json.Marshal(server.WatchRequest{
		Fleet:           c.fleet,
		Driver:          report.Driver,
		Version:         report.Version,
		RejectedVersion: report.RejectedVersion,
		RejectReason:    report.RejectReason,
		NeedsRestart:    report.NeedsRestart,
		MaxWaitMS:       int(rollout.LongPollWait / time.Millisecond),
	})
	if err != nil {
		slog.Error("configuration poll cannot be encoded", "cause", err)
		return
	}
	head := httpwire.AppendField(httpwire.AppendRequest(nil, "POST", "/watch"), "Host", c.machines[c.connectedTo].String())
	c.inFlight = true
	c.host.Count(counterPolls)
	c.timer = c.loop.At(c.loop.Now()+pollTimeout, func() { c.fail(errNoAnswer) })
	c.stream.Send(httpwire.AppendLength(head, len(body)), body)
}

// connect connects to the selected machine, unless a usable connection is there.
func (c *Client) connect() error {
	selected := c.selector.Current()
	if c.stream != nil && (c.connectedTo != selected || !c.stream.Alive()) {
		c.disconnect()
	}
	c.connectedTo = selected
	if c.stream != nil {
		return nil
	}
	stream, err := c.loop.DialReserved(c.machines[selected], c, limits.Head+limits.Body)
	if err == nil {
		c.stream = stream
	}
	return err
}

// Opened implements loop.Handler.
func (c *Client) Opened() {}

// Panicked implements loop.Handler.
func (c *Client) Panicked(cause error) { c.fail(cause) }

// Closed implements loop.Handler.
func (c *Client) Closed(cause error) {
	c.stream = nil
	if !c.inFlight {
		return
	}
	if cause == nil {
		cause = io.EOF
	}
	c.fail(cause)
}

// Input implements loop.Handler.
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

// handleReply handles the answer to a poll: a newer version, or that there is none.
func (c *Client) handleReply(r httpwire.Reply) {
	var version uint64
	switch r.Status {
	case 200:
		var err error
		if version, err = c.offeredVersion(r); err != nil {
			c.fail(err)
			return
		}
	case 204:
	default:
		c.fail(fmt.Errorf("status %d", r.Status))
		return
	}
	c.succeed()
	if r.Status == 204 {
		c.schedule(0)
		return
	}
	c.schedule(applyTimeout)
	c.host.VersionOffered(version, slices.Clone(r.Body))
}

// offeredVersion returns the version of an answer, which must be newer than what the driver has reported.
func (c *Client) offeredVersion(r httpwire.Reply) (uint64, error) {
	text := r.Fields.Text(server.VersionField)
	version, err := strconv.ParseUint(text, 10, 64)
	report := c.host.Report()
	if err != nil || version <= max(report.Version, report.RejectedVersion) {
		return 0, fmt.Errorf("version %q is offered, %d is in force", text, report.Version)
	}
	return version, nil
}

func (c *Client) succeed() {
	c.loop.Cancel(c.timer)
	c.inFlight, c.lastAnswerAt = false, c.loop.Now()
	if c.unreachable.active {
		c.unreachable.active = false
		slog.Info("configuration machines reachable again", "machine", c.machines[c.connectedTo])
	}
	c.selector.Succeeded(c.lastAnswerAt)
}

func (c *Client) disconnect() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

// fail ends a poll without a good answer, and schedules one of the next machine.
func (c *Client) fail(cause error) {
	now := c.loop.Now()
	c.disconnect()
	c.inFlight = false
	c.host.Count(counterPollFailures)
	c.schedule(c.selector.Failed(now))
	silent := now - c.lastAnswerAt
	if silent > pollTimeout && now >= c.unreachable.quietUntil {
		c.unreachable = unreachableLog{active: true, quietUntil: now + unreachableLogInterval}
		slog.Warn("configuration machines unreachable", "version", c.host.Report().Version, "silent_ms", silent.Milliseconds(), "cause", cause)
	}
}

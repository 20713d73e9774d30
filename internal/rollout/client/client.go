// Package client is the driver's side of the configuration service. It polls control machines for newer versions, and reports the driver's
// state with each poll. rollout.MachineSelector decides which machine is polled, and when.
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

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
	"passtack/internal/rollout"
	"passtack/internal/rollout/server"
)

// Host is the driver that uses the client. Its methods are called on the loop.
type Host interface {
	// Report returns the version in force, the rejected version and the settings that need a restart.
	Report() rollout.DriverReport
	// VersionOffered passes a version newer than both the one in force and the rejected one. The host calls Client.Settled once it has applied
	// or rejected the version.
	VersionOffered(version uint64, text []byte)
	// Count increments the counter with the given name.
	Count(counter string)
}

const (
	applyTimeout           = 2 * time.Second // for the host to apply or reject a version; the next poll is sent then in any case
	unreachableLogInterval = 30 * time.Second
	pollTimeout            = rollout.LongPollWait + rollout.LongPollSlack
)

// Names of the counters passed to Host.Count.
const (
	counterPolls        = "configuration_polls"
	counterPollFailures = "configuration_poll_failures"
)

var errNoAnswer = errors.New("no answer within the poll timeout")

var limits = httpwire.Limits{Head: 1 << 10, Fields: 16, Body: rollout.MaxTextBytes}

// Client polls control machines on behalf of one driver. Its methods must be called on its loop.
type Client struct {
	loop         *eventloop.Loop
	host         Host
	fleet        string
	machines     []netip.AddrPort
	selector     *rollout.MachineSelector
	stream       *eventloop.Stream // nil: not connected
	connectedTo  int               // index of the machine that the stream is connected to
	inFlight     bool              // a poll has been sent and not answered yet
	timer        eventloop.Timer   // timeout of the current poll, or start of the next one
	lastAnswerAt time.Duration
	unreachable  unreachableLog
}

// unreachableLog limits how often the client logs that no machine answers.
type unreachableLog struct {
	active     bool // logged, and no machine has answered since
	quietUntil time.Duration
}

// New returns a client that starts to poll immediately.
func New(l *eventloop.Loop, host Host, fleet, driver string, machines []netip.AddrPort, seed uint64) *Client {
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

// CurrentMachine returns the address of the machine that is polled, and the time since any machine last answered.
func (c *Client) CurrentMachine() (address netip.AddrPort, sinceAnswer time.Duration) {
	return c.machines[c.selector.Current()], c.loop.Now() - c.lastAnswerAt
}

// Settled informs the client that an offered version has been applied or rejected. The next poll, which reports this, is sent immediately.
func (c *Client) Settled() {
	if !c.inFlight {
		c.schedule(0)
	}
}

// schedule starts the next poll after a delay.
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

// connect connects to the selected machine, unless there is a usable connection to it.
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

// Opened implements eventloop.Handler.
func (c *Client) Opened() {}

// Panicked implements eventloop.Handler.
func (c *Client) Panicked(cause error) { c.fail(cause) }

// Closed implements eventloop.Handler.
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

// Input implements eventloop.Handler.
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

// handleReply handles the answer to a poll: 200 with a newer version, or 204 if there is none. Any other status is a failure.
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
		c.fail(fmt.Errorf("control machine answered with HTTP status %d", r.Status))
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

// offeredVersion returns the version number of an answer. It must be higher than the versions that the driver reports.
func (c *Client) offeredVersion(r httpwire.Reply) (uint64, error) {
	text := r.Fields.Text(server.VersionField)
	version, err := strconv.ParseUint(text, 10, 64)
	report := c.host.Report()
	if err != nil || version <= max(report.Version, report.RejectedVersion) {
		return 0, fmt.Errorf("offered version %q is not a number above the reported ones; version %d is in force", text, report.Version)
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

// fail ends a failed poll, and schedules a poll of the next machine.
func (c *Client) fail(cause error) {
	now := c.loop.Now()
	c.disconnect()
	c.inFlight = false
	c.host.Count(counterPollFailures)
	c.schedule(c.selector.Failed(now))
	sinceAnswer := now - c.lastAnswerAt
	if sinceAnswer > pollTimeout && now >= c.unreachable.quietUntil {
		c.unreachable = unreachableLog{active: true, quietUntil: now + unreachableLogInterval}
		slog.Warn("configuration machines unreachable", "version", c.host.Report().Version, "silent_ms", sinceAnswer.Milliseconds(), "cause", cause)
	}
}

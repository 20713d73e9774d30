// Package discovery is the client of the discovery agent: it watches or polls the endpoint list, and reports each list to its
// host. All calls come from the goroutine of the event loop.
package discovery

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"time"

	"passtack/driver"
	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
)

// Host receives endpoint lists.
type Host interface {
	// ListBegins starts a list. The calls of Listed and ListEnds follow at once. A failure is reported as an empty list of the
	// kind driver.NoList.
	ListBegins(kind driver.ListKind)
	// Listed reports one entry. The address is invalid if a removed member is listed without one.
	Listed(uid string, address netip.AddrPort, zone string, group driver.Group, state driver.MemberState,
		size float64, started time.Duration, primary bool)
	// ListEnds completes the list.
	ListEnds(kind driver.ListKind)
	// Count adds one to a counter.
	Count(name string)
}

// A change is reported within 6 s after discovery has it, even if requests fail in that time. In the worst case it happens just
// after the last response, and the watch opened then gets no response: the watch times out after watchHold + responseSlack, the
// next request follows at most rules.MaxListRetryWait later, and is answered within responseSlack: 2.5 + 1 + 0.5 + 1 = 5 s. If that
// request fails too, and failures and responses arrive at once, the request after it is answered after 5.5 s at most.
const (
	watchHold     = 2500 * time.Millisecond // how long discovery may hold a watch without a change
	responseSlack = time.Second             // time limit of a response, beyond watchHold
	maxListBytes  = 4 << 20
	listPath      = "/discovery/hosts"
)

// MaxWatch is the longest time from sending a watch until it is answered or times out.
const MaxWatch = watchHold + responseSlack

var errTimeout = errors.New("no complete response within the time limit")

// StatusError reports a response from discovery with a status other than 200.
type StatusError int

// Error implements error.
func (s StatusError) Error() string {
	return fmt.Sprintf("response with status %d, expected 200", int(s))
}

// Client is the connection to discovery. One request is outstanding at a time. It implements eventloop.Handler.
type Client struct {
	loop        *eventloop.Loop
	host        Host
	address     netip.AddrPort
	stream      *eventloop.Stream // nil: not connected
	revision    int64             // revision of the latest list
	requests    uint64            // number of requests sent so far
	outstanding uint64            // number of the request without a response, 0: none
	timeout     eventloop.Timer   // timeout of that request
	fetching    bool              // the outstanding or latest request is for the complete list
	fetchNext   bool              // the next request is for the complete list
	pollNext    bool              // the next request does not wait for a change: the latest one failed, or Poll was called
	watching    bool              // the next watch is sent after each response
	paused      bool              // the watch is paused
	respondedAt time.Duration     // time of the latest valid list

	// OnList receives every list before the host does, for storage. It may be nil. The entries are keyed by uid, and nil for
	// removed members.
	OnList func(revision int64, complete bool, entries map[string][]byte)
}

// New creates a client that has sent no request.
func New(l *eventloop.Loop, host Host, address netip.AddrPort) *Client {
	return &Client{loop: l, host: host, address: address}
}

// Restore reports a list that was stored earlier.
func (c *Client) Restore(body []byte) error { return c.apply(body, true) }

// SetPaused pauses or resumes the watch. While it is paused, only Fetch and Poll send requests.
func (c *Client) SetPaused(paused bool) {
	if c.paused = paused; !paused {
		c.send()
	}
}

// Poll requests the changes since the latest list without waiting for one, also while the watch is paused.
func (c *Client) Poll() {
	c.pollNext = true
	c.send()
}

// Fetch requests the complete list once.
func (c *Client) Fetch() {
	c.fetchNext = true
	c.send()
}

// SetWatching starts or stops the watch. A failure stops it too.
func (c *Client) SetWatching(watching bool) {
	if c.watching = watching; watching {
		c.send()
	}
}

// SetAddress changes the address of discovery, drops the outstanding request and fetches the complete list.
func (c *Client) SetAddress(address netip.AddrPort) {
	c.disconnect()
	c.address, c.outstanding = address, 0
	c.Fetch()
}

// Fresh reports whether the latest response is no older than it may be while the watch is running.
func (c *Client) Fresh() bool { return c.respondedAt > 0 && c.loop.Now()-c.respondedAt < MaxWatch }

// Revision returns the revision of the latest list.
func (c *Client) Revision() int64 { return c.revision }

// send sends the next request, unless one is outstanding or none is due.
func (c *Client) send() {
	if c.outstanding != 0 || !c.fetchNext && (!c.watching || c.paused && !c.pollNext) {
		return
	}
	if err := c.connect(); err != nil {
		c.loop.Defer(func() { c.fail(err) })
		return
	}
	c.fetching, c.fetchNext = c.fetchNext, false
	path, wait := c.nextRequest()
	c.requests++
	c.outstanding = c.requests
	number := c.outstanding
	c.stream.Send(httpwire.AppendGet(nil, c.address.String(), path))
	c.host.Count("list_calls")
	c.timeout = c.loop.At(c.loop.Now()+wait, func() {
		if c.outstanding == number {
			c.fail(errTimeout)
		}
	})
}

// nextRequest returns the path of the request to send and how long to wait for its response.
func (c *Client) nextRequest() (path string, wait time.Duration) {
	if c.fetching {
		return listPath, responseSlack
	}
	hold := watchHold
	if c.pollNext {
		hold = 0
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", listPath, c.revision, hold/time.Millisecond), responseSlack + hold
}

// connect opens a connection unless there is one that can be used again.
func (c *Client) connect() (err error) {
	if c.stream != nil && !c.stream.Alive() {
		c.disconnect()
	}
	if c.stream == nil {
		c.stream, err = c.loop.DialReserved(c.address, c, maxListBytes)
	}
	return err
}

func (c *Client) disconnect() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

// Opened implements eventloop.Handler.
func (c *Client) Opened() {}

// Input implements eventloop.Handler: it reads a response once it is complete.
func (c *Client) Input(in []byte) int {
	if c.outstanding == 0 {
		return len(in)
	}
	status, body, size, last, err := httpwire.Answer(in, false)
	if err != nil || len(in) >= maxListBytes && size == 0 {
		c.fail(errors.Join(httpwire.ErrAnswer, err))
		return 0
	}
	if size == 0 {
		return 0
	}
	c.receive(status, body, last)
	return size
}

// receive takes a complete response and sends the next request.
func (c *Client) receive(status int, body []byte, last bool) {
	if status != http.StatusOK {
		c.fail(StatusError(status))
		return
	}
	if err := c.apply(body, false); err != nil {
		c.fail(err)
		return
	}
	c.loop.Cancel(c.timeout)
	c.outstanding, c.respondedAt, c.pollNext = 0, c.loop.Now(), false
	if last {
		c.disconnect()
	}
	c.send()
}

// Closed implements eventloop.Handler. The orderly end of the connection completes a response without a length.
func (c *Client) Closed(cause error) {
	in := c.stream.Unread()
	c.stream = nil
	if c.outstanding == 0 {
		return
	}
	if status, body, size, _, err := httpwire.Answer(in, true); cause == io.EOF && err == nil && size > 0 {
		c.receive(status, body, true)
		return
	}
	c.fail(cause)
}

// Panicked implements eventloop.Handler.
func (c *Client) Panicked(cause error) { c.fail(cause) }

// fail reports to the host that a request returned no list. The latest list remains valid. The watch stops until the host starts
// it again; a failed request for the complete list is then sent again.
func (c *Client) fail(cause error) {
	slog.Warn("endpoint list request failed", "revision", c.revision, "cause", cause)
	c.disconnect()
	c.fetchNext = c.fetchNext || c.outstanding != 0 && c.fetching
	c.outstanding, c.watching, c.pollNext = 0, false, true
	c.host.Count("list_failures")
	c.host.ListBegins(driver.NoList)
	c.host.ListEnds(driver.NoList)
}

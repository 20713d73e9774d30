package node

import (
	"errors"
	"log/slog"
	"net/netip"
	"strconv"
	"time"

	"passtack/internal/eventloop"
	"passtack/internal/httpwire"
)

const (
	maxUploadBuffer = 16 << 10 // bytes

	statusMultipleChoices = 300 // HTTP; lower codes are successes
	statusConflict        = 409
)

// errUploadTimeout is the cause of failure of an upload that was not answered within the timeout.
var errUploadTimeout = errors.New("the server did not answer the upload in time")

// summaryUpload uploads summaries to one address by HTTP, one at a time over a connection that stays open. It implements eventloop.Handler. A
// failed upload is not retried, because the next summary is newer.
type summaryUpload struct {
	node    *Node
	address netip.AddrPort
	path    string
	timeout time.Duration

	stream   *eventloop.Stream // nil: not connected
	inFlight bool
	timer    eventloop.Timer // for the timeout

	accepted, rejected, failed int           // numbers of uploads
	latest                     time.Duration // when an upload was last accepted
}

// prepare connects if there is no connection. It returns false while another upload is in progress, and if it cannot connect.
func (u *summaryUpload) prepare() bool {
	if u.inFlight {
		return false
	}
	if u.stream != nil {
		return true
	}
	var err error
	if u.stream, err = u.node.loop.Dial(u.address, u, maxUploadBuffer); err != nil {
		u.failed++
		return false
	}
	return true
}

// put sends a summary, after prepare.
func (u *summaryUpload) put(fencingToken uint64, body []byte) {
	head := append([]byte("PUT "), u.path...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = httpwire.AppendField(head, "Host", u.address.String())
	head = httpwire.AppendField(head, "Content-Type", "application/json")
	head = httpwire.AppendField(head, "Fencing", strconv.FormatUint(fencingToken, 10))
	u.inFlight = true
	u.stream.Send(httpwire.AppendLength(head, len(body)), body)
	l := u.node.loop
	u.timer = l.At(l.Now()+u.timeout, func() { u.fail(errUploadTimeout) })
}

// Opened implements eventloop.Handler.
func (u *summaryUpload) Opened() {}

// Panicked implements eventloop.Handler.
func (u *summaryUpload) Panicked(cause error) { u.fail(cause) }

// Input implements eventloop.Handler: it processes an answer and returns its length, 0 while the answer is incomplete.
func (u *summaryUpload) Input(in []byte) int {
	status, _, size, last, err := httpwire.Answer(in, false)
	if err != nil {
		u.fail(err)
		return 0
	}
	if size == 0 {
		return 0
	}
	n := u.node
	n.loop.Cancel(u.timer)
	u.inFlight = false
	switch {
	case status < statusMultipleChoices:
		u.accepted++
		u.latest = n.loop.Now()
		n.Count("summaries_put")
	case status == statusConflict: // the server has seen a higher fencing token
		u.rejected++
		n.Count("summaries_rejected")
	default:
		u.failed++
		n.Count("summaries_failed")
	}
	if last {
		u.disconnect()
	}
	return size
}

// Closed implements eventloop.Handler.
func (u *summaryUpload) Closed(cause error) {
	u.stream = nil
	if u.inFlight {
		u.fail(cause)
	}
}

// fail abandons the upload in progress and counts it as failed.
func (u *summaryUpload) fail(cause error) {
	u.failed++
	u.node.Count("summaries_failed")
	slog.Debug("summary upload failed", "to", u.address, "cause", cause)
	u.disconnect()
}

// disconnect closes the connection and abandons an upload in progress.
func (u *summaryUpload) disconnect() {
	u.node.loop.Cancel(u.timer)
	u.inFlight = false
	if u.stream != nil {
		u.stream.Close()
		u.stream = nil
	}
}

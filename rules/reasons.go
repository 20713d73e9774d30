package rules

// Reason tells why the router gave up an RPC. Hosts log it; no decision depends on it.
type Reason uint8

// The reasons for which an RPC is given up, NotGivenUp as long as none was.
const (
	NotGivenUp       Reason = iota
	NoTimeLeft              // it could not be completely sent to a member in time
	TooSlow                 // the predicted latency exceeded the time left
	NoMember                // no member could take it for as long as it could wait
	NoAnswer                // an attempt timed out or was cancelled
	NoRetry                 // the last attempt failed and no other may follow
	ClientHalfClosed        // the client half-closed its connection while no attempt was in flight
	ShuttingDown            // the driver ends before the client's deadline
)

var reasonNames = [...]string{"none", "no_time_left", "too_slow", "no_member", "no_answer", "no_retry", "client_parted", "shutting_down"}

// String returns the reason as logs spell it.
func (r Reason) String() string { return reasonNames[r] }

// LastReason returns the reason for the rejection or abort that the host is being told of.
func (r *Router) LastReason() Reason { return r.lastReason }

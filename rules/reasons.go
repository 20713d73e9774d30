package rules

// Reason is why the router gave up an RPC. Hosts log it; no decision depends on it.
type Reason uint8

// Reasons for giving up an RPC. NotGivenUp means that the router has not given up any RPC yet.
const (
	NotGivenUp       Reason = iota
	NoTimeLeft              // it could not be completely sent to a member in time
	TooSlow                 // the predicted latency exceeded the time left
	NoMember                // no member could take it while it was allowed to wait
	NoAnswer                // an attempt timed out or was cancelled
	NoRetry                 // the last attempt failed and no other may follow
	ClientHalfClosed        // the client half-closed its connection while no attempt was in flight
	ShuttingDown            // the driver stops before the client's deadline
)

var reasonNames = [...]string{"none", "no_time_left", "too_slow", "no_member", "no_answer", "no_retry", "client_parted", "shutting_down"}

// String returns the reason as it is logged.
func (r Reason) String() string { return reasonNames[r] }

// LastReason returns the reason for the latest rejection or abort. The host calls it from its PushBack and Abort methods.
func (r *Router) LastReason() Reason { return r.lastReason }

package rules

// Reason tells why the router gave an RPC up. Hosts log it; nothing is decided by it.
type Reason uint8

const (
	// NotGivenUp is the reason while no RPC was given up.
	NotGivenUp Reason = iota
	// NoTimeLeft means that the RPC could not be whole at a member in time.
	NoTimeLeft
	// TooSlow means that the predicted latency was longer than the time left.
	TooSlow
	// NoMember means that no member could take the RPC for as long as it could wait.
	NoMember
	// NoAnswer means that an attempt timed out or was cancelled.
	NoAnswer
	// NoRetry means that the last attempt failed and no other may follow.
	NoRetry
	// ClientParted means that the client sends no more and nothing was out for it.
	ClientParted
	// ShuttingDown means that the driver ends before the client's deadline.
	ShuttingDown
)

var reasonNames = [...]string{"none", "no_time_left", "too_slow", "no_member", "no_answer", "no_retry", "client_parted", "shutting_down"}

// String gives the reason as logs have it.
func (r Reason) String() string { return reasonNames[r] }

// LastReason is why the RPC was given up whose refusal or abort the host is being told.
func (r *Router) LastReason() Reason { return r.reason }

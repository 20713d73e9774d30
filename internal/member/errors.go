package member

import (
	"errors"
	"fmt"

	"passtack/driver"
)

// Progress is how far an attempt had come when it ended.
type Progress uint8

const (
	// NotConnected means that the connection was never established.
	NotConnected Progress = iota
	// PartlyWritten means that the member cannot have received the whole request.
	PartlyWritten
	// FullyWritten means that the member may have run the request.
	FullyWritten
	// ResponseStarted means that part of the response was received.
	ResponseStarted
)

var progressNames = [...]string{"not_connected", "partly_written", "fully_written", "response_started"}

// String returns the name of the progress as in log lines.
func (p Progress) String() string { return progressNames[p] }

var (
	errTimeout             = errors.New("no complete response before the deadline")
	errConnectTimeout      = errors.New("connection not established within the connect timeout")
	errMalformedResponse   = errors.New("response violates the protocol")
	errResponseStalled     = errors.New("incomplete response: no more data within the limit for pauses")
	errSharedConnectFailed = errors.New("another connection to the member could not be established")
)

// Failure reports that an attempt ended without a complete response of the member.
type Failure struct {
	Progress Progress
	TimedOut bool
	Cause    error
}

// Error implements error.
func (f Failure) Error() string {
	return fmt.Sprintf("progress=%s timed_out=%t cause=%q", f.Progress, f.TimedOut, f.Cause)
}

// Unwrap returns the cause.
func (f Failure) Unwrap() error { return f.Cause }

// Outcome returns the attempt's outcome. It follows from the progress: a request that was not fully written has not run,
// whatever the cause of the failure.
func (f Failure) Outcome() driver.Outcome {
	switch {
	case f.Progress < FullyWritten:
		return driver.NoConnection
	case f.TimedOut:
		return driver.TimedOut
	}
	return driver.Broken
}

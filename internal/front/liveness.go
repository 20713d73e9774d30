package front

import "time"

const (
	maxUnconfirmed = 50 * time.Millisecond // for which a client whose end may be hidden is taken to be there
	resetWait      = 5 * time.Millisecond  // for the reset with which the system of a client that has left answers a response
)

// liveness is what is known of a client that has written more than was read. If it closes its connection, the end is hidden behind
// that input; but the next response is answered with a reset.
type liveness struct {
	confirmedAt time.Duration // when the client was known to be there
	confirming  bool          // a response was sent, and its reset may be on the way
}

// confirmLiveness reports whether the client may be taken to be there. If that has not been confirmed for a while and its end may be hidden,
// it waits for a reset first, and then continues to deliver input. A client that has had no response yet cannot be asked.
func (c *Connection) confirmLiveness() bool {
	l, loop := &c.liveness, c.connections.loop
	if l.confirming {
		return false
	}
	if !c.hasRequested || !c.Stream.InputHidden() || loop.Now()-l.confirmedAt < maxUnconfirmed {
		return true
	}
	l.confirming = true
	loop.At(loop.Now()+resetWait, func() {
		l.confirming, l.confirmedAt = false, loop.Now()
		c.Stream.DeliverInput()
	})
	return false
}

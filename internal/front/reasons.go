package front

import "log/slog"

// CloseReason tells why the driver ends a client's connection.
type CloseReason string

// Each reason has a counter of its own, clients_closed_ and its name.
const (
	ClosedIdle       CloseReason = "idle"       // it has never asked, or another client needs the descriptor
	ClosedStuck      CloseReason = "stuck"      // it reads nothing of its answer
	ClosedUnreadable CloseReason = "unreadable" // what it sent cannot be read
	ClosedByClient   CloseReason = "by_client"  // it said goodbye, or sends no more and has its answers
	ClosedShare      CloseReason = "share"      // another listener needs the descriptor
	ClosedPanic      CloseReason = "panic"      // a panic came while it was served
	ClosedShutdown   CloseReason = "shutdown"   // the driver is being shut down
)

// closing counts and logs the end of a connection.
func (s *Connection) closing(reason CloseReason) {
	s.room.count("clients_closed_" + string(reason))
	slog.Debug("client_closed", "client", s.Handle, "reason", reason)
}

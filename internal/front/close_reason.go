package front

import "log/slog"

// CloseReason is why the driver closes a client's connection.
type CloseReason string

// Each reason has a counter: clients_closed_ and the reason.
const (
	ClosedIdle       CloseReason = "idle"       // no request was sent, or another client needs the descriptor
	ClosedStuck      CloseReason = "stuck"      // the client does not read its response
	ClosedUnreadable CloseReason = "unreadable" // the client violated the protocol
	ClosedByClient   CloseReason = "by_client"  // the client terminated the session, or ended its side and has all responses
	ClosedShare      CloseReason = "share"      // another listener needs the descriptor
	ClosedPanic      CloseReason = "panic"      // the driver panicked while it served the connection
	ClosedShutdown   CloseReason = "shutdown"   // the driver is shutting down
)

// recordClose counts and logs the end of a connection.
func (c *Connection) recordClose(reason CloseReason) {
	c.connections.count("clients_closed_" + string(reason))
	slog.Debug("client connection closed", "client", c.Handle, "reason", reason)
}

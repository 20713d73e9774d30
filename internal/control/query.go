package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	queryTimeout   = 3 * time.Second // to connect, and again for the answer
	maxAnswerBytes = 16 << 20
)

// Error is the error that a driver returned for a query.
type Error struct {
	Address string // of the driver's control endpoint
	Message string
}

// Error returns the driver's address and message.
func (e *Error) Error() string { return e.Address + " answered with an error: " + e.Message }

// Query sends a query to the control endpoint at an address, and decodes the answer into a value. An error reported by the driver is returned as
// *Error.
func Query(address, query string, into any) error {
	text, err := exchange(address, query)
	if err != nil {
		return err
	}
	var failure struct{ Error string }
	if json.Unmarshal(text, &failure) == nil && failure.Error != "" {
		return &Error{Address: address, Message: failure.Error}
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode the answer of %s to %q: %w", address, query, err)
	}
	return nil
}

// exchange sends a query and returns the bytes of the answer.
func exchange(address, query string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", address, queryTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(c, query); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(c, maxAnswerBytes))
}

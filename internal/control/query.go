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

// Error is a driver's answer to a question that it cannot answer.
type Error struct {
	Address string // of the driver
	Message string
}

// Error returns the driver's message.
func (e *Error) Error() string { return e.Address + " says: " + e.Message }

// Query asks a driver a question at its address, and decodes the answer into a value. A question that the driver cannot answer gives an *Error.
func Query(address, question string, into any) error {
	text, err := exchange(address, question)
	if err != nil {
		return err
	}
	var failure struct{ Error string }
	if json.Unmarshal(text, &failure) == nil && failure.Error != "" {
		return &Error{Address: address, Message: failure.Error}
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode the answer of %s to %q: %w", address, question, err)
	}
	return nil
}

// exchange sends a question and returns the bytes of the answer.
func exchange(address, question string) ([]byte, error) {
	c, err := net.DialTimeout("tcp", address, queryTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintln(c, question); err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(c, maxAnswerBytes))
}

package config

import (
	"fmt"
	"strings"
)

// ValidationError is one error in a file.
type ValidationError struct {
	File         string
	Line, Column int
	Message      string // description of the error, with the value
}

// Error returns the error as file:line:column: message.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// ValidationErrors holds all errors in a file.
type ValidationErrors []*ValidationError

// Error returns the errors, one per line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, each := range e {
		lines[i] = each.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single errors, for errors.As.
func (e ValidationErrors) Unwrap() []error {
	all := make([]error, len(e))
	for i, each := range e {
		all[i] = each
	}
	return all
}

package config

import (
	"fmt"
	"strings"
)

// ValidationError is one error in a file.
type ValidationError struct {
	File         string
	Line, Column int
	Message      string // what is wrong, and the value
}

// Error returns the error as file:line:column: message.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// ValidationErrors are all errors in a file.
type ValidationErrors []*ValidationError

// Error returns the errors, one a line.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, each := range e {
		lines[i] = each.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find each of them.
func (e ValidationErrors) Unwrap() []error {
	all := make([]error, len(e))
	for i, each := range e {
		all[i] = each
	}
	return all
}

package loop

import (
	"log/slog"
	"runtime/debug"
)

// panicError is the cause that a handler gets after a panic.
type panicError struct{ value any }

// Error implements error.
func (p panicError) Error() string { return "panic in an event handler" }

// guard runs call and recovers from a panic in it, so that only the source being served is affected. It logs the panic and
// then calls onPanic, if there is one.
func (l *Loop) guard(call func(), onPanic func(error)) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error("panic", "cause", cause, "stack", string(debug.Stack()))
			if onPanic != nil {
				l.guard(func() { onPanic(panicError{cause}) }, nil)
			}
		}
	}()
	call()
}

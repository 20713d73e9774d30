package eventloop

import (
	"log/slog"
	"runtime/debug"
)

// panicError is the cause that is passed to a handler's Panicked.
type panicError struct{ value any }

// Error implements error.
func (p panicError) Error() string { return "panic in an event handler" }

// guard runs call and recovers from a panic in it, so that the panic affects only the source being served. It logs the panic
// and then calls onPanic, if that is not nil.
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

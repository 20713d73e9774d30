package node

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shortageRetryDuration = 10 * time.Second       // longest time for which an operation is retried
	shortageRetryInterval = 100 * time.Millisecond // pause before each retry
)

// isResourceShortage reports whether an error may disappear without a change to the driver's files: the system or the process has
// run out of a resource, or a disk or an address is unavailable at present.
func isResourceShortage(err error) bool {
	var code unix.Errno
	if !errors.As(err, &code) {
		return false
	}
	switch code {
	case unix.EINTR, unix.EAGAIN, unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.ENOBUFS, unix.EIO, unix.EADDRINUSE, unix.EADDRNOTAVAIL:
		return true
	}
	return false
}

// retryOnResourceShortage calls an operation until it succeeds, fails with an error other than a resource shortage, or has been
// retried for shortageRetryDuration. It blocks the calling goroutine.
func retryOnResourceShortage(operation func() error) error {
	start := time.Now()
	for logged := false; ; logged = true {
		err := operation()
		if err == nil || !isResourceShortage(err) || time.Since(start) > shortageRetryDuration {
			return err
		}
		if !logged {
			slog.Warn("resource shortage", "cause", err, "retried_for", shortageRetryDuration)
		}
		time.Sleep(shortageRetryInterval)
	}
}

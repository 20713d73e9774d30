package node

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

const (
	shortageRetryDuration = 10 * time.Second       // for which an operation is retried
	shortageRetryInterval = 100 * time.Millisecond // between two retries
)

// isResourceShortage reports whether an error may pass without a change of the driver's files: the system or the process is
// short of something, or a disk or an address does not respond at present.
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

// retryOnResourceShortage calls an operation until it succeeds, fails for a reason that retries do not cure, or has been
// retried for shortageRetryDuration. It blocks.
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

package node

import (
	"errors"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"
)

// What the system has too little of is waited for so long, and tried again after each pause.
const (
	shortageRetryDuration = 10 * time.Second
	shortageRetryInterval = 100 * time.Millisecond
)

// isShortage tells of an error that may pass by itself: the system or the process is short of something, or a disk or an
// address does not answer just now.
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

// throughShortage acts until it succeeds, fails for another reason or the patience is over. It blocks.
func retryOnResourceShortage(act func() error) error {
	began := time.Now()
	for waits := false; ; waits = true {
		err := act()
		if err == nil || !isResourceShortage(err) || time.Since(began) > shortageRetryDuration {
			return err
		}
		if !waits {
			slog.Warn("shortage", "cause", err, "tried_again_for", shortageRetryDuration)
		}
		time.Sleep(shortageRetryInterval)
	}
}

package node

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// What passes by itself is tried again; what does not is told at once.
func TestResourceShortagesAreRetried(t *testing.T) {
	for cause, tries := range map[error]int{
		unix.ENFILE: 3, &os.PathError{Op: "open", Err: unix.EIO}: 3, fmt.Errorf("listen: %w", unix.EADDRINUSE): 3,
		unix.EACCES: 1, os.ErrNotExist: 1, errors.New("not a number"): 1,
	} {
		made := 0
		err := retryOnResourceShortage(func() error {
			if made++; made < 3 {
				return cause
			}
			return nil
		})
		if made != tries || (tries == 3) != (err == nil) {
			t.Errorf("%v: %d tries, then %v", cause, made, err)
		}
	}
}

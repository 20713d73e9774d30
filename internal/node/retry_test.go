package node

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

// An operation that fails for lack of a resource must be retried. Any other error must be returned at once, as it would not disappear.
func TestResourceShortagesAreRetried(t *testing.T) {
	for cause, wantCalls := range map[error]int{
		unix.ENFILE: 3, &os.PathError{Op: "open", Err: unix.EIO}: 3, fmt.Errorf("listen: %w", unix.EADDRINUSE): 3,
		unix.EACCES: 1, os.ErrNotExist: 1, errors.New("not a number"): 1,
	} {
		calls := 0
		err := retryOnResourceShortage(func() error {
			if calls++; calls < 3 {
				return cause
			}
			return nil
		})
		if calls != wantCalls || (wantCalls == 3) != (err == nil) {
			t.Errorf("%v: %d calls, error %v", cause, calls, err)
		}
	}
}

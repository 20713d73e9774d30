//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// Operators publish classes in another order than that of the running driver: OData operations must not use the wrong class.
func TestRepublishedClasses(t *testing.T) { play(t, "1") }

// A repeatable update is repeated at another front of the driver after the window: it must not run again.
func TestRepeatAtAnotherFront(t *testing.T) { play(t, "2") }

// A repeatable update is pushed back although it has run: a repeat after the window must not run it again.
func TestRepeatAfterPushback(t *testing.T) { play(t, "3") }

// play runs the script of a case, after the build of the deploy file and build.sh.
func play(t *testing.T, name string) {
	out, err := exec.Command("./" + name + "/run.sh").CombinedOutput()
	var ended *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &ended) && ended.ExitCode() == 1:
		t.Errorf("case %s: the rule was broken; see %s/record.txt", name, name)
	default:
		t.Fatalf("case %s could not run: %v\n%s", name, err, out)
	}
	if _, err := os.Stat(name + "/record.txt"); err != nil {
		t.Error(err)
	}
}

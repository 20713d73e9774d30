package rig

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// Guards against a slow process start that blocks the loop, and against losing signals that are sent before the start: they have to reach
// the process afterwards, in order.
func TestRunProcessDoesNotWaitForStart(t *testing.T) {
	f := &fleet{}
	ends := make(chan error, 1)
	asked := make(chan *process)
	syscall.ForkLock.Lock() // prevents any process from starting
	go func() {
		p, err := f.runProcess(exec.Command("sleep", "60"), func(s processEvent) {
			if s.ended {
				ends <- s.exitErr
			}
		})
		if err != nil {
			t.Error(err)
		}
		p.signal(syscall.SIGSTOP)
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGTERM)
		asked <- p
	}()
	var p *process
	select {
	case p = <-asked:
	case <-time.After(5 * time.Second):
		t.Error("runProcess waits for the start of the process")
	}
	syscall.ForkLock.Unlock()
	if p == nil {
		p = <-asked
	}
	select {
	case err := <-ends:
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Errorf("the process ended with %v, want SIGTERM", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the process did not get a signal that was sent before its start")
		p.signal(syscall.SIGKILL)
	}
	f.readers.Wait()
}

// A program that cannot be started is reported like one that exits with an error.
func TestRunProcessReportsFailedStart(t *testing.T) {
	f := &fleet{}
	ends := make(chan error, 1)
	if _, err := f.runProcess(exec.Command("/nowhere/at/all"), func(s processEvent) { ends <- s.exitErr }); err != nil {
		t.Fatal(err)
	}
	if err := <-ends; err == nil {
		t.Error("a failed start is reported as a successful exit")
	}
	f.readers.Wait()
}

package rig

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// A start that takes its time holds nobody up who asks for it, and what is signalled meanwhile reaches the process afterwards, in order.
func TestAStartIsNotWaitedFor(t *testing.T) {
	f := &fleet{}
	ends := make(chan error, 1)
	asked := make(chan *process)
	syscall.ForkLock.Lock() // no process starts
	go func() {
		p, err := f.run(exec.Command("sleep", "60"), func(s said) {
			if s.ended {
				ends <- s.cause
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
		t.Error("the start is waited for")
	}
	syscall.ForkLock.Unlock()
	if p == nil {
		p = <-asked
	}
	select {
	case err := <-ends:
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.Sys().(syscall.WaitStatus).Signal() != syscall.SIGTERM {
			t.Errorf("it ended by %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("a signal from before the start did not reach it")
		p.signal(syscall.SIGKILL)
	}
	f.readers.Wait()
}

// A program that cannot be started is told like one that ends by itself.
func TestAStartThatFailsIsTold(t *testing.T) {
	f := &fleet{}
	ends := make(chan error, 1)
	if _, err := f.run(exec.Command("/nowhere/at/all"), func(s said) { ends <- s.cause }); err != nil {
		t.Fatal(err)
	}
	if err := <-ends; err == nil {
		t.Error("it is said to have ended well")
	}
	f.readers.Wait()
}

package rig

import (
	"bufio"
	"os/exec"
	"sync"
	"syscall"
)

// process is a program that is started outside of the loop. The loop does not wait for the start: it also runs all members, clients and relays
// of the play, and ten starts in a row would delay requests that are close to their deadlines.
type process struct {
	command        *exec.Cmd
	ended          chan struct{}
	mutex          sync.Mutex
	started        bool
	pendingSignals []syscall.Signal // sent before the program was started
}

// runProcess starts a program. It passes each line that the program logs to report, and finally its exit, both from another goroutine.
func (f *fleet) runProcess(c *exec.Cmd, report func(s processEvent)) (*process, error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := c.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &process{command: c, ended: make(chan struct{})}
	f.readers.Go(func() {
		exitErr := p.start()
		if exitErr == nil {
			lines := bufio.NewScanner(log)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				report(processEvent{line: lines.Text()})
			}
			exitErr = c.Wait()
		}
		close(p.ended)
		report(processEvent{ended: true, exitErr: exitErr})
	})
	return p, nil
}

func (p *process) start() error {
	if err := p.command.Start(); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.started = true
	for _, s := range p.pendingSignals {
		p.command.Process.Signal(s)
	}
	return nil
}

// signal sends a signal to the program. Signals sent before the start are delivered after it, in the order of the calls.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.started {
		p.command.Process.Signal(s)
	} else {
		p.pendingSignals = append(p.pendingSignals, s)
	}
}

package rig

import (
	"bufio"
	"os/exec"
	"sync"
	"syscall"
)

// process is a program that runs beside the loop. Its start is not waited for there: all members, clients and roads of the play are on the loop, and
// ten starts in a row would hold up whatever has a deadline just then.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
	mutex   sync.Mutex
	started bool
	owed    []syscall.Signal // sent before it had started
}

// run starts a program. Each line that it logs goes to heard, and at last why it ended, both from another goroutine.
func (f *fleet) run(c *exec.Cmd, heard func(s said)) (*process, error) {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := c.StderrPipe()
	if err != nil {
		return nil, err
	}
	p := &process{command: c, ended: make(chan struct{})}
	f.readers.Go(func() {
		cause := p.start()
		if cause == nil {
			lines := bufio.NewScanner(log)
			lines.Buffer(nil, 1<<20)
			for lines.Scan() {
				heard(said{line: lines.Text()})
			}
			cause = c.Wait()
		}
		close(p.ended)
		heard(said{ended: true, cause: cause})
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
	for _, s := range p.owed {
		p.command.Process.Signal(s)
	}
	return nil
}

// signal sends it a signal, once it has started, in the order of the calls.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.started {
		p.command.Process.Signal(s)
	} else {
		p.owed = append(p.owed, s)
	}
}

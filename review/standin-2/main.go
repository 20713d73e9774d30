// Program review-2 plays the cases of the second review: it starts the project's programs as processes on loopback addresses, and serves
// the stand-ins for members, discovery and clients itself. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limit bounds a case in real time.
const limit = 110 * time.Second

// play is the environment of one case.
type play struct {
	trouble  bool
	folder   string // temporary folder of this run
	record   *os.File
	mu       sync.Mutex
	started  time.Time
	commands []*exec.Cmd
	broken   []string
	cleanup  []func()
}

// errCannotRun marks a case that could not run.
var errCannotRun = errors.New("the case could not run")

var cases = map[string]func(*play) error{
	"foreign-request":  foreignRequest,
	"class-numbers":    classNumbers,
	"batch-memory":     batchMemory,
	"endless-interim":  endlessInterim,
	"second-copies":    secondCopies,
	"batch-depends":    batchDepends,
	"batch-boundary":   batchBoundary,
	"session-position": sessionPosition,
	"replayed-refusal": replayedRefusal,
	"pushed-back":      pushedBackRepeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a case and returns the exit status.
func run(name, caseFolder string) (status int) {
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temporary)
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, record: record, started: time.Now()}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[name](p) }()
	select {
	case err = <-done:
	case <-time.After(limit):
		err = fmt.Errorf("%w: no end after %v", errCannotRun, limit)
	case s := <-interrupted:
		err = fmt.Errorf("%w: %v", errCannotRun, s)
	}
	p.end()
	p.note("trouble=%t broken=%d", p.trouble, len(p.broken))
	for _, b := range p.broken {
		p.note("BROKEN %s", b)
	}
	switch {
	case err != nil:
		p.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case len(p.broken) > 0:
		fmt.Printf("broken: %d times, first: %s\n", len(p.broken), p.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// note writes a line to the record.
func (p *play) note(format string, arguments ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// violated records that the rule was broken.
func (p *play) violated(format string, arguments ...any) {
	p.mu.Lock()
	p.broken = append(p.broken, fmt.Sprintf(format, arguments...))
	p.mu.Unlock()
	p.note("broken: "+format, arguments...)
}

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts a program of the project by a command line of the deploy file.
func (p *play) start(name, command string, environment ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	c := exec.Command("/bin/sh", "-c", command)
	c.Env = append(os.Environ(), append(environment, "TMPDIR="+p.folder)...)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.commands = append(p.commands, c)
	p.mu.Unlock()
	p.note("started %s: %s", name, command)
	return c, nil
}

// end ends the processes that the case started, and the stand-ins.
func (p *play) end() {
	p.mu.Lock()
	commands, cleanup := p.commands, p.cleanup
	p.mu.Unlock()
	for _, c := range commands {
		c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range commands {
		ended := make(chan struct{})
		go func() { c.Wait(); close(ended) }()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			c.Process.Kill()
			<-ended
		}
	}
	for _, f := range cleanup {
		f()
	}
	logs, _ := filepath.Glob(filepath.Join(p.folder, "*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		for line := range strings.Lines(string(text)) {
			p.note("%s: %s", filepath.Base(name), strings.TrimRight(line, "\n"))
		}
	}
}

// onEnd registers a function to be called at the end of the case.
func (p *play) onEnd(f func()) {
	p.mu.Lock()
	p.cleanup = append(p.cleanup, f)
	p.mu.Unlock()
}

// write writes a file into the temporary folder and returns its path.
func (p *play) write(name, text string) (string, error) {
	path := filepath.Join(p.folder, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// class is a class of requests in the settings.
type class map[string]any

// siteOf returns the platform's file of a driver.
func siteOf(name, listen, discovery string, targets []target, classes []class, needs []string, bounds []int, behind string) string {
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings": map[string]any{
			"areas": []string{"a"}, "tick_us": 5000, "registry_mode": "automatic",
			"caps": map[string]any{"connect_timeout_us": 250000, "idle_close_us": 15000000, "max_retry_after_us": 1000000, "may_cancel": true, "may_probe": true, "most_tries": 8},
			"rules": map[string]any{
				"answer_slack_us": 50000, "drain_grace_us": 250000, "cold_us": 18000000, "start_capacity": 0.27, "fall_multiple": 3, "tip_after_us": 3000000,
			},
			"classes": classes,
			"family_info": map[string]any{
				"answers_stamped": true, "behind": behind, "class_read": needs, "lag_allowed_us": bounds, "write_marks": "client",
			},
			"report": map[string]any{"columns": []string{"x0", "x1"}, "how": "inline"},
		},
	}, "", " ")
	if err != nil {
		panic(err)
	}
	return string(text)
}

// await calls ready until it returns true.
func await(what string, patience time.Duration, ready func() bool) error {
	for end := time.Now().Add(patience); !ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s did not happen within %v", errCannotRun, what, patience)
		}
	}
	return nil
}

// startDriver starts a driver with an operator's file, and waits until its OData front answers.
func (p *play) startDriver(name, site, operator, front string) (*exec.Cmd, error) {
	sitePath, err := p.write(name+".json", site)
	if err != nil {
		return nil, err
	}
	operatorPath, err := p.write(name+".hcl", operator)
	if err != nil {
		return nil, err
	}
	c, err := p.start(name, "exec bin/passtack serve --operator "+operatorPath, "BALANCER_CONFIG="+sitePath)
	if err != nil {
		return nil, err
	}
	return c, await(name+" being ready", 10*time.Second, func() bool {
		_, err := exchangeOnce(front, "GET", "/odata/", nil, "", time.Second)
		return err == nil
	})
}

// command runs a command of the project to its end.
func (p *play) command(arguments ...string) (string, error) {
	out, err := exec.Command("bin/passtack", arguments...).CombinedOutput()
	p.note("bin/passtack %s: %v\n%s", strings.Join(arguments, " "), err, out)
	return string(out), err
}

// closeAll closes closers at the end of the case.
func (p *play) closeAll(closers ...io.Closer) {
	p.onEnd(func() {
		for _, c := range closers {
			c.Close()
		}
	})
}

// makeFolder creates a folder.
func makeFolder(path string) error { return os.Mkdir(path, 0o700) }

// publishedClasses returns a configuration with these classes.
func publishedClasses(classes []class, needs []string, bounds []int) string {
	text, err := json.Marshal(map[string]any{"settings": map[string]any{
		"classes": classes, "family_info": map[string]any{"class_read": needs, "lag_allowed_us": bounds},
	}})
	if err != nil {
		panic(err)
	}
	return string(text)
}

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Idle clients hold all descriptors that they may, and the system gives the process no more than its limit: a reload
// still reads its files, and the driver moves to another discovery and asks there.
func TestReloadReadsFilesWhileClientsUseAllDescriptors(t *testing.T) {
	const sockets = 48
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	at, file := freeAddress(t), filepath.Join(t.TempDir(), "site.json")
	write := func(discovery string) {
		text := strings.Replace(fmt.Sprintf(readySite, 1, at, discovery, 1, oldList), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(freeAddress(t)) // nobody is there
	c := exec.Command("bash", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" serve --site "$1"`, sockets), os.Args[0], file)
	c.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		c.Process.Kill()
		c.Wait()
	}()
	events := make(chan string, 1000)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			events <- lines.Text()
		}
		close(events)
	}()
	await := func(event string) {
		t.Helper()
		for late := time.After(15 * time.Second); ; {
			select {
			case line, open := <-events:
				if strings.Contains(line, "event="+event) {
					return
				} else if !open {
					t.Fatal("it has ended")
				}
			case <-late:
				t.Fatalf("no %s", event)
			}
		}
	}
	await("started")
	for range 2 * sockets { // more than it may hold: the rest wait in the system's queue
		client, err := net.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
	}
	write(agent.Addr().String())
	c.Process.Signal(syscall.SIGHUP)
	await("reloaded")
	agent.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second))
	call, err := agent.Accept()
	if err != nil {
		t.Fatal("the new discovery was not asked:", err)
	}
	call.Close()
}

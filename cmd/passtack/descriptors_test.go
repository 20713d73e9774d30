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

	"passtack/internal/testaddress"
)

// Guards against a reload that fails for lack of descriptors. Idle clients use all that they may, and the system's limit allows no more: the
// reload still has to read its files, and the driver has to query the new discovery address.
func TestReloadReadsFilesWhileClientsUseAllDescriptors(t *testing.T) {
	const sockets = 48
	agent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	address, file := testaddress.Reserve(t), filepath.Join(t.TempDir(), "site.json")
	write := func(discovery string) {
		text := strings.Replace(fmt.Sprintf(readySiteTemplate, 1, address, discovery, 1, outdatedList), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(testaddress.Reserve(t)) // nothing listens there
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
		for timeout := time.After(15 * time.Second); ; {
			select {
			case line, open := <-events:
				if strings.Contains(line, "event="+event) {
					return
				} else if !open {
					t.Fatal("the driver has ended")
				}
			case <-timeout:
				t.Fatalf("the driver did not log event=%s within 15 s", event)
			}
		}
	}
	await("started")
	for range 2 * sockets { // more than the driver may accept: the rest wait in the system's queue
		client, err := net.Dial("tcp", address)
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
		t.Fatal("the new discovery address was not queried:", err)
	}
	call.Close()
}

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// world holds what a case has started: processes, a temporary folder and the record.
type world struct {
	record    *record
	root      string // of the repository
	folder    string // temporary
	processes []*exec.Cmd
}

// start starts a command of the project in a shell from the root, as the platform does. Its log goes to a file of the temporary folder.
func (w *world) start(name, command string, environment ...string) (*exec.Cmd, error) {
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = w.root, log, log
	cmd.Env = append(os.Environ(), environment...)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, cmd)
	w.record.add("start  %s: %s (pid %d)", name, strings.ReplaceAll(command, w.folder, "$TMP"), cmd.Process.Pid)
	return cmd, nil
}

// run runs a command of the project to its end and returns its output.
func (w *world) run(arguments ...string) (string, error) {
	cmd := exec.Command(filepath.Join(w.root, "bin/passtack"), arguments...)
	cmd.Dir = w.root
	out, err := cmd.CombinedOutput()
	w.record.add("run  passtack %s -> %s", strings.ReplaceAll(strings.Join(arguments, " "), w.folder, "$TMP"),
		strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
	return string(out), err
}

// write writes a file of the temporary folder and returns its path.
func (w *world) write(name, text string) (string, error) {
	path := filepath.Join(w.folder, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// mkdir creates a folder in the temporary folder and returns its path.
func (w *world) mkdir(name string) (string, error) {
	path := filepath.Join(w.folder, name)
	return path, os.Mkdir(path, 0o700)
}

// end ends all processes that were started, and removes the temporary folder. The drivers' logs are added to the record.
func (w *world) end() {
	for _, cmd := range w.processes {
		cmd.Process.Signal(syscall.SIGKILL)
		cmd.Wait()
	}
	logs, _ := filepath.Glob(filepath.Join(w.folder, "driver*.log"))
	for _, name := range logs {
		text, _ := os.ReadFile(name)
		for line := range strings.Lines(string(text)) {
			fmt.Fprintf(w.record.file, "log of %s  %s\n", filepath.Base(name), strings.TrimSpace(line))
		}
	}
	os.RemoveAll(w.folder)
}

// freeAddresses returns loopback addresses whose ports are free, all different.
func freeAddresses(count int) (addresses []string, err error) {
	for len(addresses) < count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// awaitReady waits until a driver answers the empty query, as the platform does.
func awaitReady(address string) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if probe(address) == nil {
			return nil
		}
	}
	return fmt.Errorf("no driver is ready at %s after 15 s", address)
}

func probe(address string) error {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(time.Second))
	startup := []byte("\x00\x00\x00\x00\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00")
	startup[3] = byte(len(startup))
	connection.Write(append(startup, message('Q', []byte{0})...))
	var received []byte
	buffer := make([]byte, 4096)
	for {
		n, err := connection.Read(buffer)
		if received = append(received, buffer[:n]...); bytes.Contains(received, message('I', nil)) {
			return nil
		}
		if err != nil {
			return errors.Join(errors.New("no answer to the empty query"), err)
		}
	}
}

// setting returns an environment variable, or the usual value if it is not set.
func setting(name, usual string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return usual
}

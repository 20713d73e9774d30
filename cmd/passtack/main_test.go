package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"passtack/internal/pgwire"
	"passtack/internal/testaddress"
)

// testSite is the site file of a driver, for tests that need a valid one.
const testSite = `{"name":"n0","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"tick_us":5000,"classes":[{"name":"status-read","effect":"safe","target_us":1000000,"hard_limit_us":2000000},
{"name":"own-read","effect":"safe","target_us":1000000,"hard_limit_us":2000000},
{"name":"apply-write","effect":"keyed","window_us":1200000,"target_us":1000000,"hard_limit_us":2000000}],
"family_info":{"class_read":["recent","own_writes","update"],"lag_allowed_us":[800000,0,0]}}}`

// TestMain runs the program instead of the tests if a test has started this binary as passtack.
func TestMain(m *testing.M) {
	if os.Getenv("PASSTACK_ITSELF") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// passtack runs the program with arguments. It returns the output and whether the exit code was 0.
func passtack(t *testing.T, args ...string) (out string, ok bool) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
	text, err := c.CombinedOutput()
	return string(text), err == nil
}

// All mistakes of an operator file are reported at once, each on a line of its own.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	siteFile := filepath.Join(dir, "site.json")
	os.WriteFile(siteFile, []byte(testSite), 0o600)
	sample, err := os.ReadFile("../../deploy/passtack.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if out, ok := passtack(t, "check", "--site", siteFile, "--operator", "../../deploy/passtack.hcl"); !ok || !strings.Contains(out, "front=offices protocol=odata") {
		t.Errorf("check of deploy/passtack.hcl: %s", out)
	}
	badFile := filepath.Join(dir, "bad.hcl")
	os.WriteFile(badFile, []byte(strings.NewReplacer("status-read", "lookup", "8080", "6543", "weight = 2", "wait = 2").Replace(string(sample))), 0o600)
	for _, command := range []string{"check", "serve"} {
		out, ok := passtack(t, command, "--site", siteFile, "--operator", badFile)
		if lines := strings.Count(out, "\n"); ok || lines != 4 || strings.Count(out, "passtack: "+badFile+":") != 4 {
			t.Errorf("%s of a file with four mistakes prints %d lines: %s", command, lines, out)
		}
	}
}

const shortScript = `lasts = "3s"
fleet {
  drivers = 2
  members = 3
  notice = "300ms"
  takeover = "300ms"
  list_delay = "200ms"
}
load {
  rate = 100
  retries = 3
  method "look" {
    need = "bounded"
    bound = "800ms"
    work = "5ms..9ms"
    soft = "1s"
    limit = "2s"
    share = 2
  }
  method "order" {
    need = "write"
    effect = "tokened"
    window = "1200ms"
    work = "2ms..4ms"
    soft = "600ms"
    limit = "1s"
    share = 1
  }
}
trouble "kill" {
  at = "1s"
  on = [0]
}
trouble "driver_pause" {
  at = "1500ms"
  lasts = "300ms"
  on = [1]
}
expect { ok = 0.8 }
`

// The same script has to pass in simulated time and with drivers as processes, and a missed expectation has to fail the command.
func TestRehearse(t *testing.T) {
	scriptFile := filepath.Join(t.TempDir(), "short.hcl")
	os.WriteFile(scriptFile, []byte(shortScript), 0o600)
	for _, args := range [][]string{{"rehearse", scriptFile}, {"rehearse", "--sockets", scriptFile}} {
		out, ok := passtack(t, args...)
		if !ok || !strings.Contains(out, "tries_ok=") || strings.Contains(out, "broken") {
			t.Errorf("%v: %s", args, out)
		}
		t.Logf("%v: %s", args[:len(args)-1], out)
	}
	os.WriteFile(scriptFile, []byte(strings.Replace(shortScript, "ok = 0.8", "ok = 1.1", 1)), 0o600)
	if out, ok := passtack(t, "rehearse", scriptFile); ok || !strings.Contains(out, "1 of 1 rehearsals") {
		t.Errorf("rehearsal with a missed expectation: %s", out)
	}
}

// A driver that is started with the site file that emulate writes has to serve an RPC from the emulated members.
func TestEmulate(t *testing.T) {
	dir := t.TempDir()
	script, siteFile := filepath.Join(dir, "short.hcl"), filepath.Join(dir, "site.json")
	os.WriteFile(script, []byte(shortScript), 0o600)
	address := testaddress.Reserve(t)
	var children []*exec.Cmd
	start := func(args ...string) {
		c := exec.Command(os.Args[0], args...)
		c.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		children = append(children, c)
	}
	defer func() {
		for _, c := range children {
			c.Process.Kill()
			c.Wait()
		}
	}()
	start("emulate", script, "--site", siteFile, "--listen", address)
	for range 200 {
		if text, err := os.ReadFile(siteFile); err == nil && len(text) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	start("serve", "--site", siteFile)
	for range 100 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(3 * time.Second))
		text := "/* id=a,c=look,d=2000,cluster=0 */ SELECT doc FROM items WHERE id = 's'"
		c.Write(append(pgwire.AppendStartup(nil, "app", "shop"), append(append(pgwire.AppendHead(nil, 'Q', len(text)+1), text...), 0)...))
		answer := make([]byte, 4096)
		got := ""
		for !strings.Contains(got, "value of a") {
			n, err := c.Read(answer)
			if err != nil {
				t.Fatalf("the driver answered %q, then %v", got, err)
			}
			got += string(answer[:n])
		}
		c.Close()
		return
	}
	t.Fatal("the driver did not listen within 2 s")
}

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const site = `{"name":"n0","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"settings":{"tick_us":5000,"classes":[{"name":"status-read","effect":"safe","target_us":1000000,"hard_limit_us":2000000},
{"name":"own-read","effect":"safe","target_us":1000000,"hard_limit_us":2000000},
{"name":"apply-write","effect":"keyed","window_us":1200000,"target_us":1000000,"hard_limit_us":2000000}],
"family_info":{"class_read":["recent","own_writes","update"],"lag_allowed_us":[800000,0,0]}}}`

// TestMain is the program itself where a test has started it so.
func TestMain(m *testing.M) {
	if os.Getenv("PASSTACK_ITSELF") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func passtack(t *testing.T, args ...string) (out string, ok bool) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "PASSTACK_ITSELF=1")
	text, err := c.CombinedOutput()
	return string(text), err == nil
}

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	at := filepath.Join(dir, "site.json")
	os.WriteFile(at, []byte(site), 0o600)
	good, err := os.ReadFile("../../deploy/passtack.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if out, ok := passtack(t, "check", "--site", at, "--operator", "../../deploy/passtack.hcl"); !ok || !strings.Contains(out, "front=offices protocol=odata") {
		t.Errorf("the sample: %s", out)
	}
	bad := filepath.Join(dir, "bad.hcl")
	os.WriteFile(bad, []byte(strings.NewReplacer("status-read", "lookup", "8080", "6543", "weight = 2", "wait = 2").Replace(string(good))), 0o600)
	for _, command := range []string{"check", "serve"} {
		out, ok := passtack(t, command, "--site", at, "--operator", bad)
		if lines := strings.Count(out, "\n"); ok || lines != 4 || strings.Count(out, "passtack: "+bad+":") != 4 {
			t.Errorf("%s with four mistakes says in %d lines: %s", command, lines, out)
		}
	}
}

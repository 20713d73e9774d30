package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// CI may skip the tests that KNOWN-RED.txt names one by one. A line that is malformed or names no existing test has to fail the check.
func TestKnownRedFileIsChecked(t *testing.T) {
	const good = "internal/discovery TestCompleteListsAndChanges | it cannot be mended now | issue 1\n"
	for _, c := range []struct {
		text, pattern, wrong string
	}{
		{"", "", ""},
		{good, "^(TestCompleteListsAndChanges)$\n", ""},
		{strings.TrimSpace(good) + "\ninternal/node TestReload | two | issue 22", "^(TestCompleteListsAndChanges|TestReload)$\n", ""},
		{"internal/discovery TestNobodyWrote | cause | issue 1\n", "", "names no test"},
		{"internal/nowhere TestReload | cause | issue 1\n", "", "names no test"},
		{"TestReload | cause | issue 1\n", "", "is malformed"},
		{"internal/node TestReload |  | issue 1\n", "", "is malformed"},
		{"internal/node TestReload | cause\n", "", "is malformed"},
		{"internal/node TestReload | cause | issue soon\n", "", "is malformed"},
		{"\n", "", "is malformed"},
		{strings.Repeat(good, 4), "", "three at most"},
	} {
		file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command("bash", ".ci/known-red", file)
		command.Dir = "../.."
		var message strings.Builder
		command.Stderr = &message
		out, err := command.Output()
		if string(out) != c.pattern || (err != nil) != (c.wrong != "") || !strings.Contains(message.String(), c.wrong) {
			t.Errorf("%q: output %q, error %v, message %q", c.text, out, err, message.String())
		}
	}
}

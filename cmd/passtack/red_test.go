package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What CI may pass over is named one by one, and a line that names nothing fails it.
func TestTestsKnownToFailAreNamed(t *testing.T) {
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
		var told strings.Builder
		command.Stderr = &told
		out, err := command.Output()
		if string(out) != c.pattern || (err != nil) != (c.wrong != "") || !strings.Contains(told.String(), c.wrong) {
			t.Errorf("%q gives %q, %v, and says %q", c.text, out, err, told.String())
		}
	}
}

// Package testprogram builds passtack for tests that run it as a process.
package testprogram

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// Path returns the path of the program, which it builds with the first call.
var Path = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "passtack")
	if err != nil {
		return "", err
	}
	name := filepath.Join(folder, "passtack")
	if out, err := exec.Command("go", "build", "-o", name, "passtack/cmd/passtack").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return name, nil
})

// Main runs the tests of a package, removes the program and ends the process.
func Main(m *testing.M) {
	code := m.Run()
	if name, err := Path(); err == nil {
		os.RemoveAll(filepath.Dir(name))
	}
	os.Exit(code)
}

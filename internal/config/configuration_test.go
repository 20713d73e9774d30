package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The sample files of control machines and drivers are read, and each error in them is reported with its position and value.
func TestConfigurationErrorsAreReported(t *testing.T) {
	for file, mistakes := range map[string][]struct{ old, new, want string }{
		"control.hcl": {
			{`"127.0.0.1:7400"`, `"here"`, `:4:12: listen must be an IP address with a port, got "here"`},
			{`"/var/lib/passtack/c0"`, `"c0"`, `:5:12: folder must be an absolute path, got "c0"`},
			{`  folder = "/var/lib/passtack/c0"` + "\n", ``, `folder must be an absolute path, got ""`},
			{`"bureau"`, `"my fleet"`, `fleet must be 1 to 64 letters, digits, dots, dashes or underscores, got "my fleet"`},
			{`control_machine "c0"`, `control_machine "c 0"`, `machine name must be 1 to 64 letters, digits, dots, dashes or underscores, got "c 0"`},
			{`peer "c1"`, `peer "c0"`, `peer names must be distinct and 1 to 64 letters, digits, dots, dashes or underscores, got "c0"`},
			{`peer "c1" {` + "\n    at = \"127.0.0.2:7400\"\n  }\n", ``, `control_machine must have two or four peer blocks, got 1`},
			{`    at = "127.0.0.3:7400"`, `    at = 7`, `at must be a string, got 7`},
			{`fleet  =`, `flete  =`, `unsupported argument`},
		},
		"configuration.hcl": {
			{`"127.0.0.3:7400"]`, `"127.0.0.2:7400"]`, `machines must be distinct IP addresses with a port, got "127.0.0.2:7400"`},
			{`"127.0.0.3:7400"]`, `7]`, `machines must be distinct IP addresses with a port, got 7`},
			{`, "127.0.0.3:7400"]`, `]`, `machines must list three or five addresses, got 2`},
			{`["127.0.0.1:7400", "127.0.0.2:7400", "127.0.0.3:7400"]`, `"all"`, `machines must list three or five addresses, got 0`},
			{`"/var/lib/passtack/n0-configuration"`, `"n0"`, `folder must be an absolute path, got "n0"`},
			{"configuration {", "configuration {\n}\nconfiguration {", `duplicate block configuration`},
		},
	} {
		text, err := os.ReadFile("../../deploy/" + file)
		if err != nil {
			t.Fatal(err)
		}
		good := string(text)
		f, err := Parse(text, file, platformAddress, methods)
		if err != nil || f.ControlMachine == nil && f.Configuration == nil {
			t.Fatalf("%s: %v", file, err)
		}
		for _, m := range mistakes {
			text := strings.Replace(good, m.old, m.new, 1)
			if text == good {
				t.Fatalf("%q is not in %s", m.old, file)
			}
			if _, err := Parse([]byte(text), file, platformAddress, methods); err == nil || !strings.Contains(err.Error(), m.want) || !strings.HasPrefix(err.Error(), file+":") {
				t.Errorf("%s: %v, want %s", m.new, err, m.want)
			}
		}
	}
}

// The file of a control machine is read. A file without the control_machine block gives ErrNoControlMachine.
func TestControlMachineFile(t *testing.T) {
	p, err := ReadMachine("../../deploy/control.hcl")
	if err != nil || p.Name != "c0" || p.Fleet != "bureau" || len(p.Peers) != 2 || p.Peers[1].Name != "c2" || p.Peers[1].Address.Port() != 7400 || p.DataDir == "" {
		t.Errorf("%+v, %v", p, err)
	}
	other := filepath.Join(t.TempDir(), "driver.hcl")
	if err := os.WriteFile(other, []byte("log {\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadMachine(other); !errors.Is(err, ErrNoControlMachine) || !strings.Contains(err.Error(), "it has no block control_machine") {
		t.Errorf("%v", err)
	}
	if _, err := ReadMachine(other + "x"); err == nil {
		t.Error("a missing file is read")
	}
}

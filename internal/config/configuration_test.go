package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The samples for configuration are read, and each error in them is reported with its place and value.
func TestEachErrorInConfigurationIsReported(t *testing.T) {
	for file, mistakes := range map[string][]struct{ old, new, want string }{
		"control.hcl": {
			{`"127.0.0.1:7400"`, `"here"`, `:4:12: listen is no address with a port ("here")`},
			{`"/var/lib/passtack/c0"`, `"c0"`, `:5:12: folder is no path from the root ("c0")`},
			{`  folder = "/var/lib/passtack/c0"` + "\n", ``, `folder is no path from the root ("")`},
			{`"bureau"`, `"my fleet"`, `fleet is no name of letters, digits, dots and dashes ("my fleet")`},
			{`control_machine "c0"`, `control_machine "c 0"`, `a machine's name of other than letters, digits, dots and dashes ("c 0")`},
			{`peer "c1"`, `peer "c0"`, `a peer's name that is given twice or cannot be ("c0")`},
			{`peer "c1" {` + "\n    at = \"127.0.0.2:7400\"\n  }\n", ``, `1 blocks peer; two or four are wanted`},
			{`    at = "127.0.0.3:7400"`, `    at = 7`, `at is no text (7)`},
			{`fleet  =`, `flete  =`, `unsupported argument`},
		},
		"configuration.hcl": {
			{`"127.0.0.3:7400"]`, `"127.0.0.2:7400"]`, `a machine that is no address with a port, or is named twice ("127.0.0.2:7400")`},
			{`"127.0.0.3:7400"]`, `7]`, `a machine that is no address with a port, or is named twice (7)`},
			{`, "127.0.0.3:7400"]`, `]`, `machines names 2; three or five are wanted`},
			{`["127.0.0.1:7400", "127.0.0.2:7400", "127.0.0.3:7400"]`, `"all"`, `machines names 0; three or five are wanted`},
			{`"/var/lib/passtack/n0-configuration"`, `"n0"`, `folder is no path from the root ("n0")`},
			{"configuration {", "configuration {\n}\nconfiguration {", `a second block configuration`},
		},
	} {
		text, err := os.ReadFile("../../deploy/" + file)
		if err != nil {
			t.Fatal(err)
		}
		good := string(text)
		f, err := Parse(text, file, platform, methods)
		if err != nil || f.ControlMachine == nil && f.Configuration == nil {
			t.Fatalf("%s: %v", file, err)
		}
		for _, m := range mistakes {
			text := strings.Replace(good, m.old, m.new, 1)
			if text == good {
				t.Fatalf("%q is not in %s", m.old, file)
			}
			if _, err := Parse([]byte(text), file, platform, methods); err == nil || !strings.Contains(err.Error(), m.want) || !strings.HasPrefix(err.Error(), file+":") {
				t.Errorf("%s: %v, want %s", m.new, err, m.want)
			}
		}
	}
}

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
		t.Error("a file that is not there")
	}
}

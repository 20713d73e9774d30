package play

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A script with a base must have everything of the base except what it sets itself, and errors must name the file and
// line at fault.
func TestScriptsInheritFromBase(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const base = `lasts = "5s"
fleet {
  drivers = 2
  members = 3
}
load {
  rate = 50
  method "look" {
    need  = "any"
    work  = "2ms..4ms"
    soft  = "1s"
    limit = "2s"
    share = 1
  }
  surge {
    from  = "1s"
    to    = "2s"
    times = 2
  }
}
trouble "kill" {
  at = "1s"
  on = [0]
}
expect { ok = 0.9 }
`
	write("base.hcl", base)
	write("bad.hcl", strings.Replace(base, "drivers = 2", "drivers = -3", 1))
	s, err := ReadScript(write("over.hcl", `like = "base.hcl"
fleet { drivers = 4 }
load {
  method "look" { soft = "500ms" }
  method "see" {
    need  = "any"
    work  = "1ms"
    soft  = "1s"
    limit = "2s"
    share = 2
  }
}
trouble "pause" {
  at = "2s"
  on = [1]
}
`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Drivers != 4 || s.Members != 3 || s.Duration != 5*time.Second || len(s.Methods) != 2 || s.Methods[0].SoftDeadline != 500*time.Millisecond || s.Methods[0].Limit != 2*time.Second ||
		len(s.LoadChanges) != 1 || len(s.Faults) != 1 || s.Faults[0].Kind != "pause" || s.MinOK != 0.9 {
		t.Errorf("%+v", s)
	}
	if again, err := ReadScript(write("third.hcl", "like = \"over.hcl\"\nlasts = \"9s\"\n")); err != nil || again.Duration != 9*time.Second || again.Drivers != 4 || again.Faults[0].Kind != "pause" {
		t.Errorf("a base with a base: %+v, %v", again, err)
	}
	for text, want := range map[string]string{
		"like = \"nobody.hcl\"\n": "nobody.hcl: no such file",
		"like = 7\n":              "the value is not a file name",
		"like = \"self.hcl\"\n":   "5 levels of base scripts are too many",
		"like = \"base.hcl\"\nfleet { drivers = 900 }\n": "self.hcl:2: fleet drivers: 900 is not from 1 to 500",
		"like = \"base.hcl\"\nfleet { divers = 9 }\n":    "self.hcl:2:9: Unsupported argument",
		"like = \"bad.hcl\"\n":                           "bad.hcl:3: fleet drivers: -3 is not from 1 to 500",
	} {
		if _, err := ReadScript(write("self.hcl", text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

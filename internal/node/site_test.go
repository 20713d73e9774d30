package node

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An error in the platform's file is reported in one line that names the key or the file.
func TestSiteFileErrorsNameTheKey(t *testing.T) {
	good := `{"name":"n0","listen":"127.0.0.1:6543","discovery":"127.0.0.1:8500","seed":"8c","limits":{"memory_mb":1,"sockets":40},"settings":` + testSettings + `}`
	for change, want := range map[string]string{
		`"listen":"127.0.0.1:6543">"listen":"here"`: "listen", `"seed":"8c">"seed":"me"`: "seed", `"sockets":40>"sockets":0`: "sockets",
		`"discovery":>"other":`: "discovery", `"classes">"others"`: "methods", `{"name">"name"`: "site.json", `"tick_us">"tock"`: "tick",
	} {
		old, new, _ := strings.Cut(change, ">")
		file := filepath.Join(t.TempDir(), "site.json")
		os.WriteFile(file, []byte(strings.Replace(good, old, new, 1)), 0o600)
		_, err := ReadSite(file, func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: the error is %v, want one line that names the fault", change, err)
		}
	}
	if !json.Valid([]byte(good)) {
		t.Error("the unchanged text is not valid JSON")
	}
}

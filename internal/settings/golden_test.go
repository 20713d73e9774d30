package settings

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite golden files")

// Fails if a translated name, a description or the set of valid values of a setting changes.
func TestGoldenNames(t *testing.T) {
	var lines strings.Builder
	for _, word := range slices.Sorted(maps.Keys(projectNames)) {
		fmt.Fprintf(&lines, "%s=%s=%s\n", word, ProjectName(word), platformName(projectNames[word]))
	}
	for _, path := range slices.Sorted(maps.Keys(schema)) {
		fmt.Fprintf(&lines, "%s %s:", path, schema[path].description)
		for _, value := range []string{"", "0", "1", "0.5", "2.5", "-1", "1e9", "Inf", "x", "a,b", "a,a", "a b", "true", "idempotent", "group", "none", "carried", "pushed"} {
			if schema[path].valid(value) {
				fmt.Fprintf(&lines, " %q", value)
			}
		}
		lines.WriteString("\n")
	}
	path := filepath.Join("testdata", "names.txt")
	if *update {
		if err := os.WriteFile(path, []byte(lines.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if lines.String() != string(want) {
		t.Errorf("names and values are\n%s\nwant\n%s", lines.String(), want)
	}
}

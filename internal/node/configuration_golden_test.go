package node

import (
	"os"
	"path/filepath"
	"testing"

	"passtack/internal/persist"
)

// storedConfiguration returns the records in a folder of published configuration.
func storedConfiguration(t *testing.T, folder string) map[string]string {
	t.Helper()
	store, _, err := persist.Open(folder, "d0", maxConfigurationBytes)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	records := make(map[string]string)
	store.ForEach(func(name string, value []byte) { records[name] = string(value) })
	return records
}

// TestGoldenConfigurationFolder checks that the stored records of a published version equal those of the golden folder, and that a driver
// restores the version from there.
func TestGoldenConfigurationFolder(t *testing.T) {
	golden, written := filepath.Join("testdata", "configuration"), t.TempDir()
	p, c, _ := startConfiguredDriver(t, written, "")
	c.publish(replacedMethods)
	p.drivers[0].host.Kill()
	p.drivers[0].node.CloseStores()
	if *update {
		if err := os.CopyFS(golden, os.DirFS(written)); err != nil {
			t.Fatal(err)
		}
	}
	copied := t.TempDir()
	if err := os.CopyFS(copied, os.DirFS(golden)); err != nil {
		t.Fatal(err)
	}
	got, want := storedConfiguration(t, written), storedConfiguration(t, copied)
	if value := string([]byte{1, 0, 0, 0, 0, 0, 0, 0}) + replacedMethods; len(got) != 1 || len(want) != 1 || want[configurationRecord] != value || got[configurationRecord] != value {
		t.Errorf("written %q, want %q as in the golden folder", got, want)
	}
	p, _, _ = startConfiguredDriver(t, copied, "")
	n := p.drivers[0].node
	if n.Configuration().Version != 1 || n.Settings()["caps.attempts"] != "3" || n.Settings()["methods.0.name"] != "buy" || n.loop.MaxDescriptors() != 300-3 {
		t.Errorf("restored %+v, %v", n.Configuration(), n.Settings())
	}
	n.CloseStores()
}

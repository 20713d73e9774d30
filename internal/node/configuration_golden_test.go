package node

import (
	"os"
	"path/filepath"
	"testing"

	"passtack/internal/persist"
)

// storedConfiguration gives the records of a folder of published configuration.
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

func TestGoldenConfigurationFolder(t *testing.T) {
	source, written := filepath.Join("testdata", "configuration"), t.TempDir()
	p, c, _ := startConfiguredDriver(t, written, "")
	c.publish(replacedMethods)
	p.drivers[0].host.Kill()
	p.drivers[0].node.CloseStores()
	if *update {
		if err := os.CopyFS(source, os.DirFS(written)); err != nil {
			t.Fatal(err)
		}
	}
	found := t.TempDir()
	if err := os.CopyFS(found, os.DirFS(source)); err != nil {
		t.Fatal(err)
	}
	got, want := storedConfiguration(t, written), storedConfiguration(t, found)
	if value := string([]byte{1, 0, 0, 0, 0, 0, 0, 0}) + replacedMethods; len(got) != 1 || len(want) != 1 || want[configurationRecord] != value || got[configurationRecord] != value {
		t.Errorf("written %q, the golden folder has %q", got, want)
	}
	p, _, _ = startConfiguredDriver(t, found, "")
	n := p.drivers[0].node
	if n.Configuration().Version != 1 || n.Settings()["caps.attempts"] != "3" || n.Settings()["methods.0.name"] != "buy" || n.loop.MaxDescriptors() != 300-3 {
		t.Errorf("restored %+v, %v", n.Configuration(), n.Settings())
	}
	n.CloseStores()
}

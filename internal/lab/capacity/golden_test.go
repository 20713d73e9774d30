package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// A change of the row format would make stored results unreadable: the Parquet rows under docs/results/capacity, written by earlier
// versions, give the values in the CSV file beside them.
func TestStoredResultsAreRead(t *testing.T) {
	const folder = "../../../docs/results/capacity"
	stored, err := Read(folder)
	if err != nil || len(stored.Points) == 0 {
		t.Fatalf("%d points, %v", len(stored.Points), err)
	}
	var written bytes.Buffer
	if err := stored.writeCSV(&written); err != nil {
		t.Fatal(err)
	}
	golden, err := os.ReadFile(filepath.Join(folder, "rows.csv"))
	if err != nil || !bytes.Equal(written.Bytes(), golden) {
		t.Errorf("%d bytes written of %d points, %v, want the %d bytes of rows.csv", written.Len(), len(stored.Points), err, len(golden))
	}
}

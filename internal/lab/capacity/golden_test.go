package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// The results under docs/results/capacity were written by earlier versions: their Parquet rows are read to the same values as stand
// in their CSV file.
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

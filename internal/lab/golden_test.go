package lab

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/parquet-go/parquet-go"
)

var update = flag.Bool("update", false, "rewrite golden files")

// A change of the row format would make stored results unreadable: rows stored by earlier versions give the same values, and the CSV
// file has the same bytes.
func TestGoldenRows(t *testing.T) {
	want := []Row{
		{Script: "hung-or-dead", Arm: "as-it-is", Seed: 1<<63 + 1, RPCs: 1000, OK: 0.5, Utility: 0.25, PushedBack: 1, Aborted: 2, NoAnswer: 3, Broken: 4, P50: 1.5, P99: 20.25,
			Digest: "0123456789abcdef", Drivers: 5, RecoverySeconds: 6.5, LostSeconds: 7.5, Connects: 8.5, ConnectsUsual: 9.5, MemberConnects: 10.5, MemberConnectsUsual: 11.5, Lists: 12.5, ListsUsual: 13.5,
			QueueFull: 14.5, ColdBudgetUsed: 15.5, StaleWrites: 16.5, UtilityFirst10s: 17.5},
		{Script: "hung-or-dead", Arm: "heavy", Seed: 2, RecoverySeconds: -1},
	}
	parquetFile := filepath.Join("testdata", "rows.parquet")
	if *update {
		if err := parquet.WriteFile(parquetFile, want); err != nil {
			t.Fatal(err)
		}
	}
	got, err := ReadParquet(parquetFile)
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	var written bytes.Buffer
	if err := writeCSV(&written, want); err != nil {
		t.Fatal(err)
	}
	csvFile := filepath.Join("testdata", "rows.csv")
	if *update {
		if err := os.WriteFile(csvFile, written.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if golden, err := os.ReadFile(csvFile); err != nil || !bytes.Equal(written.Bytes(), golden) {
		t.Errorf("written %s, %v, want %s", written.Bytes(), err, golden)
	}
}

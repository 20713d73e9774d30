package lab

import (
	"bytes"
	"context"
	"image/png"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const script = "../../deploy/rehearsals/hung-or-dead.hcl"

// An experiment gives the same rows each time it is played, in the order of arms and seeds, and saves them as files that can be read
// back.
func TestExperiment(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	base, _ := ParseArm("as-it-is")
	heavy, err := ParseArm("heavy:load=2.5,retries=0")
	if err != nil {
		t.Fatal(err)
	}
	playScript := func() []Row {
		rows, err := Play(context.Background(), Options{}, []string{script}, []Arm{base, heavy}, []uint64{1, 2}, func(int, int, Row) {})
		if err != nil {
			t.Fatal(err)
		}
		return rows
	}
	rows := playScript()
	if len(rows) != 4 || rows[0].Arm != "as-it-is" || rows[3].Arm != "heavy" || rows[3].RPCs < 2*rows[1].RPCs || rows[0].P99 <= rows[0].P50 {
		t.Fatalf("%+v", rows)
	}
	if again := playScript(); !slices.Equal(rows, again) {
		t.Errorf("a second run with the same seeds gave other rows: %+v", again)
	}
	folder := t.TempDir()
	if err := Save(folder, rows); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadParquet(filepath.Join(folder, "rows.parquet")); err != nil || !slices.Equal(back, rows) {
		t.Errorf("read back: %v, %+v", err, back)
	}
	if text, _ := os.ReadFile(filepath.Join(folder, "rows.csv")); strings.Count(string(text), "\n") != 5 {
		t.Errorf("%s", text)
	}
	picture, _ := os.ReadFile(filepath.Join(folder, "utility.png"))
	if _, err := png.Decode(bytes.NewReader(picture)); err != nil {
		t.Errorf("utility.png is not a valid PNG: %v", err)
	}
	if files, _ := os.ReadDir(folder); len(files) != 4 {
		t.Errorf("the folder holds %d files, want 4", len(files))
	}
	var table bytes.Buffer
	Print(&table, Summarize(rows))
	if !strings.Contains(table.String(), "heavy") || strings.Count(table.String(), "\n") != 3 {
		t.Errorf("%s", table.String())
	}
}

// An interrupt ends an experiment after the rehearsals under way; each row returned is complete.
func TestInterruptReturnsOnlyCompleteRows(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	seeds, _ := Seeds("1..40")
	base, _ := ParseArm("base")
	rows, err := Play(ctx, Options{}, []string{script}, []Arm{base}, seeds, func(done, _ int, _ Row) {
		if done == 2 {
			cancel()
		}
	})
	if err != nil || len(rows) < 2 || len(rows) >= 40 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	for _, r := range rows {
		if r.RPCs == 0 || r.Digest == "" {
			t.Errorf("incomplete row: %+v", r)
		}
	}
}

// Summaries hold the difference in utility to the first arm on the same seeds, with its standard error.
func TestSummaries(t *testing.T) {
	all := Summarize([]Row{
		{Script: "s", Arm: "a", Seed: 1, Utility: 0.5}, {Script: "s", Arm: "a", Seed: 2, Utility: 0.7},
		{Script: "s", Arm: "b", Seed: 1, Utility: 0.6}, {Script: "s", Arm: "b", Seed: 2, Utility: 0.9, Broken: 3},
	})
	if len(all) != 2 || all[0].DifferenceToFirst != 0 || all[1].Seeds != 2 || all[1].Broken != 3 || all[1].MinUtility != 0.6 ||
		all[1].DifferenceToFirst < 0.1499 || all[1].DifferenceToFirst > 0.1501 || all[1].StandardError < 0.0499 || all[1].StandardError > 0.0501 {
		t.Errorf("%+v", all)
	}
}

// Invalid arms and seeds on the command line are errors, not experiments with other settings.
func TestInvalidArmsAndSeedsAreRejected(t *testing.T) {
	for _, text := range []string{"", ":load=2", "a:load", "a:load=-1", "a:speed=2", "a:drivers=1.5", "a:obeys=maybe", "a:apply=soon"} {
		if _, err := ParseArm(text); err == nil {
			t.Errorf("arm %q: no error", text)
		}
	}
	for _, text := range []string{"", "x", "5..1", "1..99999", "-1"} {
		if _, err := Seeds(text); err == nil {
			t.Errorf("seeds %q: no error", text)
		}
	}
}

// Two experiments are compared over the script and seed pairs that both have, and over no others.
func TestCompare(t *testing.T) {
	a := []Row{{Script: "s", Seed: 1, LostSeconds: 2}, {Script: "s", Seed: 2, LostSeconds: 4}, {Script: "s", Seed: 3, LostSeconds: 3}, {Script: "x", Seed: 1, LostSeconds: 9}}
	b := []Row{{Script: "s", Seed: 2, LostSeconds: 3}, {Script: "s", Seed: 1, LostSeconds: 1.5}, {Script: "s", Seed: 3, LostSeconds: 1.5}, {Script: "y", Seed: 1}}
	for _, d := range Compare(a, b) {
		if d.Script != "s" || d.Pairs != 3 {
			t.Errorf("%+v", d)
		}
		// Differences of -0.5, -1 and -1.5 have a standard error of 0.5/sqrt(3); with two degrees of freedom the margin is 4.303 times that.
		if d.Column == "lost_s" && (d.MeanFirst != 3 || d.MeanDifference != -1 || d.Margin < 1.240 || d.Margin > 1.244) {
			t.Errorf("%+v", d)
		}
	}
}

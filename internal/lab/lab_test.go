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

func TestExperiment(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	base, _ := ParseArm("as-it-is")
	heavy, err := ParseArm("heavy:load=2.5,retries=0")
	if err != nil {
		t.Fatal(err)
	}
	play := func() []Row {
		rows, err := Play(context.Background(), How{}, []string{script}, []Arm{base, heavy}, []uint64{1, 2}, func(int, int, Row) {})
		if err != nil {
			t.Fatal(err)
		}
		return rows
	}
	rows := play()
	if len(rows) != 4 || rows[0].Arm != "as-it-is" || rows[3].Arm != "heavy" || rows[3].RPCs < 2*rows[1].RPCs || rows[0].P99 <= rows[0].P50 {
		t.Fatalf("%+v", rows)
	}
	if again := play(); !slices.Equal(rows, again) {
		t.Errorf("played again: %+v", again)
	}
	folder := t.TempDir()
	if err := Keep(folder, rows); err != nil {
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
		t.Errorf("the chart: %v", err)
	}
	if left, _ := os.ReadDir(folder); len(left) != 4 {
		t.Errorf("the folder holds %d files", len(left))
	}
	var table bytes.Buffer
	Print(&table, Summarize(rows))
	if !strings.Contains(table.String(), "heavy") || strings.Count(table.String(), "\n") != 3 {
		t.Errorf("%s", table.String())
	}
}

func TestAnInterruptLeavesWholeRows(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	stop, end := context.WithCancel(context.Background())
	seeds, _ := Seeds("1..40")
	base, _ := ParseArm("base")
	rows, err := Play(stop, How{}, []string{script}, []Arm{base}, seeds, func(done, _ int, _ Row) {
		if done == 2 {
			end()
		}
	})
	if err != nil || len(rows) < 2 || len(rows) >= 40 {
		t.Fatalf("%d rows, %v", len(rows), err)
	}
	for _, r := range rows {
		if r.RPCs == 0 || r.Digest == "" {
			t.Errorf("half a row: %+v", r)
		}
	}
}

func TestSummaries(t *testing.T) {
	all := Summarize([]Row{
		{Script: "s", Arm: "a", Seed: 1, Utility: 0.5}, {Script: "s", Arm: "a", Seed: 2, Utility: 0.7},
		{Script: "s", Arm: "b", Seed: 1, Utility: 0.6}, {Script: "s", Arm: "b", Seed: 2, Utility: 0.9, Broken: 3},
	})
	if len(all) != 2 || all[0].Against != 0 || all[1].Seeds != 2 || all[1].Broken != 3 || all[1].Least != 0.6 ||
		all[1].Against < 0.1499 || all[1].Against > 0.1501 || all[1].Scatter < 0.0499 || all[1].Scatter > 0.0501 {
		t.Errorf("%+v", all)
	}
}

func TestWhatCannotBeAsked(t *testing.T) {
	for _, text := range []string{"", ":load=2", "a:load", "a:load=-1", "a:speed=2", "a:drivers=1.5", "a:obeys=maybe", "a:apply=soon"} {
		if _, err := ParseArm(text); err == nil {
			t.Errorf("arm %q is taken", text)
		}
	}
	for _, text := range []string{"", "x", "5..1", "1..99999", "-1"} {
		if _, err := Seeds(text); err == nil {
			t.Errorf("seeds %q are taken", text)
		}
	}
}

// Two experiments are compared by the plays that they have in common, and in no others.
func TestCompare(t *testing.T) {
	a := []Row{{Script: "s", Seed: 1, Lost: 2}, {Script: "s", Seed: 2, Lost: 4}, {Script: "s", Seed: 3, Lost: 3}, {Script: "x", Seed: 1, Lost: 9}}
	b := []Row{{Script: "s", Seed: 2, Lost: 3}, {Script: "s", Seed: 1, Lost: 1.5}, {Script: "s", Seed: 3, Lost: 1.5}, {Script: "y", Seed: 1}}
	for _, d := range Compare(a, b) {
		if d.Script != "s" || d.Pairs != 3 {
			t.Errorf("%+v", d)
		}
		// Differences of -0.5, -1 and -1.5: a standard error of 0.5/sqrt(3), and 4.303 of them with two degrees of freedom.
		if d.Column == "lost_s" && (d.A != 3 || d.By != -1 || d.Around < 1.240 || d.Around > 1.244) {
			t.Errorf("%+v", d)
		}
	}
}

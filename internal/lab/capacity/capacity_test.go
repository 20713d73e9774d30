package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A fit to values with a known shape finds that shape, its exponent and the values.
func TestFitFindsShape(t *testing.T) {
	sizes := []float64{30, 100, 235, 470, 940}
	for _, c := range []struct {
		shape    Shape
		of       func(x float64) float64
		exponent float64
	}{
		{Flat, func(float64) float64 { return 180 }, 0}, {Logarithm, func(x float64) float64 { return 3 * math.Log(x) }, math.NaN()},
		{Linear, func(x float64) float64 { return 5 * x }, 1}, {Linear, func(x float64) float64 { return 4000 + 5*x }, math.NaN()},
		{Square, func(x float64) float64 { return 0.5 * x * x }, 2}, {Flat, func(float64) float64 { return 0 }, math.NaN()},
	} {
		var values []float64
		for i, x := range sizes {
			values = append(values, c.of(x)*(1+0.01*float64(1-i%2*2)))
		}
		f := FitOf(sizes, values)
		if f.Shape != c.shape || f.Residual > 0.05 || !math.IsNaN(c.exponent) && math.Abs(f.Exponent-c.exponent) > 0.03 {
			t.Errorf("%s: %+v", c.shape, f)
		}
		if at := f.At(470); math.Abs(at-c.of(470)) > 0.05*c.of(470) {
			t.Errorf("%s: the fit gives %v at 470, want %v", c.shape, at, c.of(470))
		}
	}
	if f := FitOf([]float64{1, 2}, []float64{1, 2}); f.Shape != Unfitted {
		t.Errorf("two sizes: %+v", f)
	}
}

func ignoreReport(int, Part, time.Duration, error) {}

// A part that exceeds a bound is cut off, and larger sizes of its sweep are skipped; other sweeps are still played.
func TestPlayCutsOffPartsOverBounds(t *testing.T) {
	allocated := []byte(nil)
	sweep := func(name string, play func(ctx context.Context, size int) error) Sweep {
		return Sweep{Name: name, Axis: Drivers, Sizes: []int{1, 2, 3}, Play: func(ctx context.Context, size int, seed uint64, point func(Point)) error {
			point(Point{Measure: "size", Unit: "B", Value: float64(size)})
			return play(ctx, size)
		}}
	}
	all := []Sweep{
		sweep("slow", func(ctx context.Context, size int) error {
			if size > 1 {
				<-ctx.Done()
			}
			return ctx.Err()
		}),
		sweep("large", func(ctx context.Context, size int) error {
			if size > 1 {
				allocated = make([]byte, 200<<20)
				for i := range allocated {
					allocated[i] = 1
				}
				<-ctx.Done()
			}
			return nil
		}),
		sweep("quick", func(context.Context, int) error { return nil }),
	}
	parts, err := Pick(all, nil, nil, []uint64{1})
	if err != nil {
		t.Fatal(err)
	}
	points, cuts, err := Play(context.Background(), Bounds{500 * time.Millisecond, MemoryInUse() + 100<<20}, parts, ignoreReport)
	allocated = nil
	if err != nil || len(points) != 5 || len(cuts) != 4 {
		t.Fatalf("%v, %d points, %+v", err, len(points), cuts)
	}
	for i, want := range []string{"longer than its bound of 500ms", "not played: size 2", "more memory than its bound", "not played: size 2"} {
		if !strings.Contains(cuts[i].Why, want) {
			t.Errorf("%+v does not contain %q", cuts[i], want)
		}
	}
	broken := sweep("broken", func(_ context.Context, size int) error { return errors.New("out of tune") })
	if _, _, err := Play(context.Background(), Bounds{time.Minute, 1 << 40}, []Part{{broken, 2, 7}}, ignoreReport); err == nil || err.Error() != "sweep broken, size 2, seed 7: out of tune" {
		t.Errorf("%v", err)
	}
}

// Unknown sweeps and sizes are errors; a sweep with processes that has no program to start is a cut, not an error.
func TestInvalidSelectionsAreRejected(t *testing.T) {
	for want, c := range map[string]struct {
		names []string
		sizes []int
	}{
		`unknown sweep "veiw"; known sweeps are view,`: {names: []string{"veiw"}},
		"size 471: not a size of any selected sweep":   {sizes: []int{471}},
	} {
		if _, err := Pick(Sweeps(), c.names, c.sizes, []uint64{1}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not contain %q", err, want)
		}
	}
	if _, _, err := Play(context.Background(), Bounds{time.Minute, 1 << 40}, []Part{{processSweeps()[0], 10, 1}}, ignoreReport); err != nil {
		t.Errorf("a sweep with processes and no program: error %v, want a cut", err)
	}
}

// A folder holds the rows of all runs: a repeated run replaces earlier rows of the same sweep, size and seed, and a cut does so too.
// Damaged files are errors that name the file.
func TestResultsAreSavedAndRead(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "kept")
	var k Results
	for _, size := range []int64{30, 100, 235} {
		for seed := range uint64(2) {
			k.Add([]Point{{Sweep: "view", Measure: "bytes", Unit: "B/s per driver", Axis: "drivers", Size: size, Seed: seed, Value: float64(size), How: "simulated"}}, nil)
		}
	}
	k.Add([]Point{{Sweep: "view", Measure: "bytes", Unit: "B/s per driver", Axis: "drivers", Size: 30, Seed: 1, Value: 34, How: "simulated"}}, nil)
	k.Add(nil, []Cut{{"view", 100, 1, "it took longer"}})
	if err := k.Save(folder); err != nil {
		t.Fatal(err)
	}
	again, err := Read(folder)
	if err != nil || len(again.Points) != 5 || len(again.Cuts) != 1 {
		t.Fatalf("%v, %+v", err, again)
	}
	var text bytes.Buffer
	if err := Tables(&text, again); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"## view, by drivers", "| bytes | B/s per driver | 32 | 100 | 235 | simulated | linear |", "Cut off at 100, seed 1: it took longer."} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %q in %s", want, text.String())
		}
	}
	for _, name := range []string{"rows.csv", "rows.parquet", "cut.json", "tables.md", "bytes-drivers.png"} {
		if s, err := os.Stat(filepath.Join(folder, name)); err != nil || s.Size() < 20 {
			t.Errorf("%s: %v", name, err)
		}
	}
	os.WriteFile(filepath.Join(folder, "cut.json"), []byte("{"), 0o600)
	if _, err := Read(folder); err == nil || !strings.Contains(err.Error(), "cut.json") {
		t.Errorf("a broken cut.json: %v", err)
	}
	os.WriteFile(filepath.Join(folder, "rows.parquet"), []byte("PAR1"), 0o600)
	if _, err := Read(folder); err == nil || !strings.Contains(err.Error(), "rows.parquet") {
		t.Errorf("a broken rows.parquet: %v", err)
	}
}

// Series that are too many for one chart are split by sweep family, then by sweep; each series is in exactly one chart.
func TestLargeChartsAreSplit(t *testing.T) {
	var all []Series
	for _, sweep := range []string{"view", "view-cut", "list", "primary-death", "primary-hang"} {
		for n := range 5 {
			if sweep[0] == 'p' {
				n += 10
			}
			all = append(all, Series{Sweep: sweep, Measure: fmt.Sprint("m", n)})
		}
	}
	for range 8 {
		all = append(all, Series{Sweep: "primary-hang", Measure: "more"})
	}
	sum := 0
	parts := splitCharts(all)
	for name, some := range parts {
		if sum += len(some); len(some) > maxChartLines+1 {
			t.Errorf("chart %q has %d lines", name, len(some))
		}
	}
	if sum != len(all) || len(parts) != 4 || len(parts["-view"]) != 10 || len(parts["-primary-death"]) != 5 {
		t.Errorf("%d of %d series in %d charts", sum, len(all), len(parts))
	}
	if few := splitCharts(all[:maxChartLines]); len(few) != 1 || len(few[""]) != maxChartLines {
		t.Errorf("%d charts for a number of lines that fits into one", len(few))
	}
}

package capacity

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/parquet-go/parquet-go"

	"passtack/internal/lab"
)

// Results holds the points and cuts of all runs that a folder stores.
type Results struct {
	Points []Point
	Cuts   []Cut
}

// Read reads the results in a folder. A folder that does not exist has none.
func Read(folder string) (k Results, err error) {
	if k.Points, err = parquet.ReadFile[Point](filepath.Join(folder, "rows.parquet")); err != nil && !errors.Is(err, os.ErrNotExist) {
		return k, fmt.Errorf("%s: rows.parquet: %w", folder, err)
	}
	text, err := os.ReadFile(filepath.Join(folder, "cut.json"))
	if errors.Is(err, os.ErrNotExist) {
		return k, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &k.Cuts)
	}
	if err != nil {
		return k, fmt.Errorf("%s: cut.json: %w", folder, err)
	}
	return k, nil
}

// Add adds the points and cuts of a run. They replace earlier points and cuts of the same sweep, size and seed.
func (k *Results) Add(points []Point, cuts []Cut) {
	type key struct {
		sweep string
		size  int64
		seed  uint64
	}
	replaced := make(map[key]bool)
	for _, p := range points {
		replaced[key{p.Sweep, p.Size, p.Seed}] = true
	}
	for _, c := range cuts {
		replaced[key{c.Sweep, int64(c.Size), c.Seed}] = true
	}
	k.Points = slices.DeleteFunc(k.Points, func(p Point) bool { return replaced[key{p.Sweep, p.Size, p.Seed}] })
	k.Cuts = slices.DeleteFunc(k.Cuts, func(c Cut) bool { return replaced[key{c.Sweep, int64(c.Size), c.Seed}] })
	k.Points, k.Cuts = append(k.Points, points...), append(k.Cuts, cuts...)
	slices.SortStableFunc(k.Points, func(a, b Point) int {
		return cmp.Or(cmp.Compare(a.Sweep, b.Sweep), cmp.Compare(a.Measure, b.Measure), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Seed, b.Seed))
	})
	slices.SortStableFunc(k.Cuts, func(a, b Cut) int {
		return cmp.Or(cmp.Compare(a.Sweep, b.Sweep), cmp.Compare(a.Size, b.Size), cmp.Compare(a.Seed, b.Seed))
	})
}

// Save writes rows.csv, rows.parquet, cut.json, tables.md and the charts into a folder. Each file is written atomically.
func (k *Results) Save(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	files := map[string]func(io.Writer) error{
		"rows.csv":     k.writeCSV,
		"rows.parquet": func(out io.Writer) error { return parquet.Write(out, k.Points) },
		"cut.json": func(out io.Writer) error {
			e := json.NewEncoder(out)
			e.SetIndent("", "  ")
			return e.Encode(append([]Cut{}, k.Cuts...))
		},
		"tables.md": func(out io.Writer) error { return Tables(out, *k) },
	}
	for name, write := range charts(k.Points) {
		files[name] = write
	}
	for name, write := range files {
		if err := lab.WriteFileAtomically(filepath.Join(folder, name), write); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

func (k *Results) writeCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	w.Write([]string{"sweep", "measure", "unit", "axis", "size", "drivers", "members", "seed", "value", "how"})
	for _, p := range k.Points {
		w.Write([]string{p.Sweep, p.Measure, p.Unit, p.Axis, fmt.Sprint(p.Size), fmt.Sprint(p.Drivers), fmt.Sprint(p.Members), fmt.Sprint(p.Seed),
			strconv.FormatFloat(p.Value, 'g', 6, 64), p.How})
	}
	w.Flush()
	return w.Error()
}

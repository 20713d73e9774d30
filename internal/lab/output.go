package lab

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Keep writes the rows into a folder, as rows.csv and rows.parquet, and the charts utility.png and returns.png. Each file is
// whole or not there.
func Keep(folder string, rows []Row) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{
		"rows.csv":     func(out io.Writer) error { return writeCSV(out, rows) },
		"rows.parquet": func(out io.Writer) error { return parquet.Write(out, rows) },
		"utility.png": func(out io.Writer) error {
			return chart(out, rows, "utility in time", func(r Row) float64 { return r.Utility })
		},
		"returns.png": func(out io.Writer) error {
			return chart(out, rows, "seconds of service lost by a fall", func(r Row) float64 { return r.Lost })
		},
	} {
		if err := Whole(filepath.Join(folder, name), write); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// Whole writes a file that is there whole or not at all.
func Whole(name string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name))
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Chmod(f.Name(), 0o644); err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}

func writeCSV(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	w.Write([]string{"script", "arm", "seed", "rpcs", "ok", "utility", "pushed_back", "aborted", "nothing", "broken", "p50_ms", "p99_ms", "digest",
		"drivers", "whole_s", "lost_s", "connects", "connects_usual", "connects_at_one", "connects_at_one_usual", "lists", "lists_usual", "full", "cold", "stale", "first_10s"})
	number := func(f float64) string { return strconv.FormatFloat(f, 'f', 4, 64) }
	for _, r := range rows {
		w.Write([]string{r.Script, r.Arm, fmt.Sprint(r.Seed), fmt.Sprint(r.RPCs), number(r.OK), number(r.Utility), fmt.Sprint(r.PushedBack),
			fmt.Sprint(r.Aborted), fmt.Sprint(r.Nothing), fmt.Sprint(r.Broken), number(r.P50), number(r.P99), r.Digest,
			fmt.Sprint(r.Drivers), number(r.Whole), number(r.Lost), number(r.Connects), number(r.ConnectsUsual), number(r.Member), number(r.MemberUsual),
			number(r.Lists), number(r.ListsUsual), number(r.Full), number(r.Cold), number(r.Stale), number(r.First)})
	}
	w.Flush()
	return w.Error()
}

// ReadParquet reads rows that Keep has written.
func ReadParquet(name string) ([]Row, error) { return parquet.ReadFile[Row](name) }

// chart draws a box of a value for each arm of each script.
func chart(out io.Writer, rows []Row, label string, value func(Row) float64) error {
	p := plot.New()
	p.Y.Label.Text = label
	var names []string
	for _, s := range Summarize(rows) {
		var values plotter.Values
		for _, r := range rows {
			if r.Script == s.Script && r.Arm == s.Arm {
				values = append(values, value(r))
			}
		}
		box, err := plotter.NewBoxPlot(vg.Points(18), float64(len(names)), values)
		if err != nil {
			return err
		}
		p.Add(box)
		names = append(names, s.Script+"\n"+s.Arm)
	}
	p.NominalX(names...)
	w, err := p.WriterTo(vg.Length(max(len(names), 3))*1.4*vg.Inch, 4*vg.Inch, "png")
	if err != nil {
		return err
	}
	_, err = w.WriteTo(out)
	return err
}

// PrintReturns writes how fleets came back, a line for each script and arm: means, and the worst time to full service.
func PrintReturns(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tarm\tdrivers\tseeds\twhole s\tworst s\tnever\tlost s\tconnects\tusual\tat one\tusual\tlists\tusual\tfull\tcold\tstale\t")
	for i := 0; i < len(rows); {
		j, never, worst, whole := i, 0, 0.0, 0.0
		var sum Row
		for ; j < len(rows) && rows[j].Script == rows[i].Script && rows[j].Arm == rows[i].Arm; j++ {
			r := rows[j]
			if r.Whole < 0 {
				never++
			} else {
				whole += r.Whole
			}
			worst = max(worst, r.Whole)
			sum.Lost, sum.Connects, sum.ConnectsUsual, sum.Member = sum.Lost+r.Lost, sum.Connects+r.Connects, sum.ConnectsUsual+r.ConnectsUsual, sum.Member+r.Member
			sum.MemberUsual, sum.Lists, sum.ListsUsual = sum.MemberUsual+r.MemberUsual, sum.Lists+r.Lists, sum.ListsUsual+r.ListsUsual
			sum.Full, sum.Cold, sum.Stale = sum.Full+r.Full, max(sum.Cold, r.Cold), sum.Stale+r.Stale
		}
		n := float64(j - i)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t\n", rows[i].Script, rows[i].Arm, rows[i].Drivers,
			j-i, whole/max(n-float64(never), 1), worst, never, sum.Lost/n, sum.Connects/n, sum.ConnectsUsual/n, sum.Member/n, sum.MemberUsual/n, sum.Lists/n, sum.ListsUsual/n,
			sum.Full/n, sum.Cold, sum.Stale/n)
		i = j
	}
	w.Flush()
}

// PrintDifferences writes how two sets of rows differ.
func PrintDifferences(out io.Writer, all []Difference) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tcolumn\tpairs\tfirst\tsecond\tdifference, 95%\t")
	for _, d := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%+.4f ± %.4f\t\n", d.Script, d.Column, d.Pairs, d.A, d.B, d.By, d.Around)
	}
	w.Flush()
}

// Print writes the summaries as a table.
func Print(out io.Writer, all []Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tarm\tseeds\tutility\tleast\tmost\tagainst first\tok\tp99 ms\tbroken\t")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%+.4f ± %.4f\t%.4f\t%.1f\t%d\t\n", s.Script, s.Arm, s.Seeds, s.Mean, s.Least, s.Most, s.Against,
			s.Scatter, s.OK, s.P99, s.Broken)
	}
	w.Flush()
}

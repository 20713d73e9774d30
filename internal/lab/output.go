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

// Save writes rows.csv, rows.parquet and the charts utility.png and returns.png into a folder. Each file is written atomically.
func Save(folder string, rows []Row) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{
		"rows.csv":     func(out io.Writer) error { return writeCSV(out, rows) },
		"rows.parquet": func(out io.Writer) error { return parquet.Write(out, rows) },
		"utility.png": func(out io.Writer) error {
			return writeChart(out, rows, "utility answered in time", func(r Row) float64 { return r.Utility })
		},
		"returns.png": func(out io.Writer) error {
			return writeChart(out, rows, "seconds of service lost in a driver failure", func(r Row) float64 { return r.LostSeconds })
		},
	} {
		if err := WriteFileAtomically(filepath.Join(folder, name), write); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// WriteFileAtomically writes a temporary file and renames it, so that the named file is either complete or unchanged.
func WriteFileAtomically(name string, write func(io.Writer) error) error {
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
			fmt.Sprint(r.Aborted), fmt.Sprint(r.NoAnswer), fmt.Sprint(r.Broken), number(r.P50), number(r.P99), r.Digest,
			fmt.Sprint(r.Drivers), number(r.RecoverySeconds), number(r.LostSeconds), number(r.Connects), number(r.ConnectsUsual), number(r.MemberConnects), number(r.MemberConnectsUsual),
			number(r.Lists), number(r.ListsUsual), number(r.QueueFull), number(r.ColdBudgetUsed), number(r.StaleWrites), number(r.UtilityFirst10s)})
	}
	w.Flush()
	return w.Error()
}

// ReadParquet reads the rows.parquet that Save has written.
func ReadParquet(name string) ([]Row, error) { return parquet.ReadFile[Row](name) }

// writeChart writes a PNG with a box plot of a value for each arm of each script.
func writeChart(out io.Writer, rows []Row, label string, value func(Row) float64) error {
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

// PrintReturns prints how fleets recovered from driver failures, one line for each script and arm: means, the worst time to full service
// and the largest part used of a cold member's budget.
func PrintReturns(out io.Writer, rows []Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tarm\tdrivers\tseeds\twhole s\tworst s\tnever\tlost s\tconnects\tusual\tat one\tusual\tlists\tusual\tfull\tcold\tstale\t")
	for i := 0; i < len(rows); {
		j, never, worst, recoverySum := i, 0, 0.0, 0.0
		var sum Row
		for ; j < len(rows) && rows[j].Script == rows[i].Script && rows[j].Arm == rows[i].Arm; j++ {
			r := rows[j]
			if r.RecoverySeconds < 0 {
				never++
			} else {
				recoverySum += r.RecoverySeconds
			}
			worst = max(worst, r.RecoverySeconds)
			sum.LostSeconds, sum.Connects, sum.ConnectsUsual, sum.MemberConnects = sum.LostSeconds+r.LostSeconds, sum.Connects+r.Connects, sum.ConnectsUsual+r.ConnectsUsual, sum.MemberConnects+r.MemberConnects
			sum.MemberConnectsUsual, sum.Lists, sum.ListsUsual = sum.MemberConnectsUsual+r.MemberConnectsUsual, sum.Lists+r.Lists, sum.ListsUsual+r.ListsUsual
			sum.QueueFull, sum.ColdBudgetUsed, sum.StaleWrites = sum.QueueFull+r.QueueFull, max(sum.ColdBudgetUsed, r.ColdBudgetUsed), sum.StaleWrites+r.StaleWrites
		}
		n := float64(j - i)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%.2f\t%d\t%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t\n", rows[i].Script, rows[i].Arm, rows[i].Drivers,
			j-i, recoverySum/max(n-float64(never), 1), worst, never, sum.LostSeconds/n, sum.Connects/n, sum.ConnectsUsual/n, sum.MemberConnects/n, sum.MemberConnectsUsual/n, sum.Lists/n, sum.ListsUsual/n,
			sum.QueueFull/n, sum.ColdBudgetUsed, sum.StaleWrites/n)
		i = j
	}
	w.Flush()
}

// PrintDifferences prints the differences between two sets of rows as a table.
func PrintDifferences(out io.Writer, all []Difference) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tcolumn\tpairs\tfirst\tsecond\tdifference, 95%\t")
	for _, d := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%+.4f ± %.4f\t\n", d.Script, d.Column, d.Pairs, d.MeanFirst, d.MeanSecond, d.MeanDifference, d.Margin)
	}
	w.Flush()
}

// Print prints the summaries as a table.
func Print(out io.Writer, all []Summary) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "script\tarm\tseeds\tutility\tleast\tmost\tagainst first\tok\tp99 ms\tbroken\t")
	for _, s := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.4f\t%.4f\t%+.4f ± %.4f\t%.4f\t%.1f\t%d\t\n", s.Script, s.Arm, s.Seeds, s.MeanUtility, s.MinUtility, s.MaxUtility, s.DifferenceToFirst,
			s.StandardError, s.OK, s.P99, s.Broken)
	}
	w.Flush()
}

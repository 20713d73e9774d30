package capacity

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Tables writes the measured series as Markdown, one table for each sweep: the median over the seeds at each size, and the fit.
func Tables(out io.Writer, k Results) error {
	w := &errWriter{out: out}
	w.line("Written by `passlab capacity`. Each value is the median over the seeds that were played.\n")
	w.line("Fit: the shape with the smallest relative residual of flat, logarithm, linear and square, value = base + slope * f(size); the exponent is that of the")
	w.line("line through the logarithms, with its standard error. Residuals are relative, root mean square.")
	all := SeriesOf(k.Points)
	descriptions := make(map[string]string)
	for _, s := range Sweeps() {
		descriptions[s.Name] = s.About
	}
	for i := 0; i < len(all); {
		j := i
		var sizes []float64
		for ; j < len(all) && all[j].Sweep == all[i].Sweep; j++ {
			sizes = append(sizes, all[j].Sizes...)
		}
		slices.Sort(sizes)
		sizes = slices.Compact(sizes)
		w.line("\n## %s, by %s\n", all[i].Sweep, all[i].Axis)
		if description := descriptions[all[i].Sweep]; description != "" {
			w.line("%s\n", description)
		}
		head, rule := "| measure | unit |", "|---|---|"
		for _, size := range sizes {
			head, rule = head+" "+number(size)+" |", rule+"--:|"
		}
		w.line("%s how | shape | base | slope | residual | exponent |\n%s---|---|--:|--:|--:|--:|", head, rule)
		for _, s := range all[i:j] {
			row := "| " + s.Measure + " | " + s.Unit + " |"
			for _, size := range sizes {
				if column, found := slices.BinarySearch(s.Sizes, size); found {
					row += " " + number(s.Medians[column]) + " |"
				} else {
					row += " |"
				}
			}
			w.line("%s %s | %s | %s | %s | %s | %s |", row, s.How, s.Fit.Shape, number(s.Fit.Base), number(s.Fit.Slope), percent(s.Fit.Residual), exponent(s.Fit))
		}
		for _, c := range k.Cuts {
			if c.Sweep == all[i].Sweep {
				w.line("\nCut off at %d, seed %d: %s.", c.Size, c.Seed, c.Why)
			}
		}
		i = j
	}
	for _, c := range k.Cuts {
		if !slices.ContainsFunc(all, func(s Series) bool { return s.Sweep == c.Sweep }) {
			w.line("\nCut off, %s at %d, seed %d: %s.", c.Sweep, c.Size, c.Seed, c.Why)
		}
	}
	return w.err
}

// errWriter writes lines and keeps the first error; after an error it writes nothing.
type errWriter struct {
	out io.Writer
	err error
}

func (w *errWriter) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

// number formats a value with four significant digits, or as an integer where it is one or is 1000 or more.
func number(v float64) string {
	if a := math.Abs(v); a >= 1000 || v == math.Trunc(v) {
		return strconv.FormatFloat(math.Round(v), 'f', -1, 64)
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}

func percent(v float64) string { return strconv.FormatFloat(100*v, 'f', 1, 64) + "%" }

func exponent(f Fit) string {
	switch {
	case math.IsNaN(f.Exponent):
		return ""
	case math.IsNaN(f.ExponentError):
		return fmt.Sprintf("%.2f", f.Exponent)
	}
	return fmt.Sprintf("%.2f ± %.2f", f.Exponent, f.ExponentError)
}

// chartKind returns the kind of chart that shows a unit and the factor that converts its values to the chart's unit. Units with kind ""
// are in no chart.
func chartKind(unit string) (kind string, scale float64) {
	first, _, _ := strings.Cut(unit, " ")
	switch first {
	case "B/s":
		return "bytes", 1
	case "kB/s", "KB/s":
		return "bytes", 1000
	case "s":
		return "time", 1
	case "ms":
		return "time", 1e-3
	case "us", "µs":
		return "time", 1e-6
	case "B":
		return "memory", 1
	case "kB", "KB":
		return "memory", 1000
	case "MB":
		return "memory", 1e6
	}
	return "", 0
}

const maxChartLines = 12 // lines that can still be told apart in one chart

// sweepFamily returns the first word of a sweep's name, which related sweeps share.
func sweepFamily(sweep string) string {
	return strings.FieldsFunc(sweep, func(c rune) bool { return c == '-' || c == '_' })[0]
}

// splitCharts distributes series over charts, by the suffix of the chart's file name: a single chart, or one for each family of sweeps
// where the series are too many for one chart, and one for each sweep of a family that has too many.
func splitCharts(all []Series) map[string][]Series {
	parts := map[string][]Series{"": all}
	for _, suffix := range []func(Series) string{func(s Series) string { return "-" + sweepFamily(s.Sweep) }, func(s Series) string { return "-" + s.Sweep }} {
		finer := make(map[string][]Series)
		for name, group := range parts {
			if len(group) <= maxChartLines {
				finer[name] = group
				continue
			}
			for _, s := range group {
				finer[suffix(s)] = append(finer[suffix(s)], s)
			}
		}
		parts = finer
	}
	return parts
}

// charts returns, by file name, the writers of the charts of bytes, time and memory by size, for each axis that has such series.
func charts(points []Point) map[string]func(io.Writer) error {
	labels := map[string]string{"bytes": "bytes a second", "time": "seconds", "memory": "bytes"}
	groups := make(map[[2]string][]Series)
	for _, s := range SeriesOf(points) {
		kind, scale := chartKind(s.Unit)
		plotted := Series{Sweep: s.Sweep, Measure: s.Measure, Unit: s.Unit, Axis: s.Axis}
		for i, v := range s.Medians {
			if v > 0 { // a logarithmic axis cannot show 0
				plotted.Sizes, plotted.Medians = append(plotted.Sizes, s.Sizes[i]), append(plotted.Medians, v*scale)
			}
		}
		if s = plotted; kind == "" || len(s.Sizes) < 2 {
			continue
		}
		groups[[2]string{kind, s.Axis}] = append(groups[[2]string{kind, s.Axis}], s)
	}
	files := make(map[string]func(io.Writer) error)
	for k, all := range groups {
		for name, group := range splitCharts(all) {
			files[k[0]+"-"+k[1]+name+".png"] = func(out io.Writer) error { return writeChart(out, k[1], labels[k[0]], group) }
		}
	}
	return files
}

// writeChart writes a PNG with one line for each series, on two logarithmic axes.
func writeChart(out io.Writer, axis, label string, all []Series) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = axis, label
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = sizeTicks(all), plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	for i, s := range all {
		var xys plotter.XYs
		for j := range s.Sizes {
			xys = append(xys, plotter.XY{X: s.Sizes[j], Y: s.Medians[j]})
		}
		line, dots, err := plotter.NewLinePoints(xys)
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(s.Sweep+" "+s.Measure+", "+s.Unit, line, dots)
	}
	p.Y.Max *= math.Pow(10, float64(len(all))*0.12) // leave room for the legend
	w, err := p.WriterTo(9*vg.Inch, 7*vg.Inch, "png")
	if err != nil {
		return err
	}
	_, err = w.WriteTo(out)
	return err
}

// sizeTicks returns a tick for each measured size.
func sizeTicks(all []Series) plot.ConstantTicks {
	var sizes []float64
	for _, s := range all {
		sizes = append(sizes, s.Sizes...)
	}
	slices.Sort(sizes)
	var ticks plot.ConstantTicks
	for _, size := range slices.Compact(sizes) {
		ticks = append(ticks, plot.Tick{Value: size, Label: number(size)})
	}
	return ticks
}

package capacity

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Series is one measure by size: the median over the seeds at each size, and the fit to the medians.
type Series struct {
	Sweep, Measure, Unit, Axis, How string
	Sizes                           []float64
	Medians                         []float64
	Fit                             Fit
}

// Shape is the kind of growth of a measure with the size.
type Shape string

const (
	// Flat means that the value does not depend on the size.
	Flat Shape = "flat"
	// Logarithm means that the value grows with the logarithm of the size.
	Logarithm Shape = "logarithm"
	// Linear means that the value grows in proportion to the size.
	Linear Shape = "linear"
	// Square means that the value grows with the square of the size.
	Square Shape = "square"
	// Unfitted means that too few sizes were measured.
	Unfitted Shape = "too few sizes"
)

// Fit describes the growth of a measure: value = Base + Slope * f(size), where f is the function of the shape. Exponent is the slope of the
// regression line through the logarithms of sizes and values, with its standard error.
type Fit struct {
	Shape         Shape
	Base, Slope   float64
	Residual      float64 // root mean square of the relative residuals
	Exponent      float64
	ExponentError float64 // NaN with two sizes, or where a value is not positive
}

var shapes = []struct {
	shape     Shape
	transform func(size float64) float64
}{{Logarithm, math.Log}, {Linear, func(x float64) float64 { return x }}, {Square, func(x float64) float64 { return x * x }}}

const (
	maxFlatResidual = 0.05 // largest relative residual of the mean at which a measure counts as flat
	minFitSizes     = 3    // fewest sizes to which a shape is fitted
)

// At returns the value of the fit at a size.
func (f Fit) At(size float64) float64 {
	for _, s := range shapes {
		if s.shape == f.Shape {
			return f.Base + f.Slope*s.transform(size)
		}
	}
	return f.Base
}

// FitOf chooses the shape with the smallest relative residual. It chooses Flat where the relative residual of the mean is at most 5%, or
// where no other shape has less than half of that residual. Each size has the same weight, whatever its value.
func FitOf(sizes, values []float64) (f Fit) {
	f = Fit{Shape: Unfitted, Exponent: math.NaN(), ExponentError: math.NaN()}
	if len(sizes) == 0 {
		return f
	}
	f.Base = stat.Mean(values, nil)
	if len(sizes) < minFitSizes {
		return f
	}
	f.Exponent, f.ExponentError = fitExponent(sizes, values)
	weights := make([]float64, len(values))
	scale := max(slices.Max(values), -slices.Min(values))
	if scale == 0 { // all values are 0
		f.Shape = Flat
		return f
	}
	for i, v := range values {
		weights[i] = 1 / math.Pow(max(math.Abs(v), scale/1000), 2)
	}
	residual := func(at func(i int) float64) float64 {
		sum := 0.0
		for i, v := range values {
			sum += math.Pow(v-at(i), 2) * weights[i]
		}
		return math.Sqrt(sum / float64(len(values)))
	}
	mean := stat.Mean(values, weights)
	f.Shape, f.Base, f.Residual = Flat, mean, residual(func(int) float64 { return mean })
	flatResidual := f.Residual
	if flatResidual <= maxFlatResidual {
		return f
	}
	for _, s := range shapes {
		xs := make([]float64, len(sizes))
		for i, x := range sizes {
			xs[i] = s.transform(x)
		}
		base, slope := stat.LinearRegression(xs, values, weights, false)
		if r := residual(func(i int) float64 { return base + slope*xs[i] }); r < f.Residual && r < flatResidual/2 {
			f.Shape, f.Base, f.Slope, f.Residual = s.shape, base, slope, r
		}
	}
	return f
}

// fitExponent fits value = a * size^exponent and returns the exponent with its standard error.
func fitExponent(sizes, values []float64) (exponent, standardError float64) {
	var xs, ys []float64
	for i, v := range values {
		if v <= 0 {
			return math.NaN(), math.NaN()
		}
		xs, ys = append(xs, math.Log(sizes[i])), append(ys, math.Log(v))
	}
	base, exponent := stat.LinearRegression(xs, ys, nil, false)
	if len(xs) < 3 {
		return exponent, math.NaN()
	}
	sum := 0.0
	for i := range xs {
		sum += math.Pow(ys[i]-base-exponent*xs[i], 2)
	}
	n := float64(len(xs))
	return exponent, math.Sqrt(sum / (n - 2) / (stat.Variance(xs, nil) * (n - 1)))
}

// SeriesOf groups points by sweep and measure, sorted by both, and fits each series.
func SeriesOf(points []Point) (all []Series) {
	type key struct{ sweep, measure string }
	values, first := make(map[key]map[int64][]float64), make(map[key]Point)
	var keys []key
	for _, p := range points {
		k := key{p.Sweep, p.Measure}
		if values[k] == nil {
			values[k], first[k] = make(map[int64][]float64), p
			keys = append(keys, k)
		}
		values[k][p.Size] = append(values[k][p.Size], p.Value)
	}
	slices.SortStableFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.sweep, b.sweep), cmp.Compare(a.measure, b.measure)) })
	for _, k := range keys {
		p := first[k]
		s := Series{Sweep: k.sweep, Measure: k.measure, Unit: p.Unit, Axis: p.Axis, How: p.How}
		var sizes []int64
		for size := range values[k] {
			sizes = append(sizes, size)
		}
		slices.Sort(sizes)
		for _, size := range sizes {
			s.Sizes, s.Medians = append(s.Sizes, float64(size)), append(s.Medians, median(values[k][size]))
		}
		s.Fit = FitOf(s.Sizes, s.Medians)
		all = append(all, s)
	}
	return all
}

func median(values []float64) float64 {
	v := slices.Sorted(slices.Values(values))
	if n := len(v); n%2 == 0 {
		return (v[n/2-1] + v[n/2]) / 2
	}
	return v[len(v)/2]
}

// quantile returns the empirical quantile of the values, or 0 without values.
func quantile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(values))
	return stat.Quantile(fraction, stat.Empirical, v, nil)
}

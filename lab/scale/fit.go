// This file owns the fits: a straight line by least squares through all points of an axis but the largest, what is left over,
// and the prediction of the largest. It must never extend what is no line.

package scale

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Shape is what a figure does over an axis.
type Shape string

// The shapes. A figure is no line if the largest residual is more than offLine of the largest fitted value; flat if the line's whole
// rise over the fitted points is no more than twice the largest residual; and no line either if it leaves much of the variance.
const (
	Linear       Shape = "line"
	Flat         Shape = "flat"
	Nonlinear    Shape = "no line"
	TooFewPoints Shape = "too few points"
)

const (
	maxLinearResidual = 0.15
	minR2             = 0.8
	minRelativeRise   = 0.02 // of the largest value: a smaller rise is none
)

// Fit is one figure over one axis.
type Fit struct {
	Axis, Subject, Figure string
	Shape                 Shape
	Points, Samples       int
	Intercept, Slope      float64
	MaxResidual           float64 // the largest, as a share of the largest fitted value
	R2                    float64
	HeldOut               float64 // the largest point
	Predicted             float64 // NaN for no line: it is not extended
	Measured              float64 // mean there
	Min, Max              float64 // least and most there
}

// Off is how far the prediction was off, as a share of what was measured; NaN for a prediction of nothing, which has no share.
func (f Fit) RelativeError() float64 {
	if f.Predicted == 0 {
		return math.NaN()
	}
	return (f.Predicted - f.Measured) / f.Measured
}

// fitted are the figures that are fitted, by axis and row; all real senders are samples of one fit.
var fittedFigures = map[string][]struct{ who, figure string }{
	"destinations": {{"real", "ready"}, {"real", "list"}, {"real", "cpu_start"}, {"real", "start_control"}, {"real", "resident"}, {"real", "heap"}, {"real", "heap_live"},
		{"real", "cpu_rest"}, {"real", "failure_control"}, {"real", "restart_ready"}, {"real", "restart_list"}, {"real", "restart_control"}, {"real", "force_p99"},
		{"hollow", "heap"}, {"hollow", "list"}, {"hollow", "step_p99"}},
	"held": {{"real", "intake"}, {"real", "resident"}, {"real", "heap"}, {"real", "heap_live"}, {"real", "cpu_rest"}, {"real", "cpu_busy"}, {"real", "force_p50"}, {"real", "force_p99"}},
	"hollow": {{"discovery", "control_rest"}, {"discovery", "calls_rest"}, {"discovery", "control_busy"}, {"discovery", "calls_busy"}, {"discovery", "watches"},
		{"hollow", "list"}, {"hollow", "force_p50"}, {"hollow", "force_p99"}, {"hollow", "step_p99"}, {"real", "force_p50"}, {"real", "force_p99"}},
	"changes": {{"real", "control_busy"}, {"real", "calls_busy"}, {"real", "cpu_busy"}, {"real", "force_p50"}, {"real", "force_p99"}, {"discovery", "control_busy"},
		{"discovery", "calls_busy"}, {"hollow", "force_p99"}, {"hollow", "step_p99"}},
	"down": {{"real", "resident"}, {"real", "heap_live"}, {"real", "cpu_rest"}, {"real", "cpu_busy"}, {"real", "force_p50"}, {"real", "force_p99"}, {"hollow", "step_p99"}},
	"owed": {{"real", "restart_ready"}, {"real", "restart_list"}, {"real", "restart_resident"}, {"real", "resident"}, {"real", "cpu_rest"}},
}

// samples are the values of a figure over an axis, of rows that were measured, by rising point.
func samples(rows []Row, axis, who, figure string) (xs, ys []float64) {
	type sample struct{ x, y float64 }
	var all []sample
	for _, r := range rows {
		kind := r.Subject
		if kind != "hollow" && kind != "discovery" {
			kind = "real"
		}
		y, ok := r.Figures[figure]
		if r.Axis == axis && kind == who && r.Failure == "" && ok && !math.IsNaN(y) {
			all = append(all, sample{float64(r.Value), y})
		}
	}
	slices.SortStableFunc(all, func(a, b sample) int { return int(a.x - b.x) })
	for _, s := range all {
		xs, ys = append(xs, s.x), append(ys, s.y)
	}
	return xs, ys
}

// fit fits one figure and predicts its largest point from the others.
func fit(axis, who, figure string, xs, ys []float64) Fit {
	f := Fit{Axis: axis, Subject: who, Figure: figure, Shape: TooFewPoints, Intercept: math.NaN(), Slope: math.NaN(), MaxResidual: math.NaN(), R2: math.NaN(), HeldOut: math.NaN(),
		Predicted: math.NaN(), Measured: math.NaN(), Min: math.NaN(), Max: math.NaN()}
	f.Points, f.Samples = len(slices.Compact(slices.Clone(xs))), len(xs)
	if f.Points < minAxisPoints {
		return f
	}
	f.HeldOut = xs[len(xs)-1]
	cut := slices.Index(xs, f.HeldOut)
	rest := ys[cut:]
	f.Measured, f.Min, f.Max = stat.Mean(rest, nil), slices.Min(rest), slices.Max(rest)
	xs, ys = xs[:cut], ys[:cut]
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	most, size := 0.0, 0.0
	for i := range xs {
		most, size = max(most, math.Abs(ys[i]-f.Intercept-f.Slope*xs[i])), max(size, math.Abs(ys[i]))
	}
	if size == 0 {
		f.Shape, f.MaxResidual, f.Predicted = Flat, 0, 0
		return f
	}
	f.MaxResidual = most / size
	rise := math.Abs(f.Slope) * (xs[len(xs)-1] - xs[0])
	switch {
	case f.MaxResidual > maxLinearResidual:
		f.Shape = Nonlinear
		return f
	case rise <= 2*most || rise < minRelativeRise*size:
		f.Shape, f.Intercept, f.Slope = Flat, stat.Mean(ys, nil), 0
	case f.R2 < minR2:
		f.Shape = Nonlinear
		return f
	default:
		f.Shape = Linear
	}
	f.Predicted = f.Intercept + f.Slope*f.HeldOut
	return f
}

// Fits are the fits of all axes that rows hold.
func FitRows(rows []Row) []Fit {
	var out []Fit
	for _, axis := range axisNames {
		for _, x := range fittedFigures[axis] {
			if xs, ys := samples(rows, axis, x.who, x.figure); len(xs) > 0 {
				out = append(out, fit(axis, x.who, x.figure, xs, ys))
			}
		}
	}
	return out
}

// with gives a number its unit in a size that people read.
func formatValue(x float64, unit string) string {
	if math.IsNaN(x) {
		return "-"
	}
	if unit == "B" || unit == "B/s" {
		for _, p := range []struct {
			by   float64
			name string
		}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
			if math.Abs(x) >= p.by {
				return formatNumber(x/p.by) + " " + p.name + unit
			}
		}
	}
	if unit == "" {
		return formatNumber(x)
	}
	return formatNumber(x) + " " + unit
}

// short is three digits of a number.
func formatNumber(x float64) string {
	switch a := math.Abs(x); {
	case math.IsNaN(x):
		return "-"
	case a == 0:
		return "0"
	case a >= 100:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 1:
		return fmt.Sprintf("%.2f", x)
	case a >= 0.001:
		return fmt.Sprintf("%.4f", x)
	}
	return fmt.Sprintf("%.2g", x)
}

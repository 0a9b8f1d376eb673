// This file owns the fits: a straight line by least squares through all points of an axis but the largest, its
// residuals, and the prediction of the largest point. It must never extrapolate a figure that does not follow a line.

package scale

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Shape classifies how a figure depends on an axis.
type Shape string

// Shapes of figures.
const (
	// Linear figures follow a straight line.
	Linear Shape = "line"

	// Flat figures do not depend on the axis: the line's rise over the fitted points is at most twice the largest
	// residual, or less than minRelativeRise of the largest fitted value.
	Flat Shape = "flat"

	// Nonlinear figures have a residual over maxLinearResidual of the largest fitted value, or a coefficient of
	// determination under minR2.
	Nonlinear Shape = "no line"

	// TooFewPoints is the shape of figures with fewer than minAxisPoints points.
	TooFewPoints Shape = "too few points"
)

const (
	maxLinearResidual = 0.15
	minR2             = 0.8
	minRelativeRise   = 0.02
)

// Fit is the fit of one figure over one axis.
type Fit struct {
	Axis, Subject, Figure string
	Shape                 Shape
	Points, Samples       int // numbers of points and of samples, those held out included
	Intercept, Slope      float64
	MaxResidual           float64 // as a share of the largest fitted value
	R2                    float64 // coefficient of determination
	HeldOut               float64 // the largest point, which is predicted
	Predicted             float64 // at the point held out; NaN for a nonlinear figure, which is not extrapolated
	Measured              float64 // mean at the point held out
	Min, Max              float64 // least and greatest sample there
}

// RelativeError returns the error of the prediction as a share of the measured value; NaN where the prediction is 0.
func (f Fit) RelativeError() float64 {
	if f.Predicted == 0 {
		return math.NaN()
	}
	return (f.Predicted - f.Measured) / f.Measured
}

// Subjects of figures. The rows of real senders are named r0, r1, ...; together they are the samples of one fit.
const (
	realSubject      = "real"
	simulatedSubject = "hollow" // also the name of the row of all simulated senders
	discoverySubject = "discovery"
)

// subjectFigures names figures of one subject.
type subjectFigures struct {
	subject string
	figures []string
}

// fittedFigures are the figures that are fitted, by axis.
var fittedFigures = map[string][]subjectFigures{
	"destinations": {
		{realSubject, []string{
			"ready", "list", "cpu_start", "start_control", "resident", "heap", "heap_live", "cpu_rest",
			"failure_control", "restart_ready", "restart_list", "restart_control", "force_p99",
		}},
		{simulatedSubject, []string{"heap", "list", "step_p99"}},
	},
	"held": {
		{realSubject, []string{
			"intake", "resident", "heap", "heap_live", "cpu_rest", "cpu_busy", "force_p50", "force_p99",
		}},
	},
	"hollow": {
		{discoverySubject, []string{"control_rest", "calls_rest", "control_busy", "calls_busy", "watches"}},
		{simulatedSubject, []string{"list", "force_p50", "force_p99", "step_p99"}},
		{realSubject, []string{"force_p50", "force_p99"}},
	},
	"changes": {
		{realSubject, []string{"control_busy", "calls_busy", "cpu_busy", "force_p50", "force_p99"}},
		{discoverySubject, []string{"control_busy", "calls_busy"}},
		{simulatedSubject, []string{"force_p99", "step_p99"}},
	},
	"down": {
		{realSubject, []string{"resident", "heap_live", "cpu_rest", "cpu_busy", "force_p50", "force_p99"}},
		{simulatedSubject, []string{"step_p99"}},
	},
	"owed": {
		{realSubject, []string{"restart_ready", "restart_list", "restart_resident", "resident", "cpu_rest"}},
	},
}

// samples returns the points and values of a figure over an axis, in order of rising points, without failed rows.
func samples(rows []Row, axis, subject, figure string) (xs, ys []float64) {
	type sample struct{ x, y float64 }
	var all []sample
	for _, r := range rows {
		rowSubject := r.Subject
		if rowSubject != simulatedSubject && rowSubject != discoverySubject {
			rowSubject = realSubject
		}
		y, ok := r.Figures[figure]
		if r.Axis == axis && rowSubject == subject && r.Failure == "" && ok && !math.IsNaN(y) {
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
func fit(axis, subject, figure string, xs, ys []float64) Fit {
	nan := math.NaN()
	f := Fit{
		Axis: axis, Subject: subject, Figure: figure, Shape: TooFewPoints,
		Intercept: nan, Slope: nan, MaxResidual: nan, R2: nan,
		HeldOut: nan, Predicted: nan, Measured: nan, Min: nan, Max: nan,
	}
	f.Points = len(slices.Compact(slices.Clone(xs)))
	f.Samples = len(xs)
	if f.Points < minAxisPoints {
		return f
	}
	f.HeldOut = xs[len(xs)-1]
	fittedCount := slices.Index(xs, f.HeldOut)
	heldOut := ys[fittedCount:]
	f.Measured = stat.Mean(heldOut, nil)
	f.Min, f.Max = slices.Min(heldOut), slices.Max(heldOut)
	xs, ys = xs[:fittedCount], ys[:fittedCount]
	f.Intercept, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Intercept, f.Slope)
	maxResidual, maxValue := 0.0, 0.0
	for i := range xs {
		maxResidual = max(maxResidual, math.Abs(ys[i]-f.Intercept-f.Slope*xs[i]))
		maxValue = max(maxValue, math.Abs(ys[i]))
	}
	if maxValue == 0 {
		f.Shape, f.MaxResidual, f.Predicted = Flat, 0, 0
		return f
	}
	f.MaxResidual = maxResidual / maxValue
	rise := math.Abs(f.Slope) * (xs[len(xs)-1] - xs[0])
	switch {
	case f.MaxResidual > maxLinearResidual:
		f.Shape = Nonlinear
		return f
	case rise <= 2*maxResidual || rise < minRelativeRise*maxValue:
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

// FitRows returns the fits of all axes that occur in rows.
func FitRows(rows []Row) []Fit {
	var out []Fit
	for _, axis := range axisNames {
		for _, group := range fittedFigures[axis] {
			for _, figure := range group.figures {
				if xs, ys := samples(rows, axis, group.subject, figure); len(xs) > 0 {
					out = append(out, fit(axis, group.subject, figure, xs, ys))
				}
			}
		}
	}
	return out
}

// formatValue returns a number with its unit, bytes with a decimal prefix.
func formatValue(x float64, unit string) string {
	if math.IsNaN(x) {
		return "-"
	}
	if unit == "B" || unit == "B/s" {
		for _, prefix := range []struct {
			factor float64
			name   string
		}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}} {
			if math.Abs(x) >= prefix.factor {
				return formatNumber(x/prefix.factor) + " " + prefix.name + unit
			}
		}
	}
	if unit == "" {
		return formatNumber(x)
	}
	return formatNumber(x) + " " + unit
}

// formatNumber returns a number with about three significant digits.
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

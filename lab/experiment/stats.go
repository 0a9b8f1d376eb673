// This file owns the statistics over rows: means with their confidence intervals, and paired differences. It must never
// hide how many runs an estimate is based on.

package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"eiderhaven/lab/tally"
)

// upperQuantile95 is the quantile at the upper end of a two-sided 95 % interval.
const upperQuantile95 = 0.975

// Estimate is the mean over N runs with the half width of its 95 % confidence interval (Student's t).
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

// EstimateMean estimates the mean of the values in xs that are not NaN. With fewer than two values the half width is
// NaN, as a single run gives no measure of spread.
func EstimateMean(xs []float64) Estimate {
	xs = slices.DeleteFunc(slices.Clone(xs), math.IsNaN) // NaN: the run has no value for the metric
	if len(xs) == 0 {
		return Estimate{Mean: math.NaN(), HalfWidth: math.NaN()}
	}
	mean, std := stat.MeanStdDev(xs, nil)
	if len(xs) < 2 {
		return Estimate{Mean: xs[0], HalfWidth: math.NaN(), N: 1}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(upperQuantile95)
	return Estimate{Mean: mean, HalfWidth: t * std / math.Sqrt(float64(len(xs))), N: len(xs)}
}

// String formats the estimate as "mean ± half width", without the half width if that is unknown.
func (e Estimate) String() string {
	if math.IsNaN(e.Mean) {
		return "-"
	}
	if math.IsNaN(e.HalfWidth) {
		return formatMetric(e.Mean)
	}
	return formatMetric(e.Mean) + " ± " + formatMetric(e.HalfWidth)
}

// formatMetric formats a number with as many decimal places as its magnitude needs in a table.
func formatMetric(x float64) string {
	switch a := math.Abs(x); {
	case a == 0:
		return "0"
	case a >= 1000:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// Cell is all finished runs of one combination of axis values with one policy.
type Cell struct {
	AxisValues []string
	Policy     string
	Rows       []Row
}

// Cells returns the finished runs grouped into cells, in the plan's order.
func (f *Folder) Cells() []Cell {
	var cells []Cell
	for _, r := range f.Rows() {
		n := len(cells)
		newCell := n == 0 || cells[n-1].Policy != r.Point.Policy || !slices.Equal(cells[n-1].AxisValues, r.AxisValues)
		if newCell {
			cells = append(cells, Cell{AxisValues: r.AxisValues, Policy: r.Point.Policy})
		}
		last := &cells[len(cells)-1]
		last.Rows = append(last.Rows, r)
	}
	return cells
}

// Estimate estimates the mean of a metric over the runs of a cell.
func (c Cell) Estimate(metric func(*tally.Result) float64) Estimate {
	var xs []float64
	for i := range c.Rows {
		xs = append(xs, metric(&c.Rows[i].Result))
	}
	return EstimateMean(xs)
}

// Difference compares one metric between two sets of runs, A and B, that are paired by seed and parameters.
type Difference struct {
	Name   string
	A, B   Estimate
	Diff   Estimate // B minus A
	Higher int      // number of pairs in which B is higher
	Lower  int      // number of pairs in which B is lower
}

// Compare pairs the runs of a and b for which key returns the same, and returns the difference of every metric and the
// number of pairs. Runs that have no counterpart are left out and counted in unmatched.
func Compare(a, b []Row, key func(Row) string) (diffs []Difference, pairs, unmatched int) {
	byKey := map[string]Row{}
	for _, r := range a {
		byKey[key(r)] = r
	}
	var matchedA, matchedB []Row
	for _, r := range b {
		if partner, ok := byKey[key(r)]; ok {
			matchedA = append(matchedA, partner)
			matchedB = append(matchedB, r)
		}
	}
	unmatched = len(a) + len(b) - 2*len(matchedA)
	for _, column := range Columns {
		d := Difference{Name: column.Name}
		var valuesA, valuesB, differences []float64
		for i := range matchedA {
			x, y := column.Value(&matchedA[i].Result), column.Value(&matchedB[i].Result)
			valuesA = append(valuesA, x)
			valuesB = append(valuesB, y)
			differences = append(differences, y-x)
			if y > x {
				d.Higher++
			} else if y < x {
				d.Lower++
			}
		}
		d.A = EstimateMean(valuesA)
		d.B = EstimateMean(valuesB)
		d.Diff = EstimateMean(differences)
		diffs = append(diffs, d)
	}
	return diffs, len(matchedA), unmatched
}

// Significant reports whether the confidence interval of the difference excludes 0.
func (d Difference) Significant() bool { return math.Abs(d.Diff.Mean) > d.Diff.HalfWidth }

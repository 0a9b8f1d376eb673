// This file owns what is said of rows: means with their confidence intervals, and differences of pairs. It must never hide
// how many runs a figure rests on.

package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"eiderhaven/lab/tally"
)

// Estimate is a mean with the half width of its 95 % confidence interval (Student's t), over N runs.
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

// Of estimates the mean of xs. With fewer than two the half width is NaN: one run says nothing of spread.
func EstimateMean(xs []float64) Estimate {
	xs = slices.DeleteFunc(slices.Clone(xs), math.IsNaN) // a run that has no such figure
	if len(xs) == 0 {
		return Estimate{Mean: math.NaN(), HalfWidth: math.NaN()}
	}
	mean, std := stat.MeanStdDev(xs, nil)
	if len(xs) < 2 {
		return Estimate{Mean: xs[0], HalfWidth: math.NaN(), N: 1}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(0.975)
	return Estimate{Mean: mean, HalfWidth: t * std / math.Sqrt(float64(len(xs))), N: len(xs)}
}

func (e Estimate) String() string {
	if math.IsNaN(e.Mean) {
		return "-"
	}
	if math.IsNaN(e.HalfWidth) {
		return short(e.Mean)
	}
	return short(e.Mean) + " ± " + short(e.HalfWidth)
}

func short(x float64) string {
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

// Cell is all runs of one combination with one policy.
type Cell struct {
	AxisValues []string
	Policy     string
	Rows       []Row
}

// Cells groups the finished runs, in the plan's order.
func (f *Folder) Cells() []Cell {
	var cells []Cell
	for _, r := range f.Rows() {
		if n := len(cells); n == 0 || !slices.Equal(cells[n-1].AxisValues, r.AxisValues) || cells[n-1].Policy != r.Point.Policy {
			cells = append(cells, Cell{AxisValues: r.AxisValues, Policy: r.Point.Policy})
		}
		last := &cells[len(cells)-1]
		last.Rows = append(last.Rows, r)
	}
	return cells
}

// Figure estimates a figure over a cell's runs.
func (c Cell) Estimate(of func(*tally.Result) float64) Estimate {
	var xs []float64
	for i := range c.Rows {
		xs = append(xs, of(&c.Rows[i].Result))
	}
	return EstimateMean(xs)
}

// Difference is one figure of two sets of runs, paired by seed and parameters.
type Difference struct {
	Name   string
	A, B   Estimate
	Diff   Estimate // B less A
	Higher int      // pairs in which B is higher
	Lower  int
}

// Compare pairs runs and returns the difference of every figure. key tells which runs belong together; runs without a
// partner are left out and counted.
func Compare(a, b []Row, key func(Row) string) (diffs []Difference, pairs, alone int) {
	of := map[string]Row{}
	for _, r := range a {
		of[key(r)] = r
	}
	var left, right []Row
	for _, r := range b {
		if l, ok := of[key(r)]; ok {
			left, right = append(left, l), append(right, r)
		}
	}
	alone = len(a) + len(b) - 2*len(left)
	for _, c := range Columns {
		d := Difference{Name: c.Name}
		var xs, ys, ds []float64
		for i := range left {
			x, y := c.Of(&left[i].Result), c.Of(&right[i].Result)
			xs, ys, ds = append(xs, x), append(ys, y), append(ds, y-x)
			if y > x {
				d.Higher++
			} else if y < x {
				d.Lower++
			}
		}
		d.A, d.B, d.Diff = EstimateMean(xs), EstimateMean(ys), EstimateMean(ds)
		diffs = append(diffs, d)
	}
	return diffs, len(left), alone
}

// Clear tells whether the interval of the difference leaves out 0.
func (d Difference) Significant() bool { return math.Abs(d.Diff.Mean) > d.Diff.HalfWidth }

// Package capacity measures the marginal costs that docs/CAPACITY.md uses for planning: what one more destination, held
// message, change or message per second costs. It contains benchmarks only, which run only on request:
//
//	go test ./internal/capacity -run '^$' -bench . -benchtime 1x -timeout 30m
//
// It must never compare the figures with targets: their interpretation belongs to the page.
package capacity

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat"
)

// printResult prints to standard output, because go test cuts the log of a benchmark after ten lines.
func printResult(format string, args ...any) { fmt.Printf("\n"+format, args...) }

// measure calls run several times for each point (a value of axis) and prints a table for each figure that run returns.
// See formatFit for its content.
func measure(b *testing.B, runs int, axis string, points []int, run func(n int) map[string]float64) {
	b.Helper()
	for b.Loop() {
		samples := map[string][][]float64{} // by name of the figure, then by point
		for i, n := range points {
			for range runs {
				for name, value := range run(n) {
					if samples[name] == nil {
						samples[name] = make([][]float64, len(points))
					}
					samples[name][i] = append(samples[name][i], value)
				}
			}
		}
		var names []string
		for name := range samples {
			names = append(names, name)
		}
		slices.Sort(names)
		var out strings.Builder
		for _, name := range names {
			out.WriteString(formatFit(axis, name, points, samples[name]))
		}
		printResult("%s, %d plays a point\n%s", b.Name(), runs, out.String())
	}
	b.ReportMetric(0, "ns/op") // hidden: the time of the whole benchmark has no meaning
}

// maxLinearDeviation is the largest relative deviation of a median from the fitted line at which the figure still
// counts as linear.
const maxLinearDeviation = 0.2

// formatFit returns a table of one figure: the least-squares line through all samples, and for each point the median,
// the range, and the deviation of the median from the line. The figure is marked as not linear if the median of a point
// in the upper half of the points deviates by more than maxLinearDeviation.
func formatFit(axis, name string, points []int, samples [][]float64) string {
	var out strings.Builder
	var xs, ys []float64
	var medians []float64
	for i, n := range points {
		slices.Sort(samples[i])
		for _, y := range samples[i] {
			xs = append(xs, float64(n))
			ys = append(ys, y)
		}
		medians = append(medians, samples[i][len(samples[i])/2])
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, base, slope)
	fmt.Fprintf(&out, "%s over %s: %.4g + %.4g each, R2 %.4f\n", name, axis, base, slope, r2)
	linear := true
	for i, n := range points {
		fitted := base + slope*float64(n)
		deviation := (medians[i] - fitted) / medians[i]
		if i >= len(points)/2 && math.Abs(deviation) > maxLinearDeviation {
			linear = false
		}
		least, most := samples[i][0], samples[i][len(samples[i])-1]
		fmt.Fprintf(&out, "  %9d  %10.4g  (%.4g to %.4g)  off the line %+.0f%%\n", n, medians[i], least, most, 100*deviation)
	}
	if !linear {
		fmt.Fprintf(&out, "  NO LINE: not to be extended\n")
	}
	return out.String()
}

// liveHeapBytes returns the size of the heap after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// formatQuantiles returns the number and the quantiles of these times, in milliseconds.
func formatQuantiles(times []time.Duration) string {
	slices.Sort(times)
	quantile := func(q float64) float64 {
		index := int(q * float64(len(times)-1))
		return float64(times[index].Microseconds()) / 1000
	}
	return fmt.Sprintf("n %d, least %.1f, median %.1f, p90 %.1f, p99 %.1f, most %.1f ms",
		len(times), quantile(0), quantile(0.5), quantile(0.9), quantile(0.99), quantile(1))
}

// Package capacity measures the slopes that docs/CAPACITY.md plans with: what one more destination, held message, change or
// message a second costs. It holds benchmarks alone, which play only when asked for:
//
//	go test ./internal/capacity -run '^$' -bench . -benchtime 1x -timeout 30m
//
// It must never judge: what the figures mean is the page's.
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

// say prints what was measured: a benchmark's own log is cut after ten lines.
func say(format string, args ...any) { fmt.Printf("\n"+format, args...) }

// measure plays each point several times and logs a table for each figure: the median and the spread at each point, the line of
// least squares through all plays, and how far the medians lie off it at most. A line that is off by more than a fifth somewhere in
// the upper half of the points is said to be none.
func measure(b *testing.B, plays int, axis string, points []int, play func(n int) map[string]float64) {
	b.Helper()
	for b.Loop() {
		seen := map[string][][]float64{}
		for i, n := range points {
			for range plays {
				for name, v := range play(n) {
					if seen[name] == nil {
						seen[name] = make([][]float64, len(points))
					}
					seen[name][i] = append(seen[name][i], v)
				}
			}
		}
		var names []string
		for name := range seen {
			names = append(names, name)
		}
		slices.Sort(names)
		var out strings.Builder
		for _, name := range names {
			out.WriteString(fitted(axis, name, points, seen[name]))
		}
		say("%s, %d plays a point\n%s", b.Name(), plays, out.String())
	}
	b.ReportMetric(0, "ns/op") // the time of the whole says nothing
}

func fitted(axis, name string, points []int, seen [][]float64) string {
	var out strings.Builder
	var xs, ys []float64
	var medians []float64
	for i, n := range points {
		slices.Sort(seen[i])
		for _, y := range seen[i] {
			xs, ys = append(xs, float64(n)), append(ys, y)
		}
		medians = append(medians, seen[i][len(seen[i])/2])
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	fmt.Fprintf(&out, "%s over %s: %.4g + %.4g each, R2 %.4f\n", name, axis, base, slope, stat.RSquared(xs, ys, nil, base, slope))
	bent := false
	for i, n := range points {
		line := base + slope*float64(n)
		off := (medians[i] - line) / medians[i]
		bent = bent || i >= len(points)/2 && math.Abs(off) > 0.2
		fmt.Fprintf(&out, "  %9d  %10.4g  (%.4g to %.4g)  off the line %+.0f%%\n", n, medians[i], seen[i][0], seen[i][len(seen[i])-1], 100*off)
	}
	if bent {
		fmt.Fprintf(&out, "  NO LINE: not to be extended\n")
	}
	return out.String()
}

// heap is what is live after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// quantiles of what was seen, in milliseconds.
func quantiles(seen []time.Duration) string {
	slices.Sort(seen)
	at := func(q float64) float64 { return float64(seen[int(q*float64(len(seen)-1))].Microseconds()) / 1000 }
	return fmt.Sprintf("n %d, least %.1f, median %.1f, p90 %.1f, p99 %.1f, most %.1f ms", len(seen), at(0), at(0.5), at(0.9), at(0.99), at(1))
}

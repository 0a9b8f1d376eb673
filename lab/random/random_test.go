package random

import (
	"math"
	"testing"
	"time"
)

func TestDistributionsHaveTheirMean(t *testing.T) {
	for name, d := range map[string]Distribution{
		"constant":    NewConstant(80 * time.Millisecond),
		"exponential": NewExponential(80 * time.Millisecond),
		"lognormal":   NewLognormal(80*time.Millisecond, 0.7),
		"uniform":     NewUniform(40*time.Millisecond, 120*time.Millisecond),
		"histogram": NewHistogram([]time.Duration{60 * time.Millisecond, 120 * time.Millisecond, time.Second},
			[]float64{3, 3, 0.2}),
	} {
		r := Stream(1, name, 0)
		var sum float64
		const n = 200_000
		for range n {
			sum += d.Draw(r).Seconds()
		}
		if got, want := sum/n, d.Mean().Seconds(); math.Abs(got-want) > 0.01*want {
			t.Errorf("%s: mean %.5f s, want %.5f", name, got, want)
		}
	}
}

func TestStreamsOfActorsAreIndependent(t *testing.T) {
	if a, b := Stream(1, "x", 0).Uint64(), Stream(1, "x", 1).Uint64(); a == b {
		t.Error("two actors got the same draw")
	}
	if a, b := Stream(1, "x", 0).Uint64(), Stream(1, "x", 0).Uint64(); a != b {
		t.Error("one actor got different draws from the same seed")
	}
}

func TestChoiceFollowsWeights(t *testing.T) {
	c, r, n := NewChoice([]float64{1, 0, 3}), Stream(2, "choice", 0), [3]int{}
	for range 40_000 {
		n[c.Pick(r)]++
	}
	if n[1] != 0 || math.Abs(float64(n[2])/float64(n[0])-3) > 0.15 {
		t.Errorf("picked %v, want 1 : 0 : 3", n)
	}
}

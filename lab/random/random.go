// Package random owns the model's chance: a stream of its own for each actor, and the distributions that a scenario may
// name. It must never share a stream between actors, or a change in one would shift the draws of another.
package random

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stream returns the random source of one named actor in a run. The same seed, name and number give the same draws.
func Stream(seed uint64, name string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name)) // never fails, by its contract
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(n)*0x9e3779b97f4a7c15+1))
}

// Shape names a distribution.
type Shape string

// The distributions.
const (
	Constant    Shape = "constant"
	Exponential Shape = "exponential"
	Lognormal   Shape = "lognormal"
	Uniform     Shape = "uniform"
	Histogram   Shape = "histogram"
)

// Times draws durations.
type Distribution struct {
	shape Shape
	mean  float64 // seconds
	cv    float64
	mu    float64
	sigma float64
	low   float64
	high  float64
	steps []float64 // upper bound of each step of a histogram, seconds; each starts where the one before ends
	cum   []float64 // cumulated weights, the last is 1
}

// Fixed always draws d.
func NewConstant(d time.Duration) Distribution {
	return Distribution{shape: Constant, mean: d.Seconds()}
}

// Exp draws from an exponential distribution.
func NewExponential(mean time.Duration) Distribution {
	return Distribution{shape: Exponential, mean: mean.Seconds()}
}

// Log draws from a lognormal distribution with a mean and a coefficient of variation (standard deviation over mean).
func NewLognormal(mean time.Duration, cv float64) Distribution {
	s2 := math.Log1p(cv * cv)
	return Distribution{shape: Lognormal, mean: mean.Seconds(), cv: cv, mu: math.Log(mean.Seconds()) - s2/2, sigma: math.Sqrt(s2)}
}

// Between draws evenly from a range.
func NewUniform(low, high time.Duration) Distribution {
	return Distribution{shape: Uniform, mean: (low + high).Seconds() / 2, low: low.Seconds(), high: high.Seconds()}
}

// Steps draws from a histogram: a step is chosen by weight, a time within it evenly. Step i ends at bounds[i] and starts
// where the one before ends, the first at 0. Weights need not sum to 1.
func NewHistogram(bounds []time.Duration, weights []float64) Distribution {
	t := Distribution{shape: Histogram}
	var sum, low float64
	for _, w := range weights {
		sum += w
	}
	acc := 0.0
	for i, b := range bounds {
		p := weights[i] / sum
		acc += p
		t.steps, t.cum = append(t.steps, b.Seconds()), append(t.cum, acc)
		t.mean += p * (low + b.Seconds()) / 2
		low = b.Seconds()
	}
	return t
}

// Mean is the mean of the distribution.
func (t Distribution) Mean() time.Duration { return seconds(t.mean) }

// Draw returns one duration, never negative.
func (t Distribution) Draw(r *rand.Rand) time.Duration {
	switch t.shape {
	case Exponential:
		return seconds(distuv.Exponential{Rate: 1 / max(t.mean, 1e-12), Src: r}.Rand())
	case Lognormal:
		return seconds(distuv.LogNormal{Mu: t.mu, Sigma: t.sigma, Src: r}.Rand())
	case Uniform:
		return seconds(t.low + (t.high-t.low)*r.Float64())
	case Histogram:
		return seconds(t.fromHistogram(r.Float64(), r.Float64()))
	}
	return seconds(t.mean)
}

func (t Distribution) fromHistogram(which, within float64) float64 {
	low := 0.0
	for i, c := range t.cum {
		if which < c || i == len(t.cum)-1 {
			return low + (t.steps[i]-low)*within
		}
		low = t.steps[i]
	}
	return 0
}

func seconds(x float64) time.Duration {
	return time.Duration(min(max(x, 0), 1e8) * float64(time.Second))
}

// Zipf returns n weights that fall with rank to the power s and sum to 1; s of 0 makes all even.
func Zipf(n int, s float64) []float64 {
	w := make([]float64, n)
	var sum float64
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}

// Choice picks an index by weight.
type Choice struct{ cum []float64 }

// NewChoice builds one; weights need not sum to 1. Without any positive weight it always picks 0.
func NewChoice(weights []float64) *Choice {
	c := &Choice{cum: make([]float64, len(weights))}
	var sum float64
	for i, w := range weights {
		sum += max(w, 0)
		c.cum[i] = sum
	}
	return c
}

// Pick draws an index.
func (c *Choice) Pick(r *rand.Rand) int {
	if len(c.cum) == 0 {
		return 0
	}
	x := r.Float64() * c.cum[len(c.cum)-1]
	low, high := 0, len(c.cum)-1
	for low < high {
		mid := (low + high) / 2
		if c.cum[mid] > x {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

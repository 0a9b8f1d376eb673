// Package random owns the simulator's randomness: a separate stream for each actor, and the distributions that a
// scenario may name. Actors must never share a stream, or a change in one would shift the draws of another.
package random

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// streamSpread is the odd 64-bit golden-ratio constant; it spreads consecutive actor numbers over the seed space.
const streamSpread = 0x9e3779b97f4a7c15

// Stream returns the random source of one named actor in a run. The same seed, name and number give the same draws.
func Stream(seed uint64, name string, n int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(name)) // hash.Hash never returns an error
	return rand.New(rand.NewPCG(seed^h.Sum64(), uint64(n)*streamSpread+1))
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

// Distribution draws durations. All its values are in seconds.
type Distribution struct {
	shape      Shape
	mean       float64
	cv         float64 // coefficient of variation
	mu         float64 // mean of the logarithm, for lognormal
	sigma      float64 // standard deviation of the logarithm, for lognormal
	low        float64
	high       float64
	bounds     []float64 // upper bound of each histogram step; a step starts where the previous one ends
	cumulative []float64 // cumulative weights of the histogram steps; the last is 1
}

// NewConstant returns a distribution that always draws d.
func NewConstant(d time.Duration) Distribution {
	return Distribution{shape: Constant, mean: d.Seconds()}
}

// NewExponential returns an exponential distribution.
func NewExponential(mean time.Duration) Distribution {
	return Distribution{shape: Exponential, mean: mean.Seconds()}
}

// NewLognormal returns a lognormal distribution with a mean and a coefficient of variation (standard deviation over
// mean).
func NewLognormal(mean time.Duration, cv float64) Distribution {
	variance := math.Log1p(cv * cv) // of the logarithm
	return Distribution{
		shape: Lognormal,
		mean:  mean.Seconds(),
		cv:    cv,
		mu:    math.Log(mean.Seconds()) - variance/2,
		sigma: math.Sqrt(variance),
	}
}

// NewUniform returns a uniform distribution over a range.
func NewUniform(low, high time.Duration) Distribution {
	return Distribution{shape: Uniform, mean: (low + high).Seconds() / 2, low: low.Seconds(), high: high.Seconds()}
}

// NewHistogram returns a distribution that chooses a step by weight and a time uniformly within it. Step i ends at
// bounds[i] and starts where the previous one ends, the first at 0. Weights need not sum to 1.
func NewHistogram(bounds []time.Duration, weights []float64) Distribution {
	d := Distribution{shape: Histogram}
	var sum, low float64
	for _, w := range weights {
		sum += w
	}
	cumulative := 0.0
	for i, b := range bounds {
		p := weights[i] / sum
		cumulative += p
		d.bounds = append(d.bounds, b.Seconds())
		d.cumulative = append(d.cumulative, cumulative)
		d.mean += p * (low + b.Seconds()) / 2
		low = b.Seconds()
	}
	return d
}

// Mean returns the mean of the distribution.
func (d Distribution) Mean() time.Duration { return seconds(d.mean) }

// minMean keeps the rate of an exponential distribution finite, in seconds.
const minMean = 1e-12

// Draw returns one duration, never negative.
func (d Distribution) Draw(r *rand.Rand) time.Duration {
	switch d.shape {
	case Exponential:
		return seconds(distuv.Exponential{Rate: 1 / max(d.mean, minMean), Src: r}.Rand())
	case Lognormal:
		return seconds(distuv.LogNormal{Mu: d.mu, Sigma: d.sigma, Src: r}.Rand())
	case Uniform:
		return seconds(d.low + (d.high-d.low)*r.Float64())
	case Histogram:
		return seconds(d.drawHistogram(r.Float64(), r.Float64()))
	}
	return seconds(d.mean)
}

// drawHistogram maps two uniform draws to a time: the first selects the step, the second the position within it.
func (d Distribution) drawHistogram(step, position float64) float64 {
	low := 0.0
	for i, c := range d.cumulative {
		if step < c || i == len(d.cumulative)-1 {
			return low + (d.bounds[i]-low)*position
		}
		low = d.bounds[i]
	}
	return 0
}

// maxSeconds bounds a drawn duration (about three years) so that model time cannot overflow.
const maxSeconds = 1e8

func seconds(x float64) time.Duration {
	return time.Duration(min(max(x, 0), maxSeconds) * float64(time.Second))
}

// Zipf returns n weights that sum to 1; the weight of rank i is proportional to i to the power -s. With s = 0 all
// weights are equal.
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
type Choice struct{ cumulative []float64 }

// NewChoice returns a choice over the weights, which need not sum to 1. Without a positive weight it always picks 0.
func NewChoice(weights []float64) *Choice {
	c := &Choice{cumulative: make([]float64, len(weights))}
	var sum float64
	for i, w := range weights {
		sum += max(w, 0)
		c.cumulative[i] = sum
	}
	return c
}

// Pick draws an index.
func (c *Choice) Pick(r *rand.Rand) int {
	if len(c.cumulative) == 0 {
		return 0
	}
	x := r.Float64() * c.cumulative[len(c.cumulative)-1]
	low, high := 0, len(c.cumulative)-1
	for low < high {
		mid := (low + high) / 2
		if c.cumulative[mid] > x {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

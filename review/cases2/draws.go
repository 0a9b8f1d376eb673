// This file owns the random draws of the stand-ins.

package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
)

// draws draws random numbers from a seed, for several goroutines. What they are used for also depends on the order in which
// the goroutines come.
type draws struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// chance draws from the seed in the environment, SEED, which is 1 without it.
var chance = newDraws(os.Getenv("SEED"))

func newDraws(text string) *draws {
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		seed = 1
	}
	return &draws{rng: rand.New(rand.NewPCG(seed, 0))}
}

// share draws from 0 to 1.
func (d *draws) share() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// below draws a number from 0 to n-1.
func (d *draws) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

// exponential draws from an exponential distribution with mean 1.
func (d *draws) exponential() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.ExpFloat64()
}

// normal draws from the standard normal distribution.
func (d *draws) normal() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.NormFloat64()
}

// This file owns the fault "surge": the traffic changes by a factor.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("surge", "traffic jumps; size: how many times (above 0; below 1 it falls)",
		sizeWithin(0.01, 1000, "how many times the traffic is expected from 0.01 to 1000"),
		func(env *Environment, t scenario.Trouble, _ *rand.Rand) func() {
			env.Clients.RateFactor *= t.Size
			return func() { env.Clients.RateFactor /= t.Size }
		})
}

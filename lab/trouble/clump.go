// This file owns the fault "clump": many messages for one destination are submitted at once.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("clump", "a heap of messages comes at once for each destination struck; size: how many",
		sizeWithin(1, 100_000, "the number of messages is expected from 1 to 100000"),
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			seen := map[int]bool{}
			for _, ep := range env.selectEndpoints(t, r) {
				if d := ep.Unit.Dest; !seen[d] {
					seen[d] = true
					env.Clients.SubmitClump(d, int(t.Size))
				}
			}
			return func() {}
		})
}

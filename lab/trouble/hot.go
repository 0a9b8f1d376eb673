// This file owns the fault "hot": a few destinations get an additional share of the messages.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("hot", "some destinations draw a further share of all messages; size: that share (above 0 to 0.9), part: of the destinations",
		sizeWithin(0.001, 0.9, "the share of messages is expected above 0 and at most 0.9"),
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			var dests []int
			seen := map[int]bool{}
			for _, ep := range env.selectEndpoints(t, r) {
				if d := ep.Unit.Dest; !seen[d] {
					seen[d], dests = true, append(dests, d)
				}
			}
			changeShare := func(sign float64) {
				for _, d := range dests {
					env.Clients.AddHotShare(d, sign*t.Size/float64(len(dests)))
				}
			}
			changeShare(1)
			return func() { changeShare(-1) }
		})
}

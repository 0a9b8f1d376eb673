// This file owns the fault "limit_cut": the limits of receivers are reduced.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("limit_cut", "limits fall to a part of what they were; size: the part (above 0, below 1)",
		sizeWithin(0.001, 0.999, "the part of the limit that is left is expected above 0 and below 1"),
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			var cut []*receiver.Unit
			affected := affectedUnits(env.selectEndpoints(t, r))
			for _, u := range env.Units() {
				if _, ok := affected[u]; ok {
					cut = append(cut, u)
					u.ScaleLimit(env.Queue.Now(), t.Size)
				}
			}
			return func() {
				for _, u := range cut {
					u.ScaleLimit(env.Queue.Now(), 1)
				}
			}
		})
}

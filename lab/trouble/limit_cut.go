package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("limit_cut", "limits fall to a part of what they were; size: the part (above 0, below 1)",
		sizeFrom(0.001, 0.999, "the part of the limit that is left is expected above 0 and below 1"),
		func(st *Environment, t scenario.Trouble, r *rand.Rand) func() {
			var cut []*receiver.Unit
			whole := units(st.endpoints(t, r))
			for _, u := range st.Units() {
				if _, struck := whole[u]; struck {
					cut = append(cut, u)
					u.ScaleLimit(st.Queue.Now(), t.Size)
				}
			}
			return func() {
				for _, u := range cut {
					u.ScaleLimit(st.Queue.Now(), 1)
				}
			}
		})
}

package trouble

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/scenario"
)

func init() {
	register("restart", "senders are killed one after another over the trouble's length; part: of them; extra: how long each is down; size: 1 if their state outlasts them, 0 if not",
		sizeFrom(0, 1, "1 (state kept) or 0 is expected"),
		func(st *Environment, t scenario.Trouble, r *rand.Rand) func() {
			order := r.Perm(st.Senders)
			n := max(1, int(t.Part*float64(st.Senders)+0.5))
			for i, s := range order[:min(n, len(order))] {
				at := time.Duration(float64(t.For) * float64(i) / float64(n))
				st.line.After(at, func() {
					st.Log("sender %d is killed", s)
					st.StopSender(s, t.Size >= 1)
					st.line.After(t.Extra.D(), func() { st.StartSender(s) })
				})
			}
			return func() {}
		})
}

// This file owns the fault "restart": senders are killed and started again, one after another.

package trouble

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/scenario"
)

func init() {
	register("restart", "senders are killed one after another over the trouble's length; part: of them; extra: how long each is down; size: 1 if their state outlasts them, 0 if not",
		sizeWithin(0, 1, "1 (state kept) or 0 is expected"),
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			order := r.Perm(env.Senders)
			n := max(1, int(t.Part*float64(env.Senders)+0.5))
			for i, s := range order[:min(n, len(order))] {
				at := time.Duration(float64(t.For) * float64(i) / float64(n))
				env.scheduler.After(at, func() {
					env.Log("sender %d is killed", s)
					env.StopSender(s, t.Size >= 1)
					env.scheduler.After(t.Extra.D(), func() { env.StartSender(s) })
				})
			}
			return func() {}
		})
}

// This file owns the fault "pauses": endpoints pause for a short time again and again.

package trouble

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/scenario"
)

func init() {
	register("pauses", "endpoints stand still again and again; size: seconds from one pause to the next (0.01 to 3600), extra: how long each is",
		func(t scenario.Trouble) string {
			if t.Size < 0.01 || t.Size > 3600 || t.Extra <= 0 || t.Extra.D().Seconds() >= t.Size {
				return "size: seconds between pauses are expected from 0.01 to 3600, and extra above 0 and shorter than that"
			}
			return ""
		},
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			eps := env.selectEndpoints(t, r)
			ended := false
			var pause func()
			pause = func() {
				if ended {
					return
				}
				for _, ep := range eps {
					ep.Pause()
				}
				env.scheduler.After(t.Extra.D(), func() {
					for _, ep := range eps {
						ep.Resume()
					}
				})
				env.scheduler.After(time.Duration(t.Size*float64(time.Second)), pause)
			}
			pause()
			return func() { ended = true }
		})
}

// This file owns the fault "drain": endpoints are drained and replaced, one after another.

package trouble

import (
	"math/rand/v2"
	"time"

	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

func init() {
	register("drain", "endpoints are drained one after another over the trouble's length, and replaced by new ones; extra: how long each drains before it goes", nil,
		func(env *Environment, t scenario.Trouble, r *rand.Rand) func() {
			eps := env.selectEndpoints(t, r)
			for i, ep := range eps {
				at := time.Duration(float64(t.For) * float64(i) / float64(len(eps)))
				env.scheduler.After(at, func() { replaceEndpoint(env, ep, t.Extra.D()) })
			}
			return func() {}
		})
}

// replaceEndpoint lists a new endpoint in place of an old one, which drains for a time and is then removed.
func replaceEndpoint(env *Environment, old *receiver.Endpoint, drainTime time.Duration) {
	entry, known := env.Registry.Entry(old.ID)
	if !known || old.Removed || old.Draining {
		return
	}
	replacement := env.Replace(old)
	next := entry
	next.Endpoint, next.Draining, next.Gone = replacement.ID, false, false
	env.Registry.Set(next)
	entry.Draining = true
	old.Draining = true
	env.Registry.Set(entry)
	env.scheduler.After(drainTime, func() { removeEndpoint(env, old, entry) })
}

func removeEndpoint(env *Environment, old *receiver.Endpoint, entry rules.Entry) {
	entry.Gone = true
	env.Registry.Set(entry)
	old.Remove()
}

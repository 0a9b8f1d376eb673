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
		func(st *Environment, t scenario.Trouble, r *rand.Rand) func() {
			eps := st.endpoints(t, r)
			for i, ep := range eps {
				at := time.Duration(float64(t.For) * float64(i) / float64(len(eps)))
				st.line.After(at, func() { replace(st, ep, t.Extra.D()) })
			}
			return func() {}
		})
}

// replace lists a new endpoint, drains the old one, and takes it away after a while.
func replace(st *Environment, old *receiver.Endpoint, after time.Duration) {
	entry, known := st.Registry.Entry(old.ID)
	if !known || old.Removed || old.Draining {
		return
	}
	fresh := st.Replace(old)
	next := entry
	next.Endpoint, next.Draining, next.Gone = fresh.ID, false, false
	st.Registry.Set(next)
	entry.Draining = true
	old.Draining = true
	st.Registry.Set(entry)
	st.line.After(after, func() { remove(st, old, entry) })
}

func remove(st *Environment, old *receiver.Endpoint, entry rules.Entry) {
	entry.Gone = true
	st.Registry.Set(entry)
	old.Remove()
}

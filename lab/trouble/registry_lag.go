package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("registry_lag", "changes to the list are told later; extra: how much later", nil,
		func(st *Environment, t scenario.Trouble, _ *rand.Rand) func() {
			st.Registry.ExtraLag += t.Extra.D()
			return func() { st.Registry.ExtraLag -= t.Extra.D() }
		})
}

// This file owns the fault "registry_lag": changes of the endpoint list reach senders later.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("registry_lag", "changes to the list are told later; extra: how much later", nil,
		func(env *Environment, t scenario.Trouble, _ *rand.Rand) func() {
			env.Registry.ExtraLag += t.Extra.D()
			return func() { env.Registry.ExtraLag -= t.Extra.D() }
		})
}

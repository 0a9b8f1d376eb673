// This file owns the fault "registry_silence": the registry sends no changes of the endpoint list and fails all calls.

package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("registry_silence", "nobody hears of changes to the list, and calls to the registry fail", nil,
		func(env *Environment, _ scenario.Trouble, _ *rand.Rand) func() {
			env.Registry.Unreachable++
			return func() {
				if env.Registry.Unreachable--; env.Registry.Unreachable == 0 {
					env.Registry.ResumeUpdates()
				}
			}
		})
}

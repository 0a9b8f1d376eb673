package trouble

import (
	"math/rand/v2"

	"eiderhaven/lab/scenario"
)

func init() {
	register("registry_silence", "nobody hears of changes to the list, and calls to the registry fail", nil,
		func(st *Environment, _ scenario.Trouble, _ *rand.Rand) func() {
			st.Registry.Unreachable++
			return func() {
				if st.Registry.Unreachable--; st.Registry.Unreachable == 0 {
					st.Registry.ResumeUpdates()
				}
			}
		})
}

// This file owns the fault "slow": service takes longer.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("slow", "service takes longer; size: how many times (above 1)",
		sizeWithin(1.001, 1000, "how many times slower is expected above 1, at most 1000"),
		perEndpoint(never,
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.Slowdown *= t.Size },
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.Slowdown /= t.Size }))
}

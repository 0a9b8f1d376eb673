// This file owns the fault "shut": endpoints refuse all calls.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("shut", "endpoints turn every call away as full; they come back cold; size: 1 if they tell to wait until then, as often as limit.tells says, 0 if not",
		sizeWithin(0, 1, "1 (a wait is told) or 0 is expected"),
		perEndpoint(always,
			func(ep *receiver.Endpoint, t scenario.Trouble) {
				if ep.RefusingCalls++; t.Size >= 1 {
					ep.AnnounceReopening(t.For.D())
				}
			},
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.RefusingCalls-- }))
}

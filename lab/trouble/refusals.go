// This file owns the fault "refusals": a share of the calls is turned away.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("refusals", "calls are turned away as full, by chance, and no wait is told; size: the share that is (above 0 to 1). From 0.5 on it is an outage, and they come back cold",
		sizeWithin(0.001, 1, "the share of calls that are turned away is expected above 0 and at most 1"),
		perEndpoint(sizeIsOutage,
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.RefusedShare += t.Size },
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.RefusedShare = max(0, ep.RefusedShare-t.Size) }))
}

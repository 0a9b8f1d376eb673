// This file owns the fault "errors": a share of the calls fails at once.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("errors", "calls fail at once, by chance; size: the share that does (above 0 to 1). From 0.5 on it is an outage, and they come back cold",
		sizeWithin(0.001, 1, "the share of calls that fail is expected above 0 and at most 1"),
		perEndpoint(sizeIsOutage,
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.ErrorShare += t.Size },
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.ErrorShare = max(0, ep.ErrorShare-t.Size) }))
}

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("errors", "calls fail at once, by chance; size: the share that does (above 0 to 1). From 0.5 on it is an outage, and they come back cold",
		sizeFrom(0.001, 1, "the share of calls that fail is expected above 0 and at most 1"),
		onEndpoints(func(t scenario.Trouble) bool { return t.Size >= 0.5 },
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.ErrorShare += t.Size },
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.ErrorShare = max(0, ep.ErrorShare-t.Size) }))
}

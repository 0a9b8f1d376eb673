// This file owns the fault "lost_answers": calls are served, but a share of the answers is lost.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("lost_answers", "calls are served, and their answers never come, by chance; size: the share that is lost (above 0 to 1)",
		sizeWithin(0.001, 1, "the share of answers lost is expected above 0 and at most 1"),
		perEndpoint(sizeIsOutage,
			func(ep *receiver.Endpoint, t scenario.Trouble) { ep.LostAnswerShare += t.Size },
			func(ep *receiver.Endpoint, t scenario.Trouble) {
				ep.LostAnswerShare = max(0, ep.LostAnswerShare-t.Size)
			}))
}

// This file owns the fault "vanish": machines are cut off from the network and restart cold.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("vanish", "machines are cut off: no answer and no reset, open connections stay open and silent; they come back cold", nil,
		perEndpoint(always,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Vanish() },
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Reappear() }))
}

// This file owns the fault "crash": receiver processes die and restart cold.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("crash", "processes die and come back cold: calls are reset, connects refused", nil,
		perEndpoint(always,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Crash() },
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Restart() }))
}

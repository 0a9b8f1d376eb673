// This file owns the fault "broken_connections": connections that are open break without notice, new ones work.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("broken_connections", "connections that are open now stay open and reach nobody any more; new ones work. It has no end to undo", nil,
		perEndpoint(never,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.BreakConnections() },
			func(*receiver.Endpoint, scenario.Trouble) {}))
}

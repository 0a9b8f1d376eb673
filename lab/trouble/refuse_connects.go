// This file owns the fault "refuse_connects": new connections are refused, open ones keep working.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("refuse_connects", "new connections are refused; those that are open go on working", nil,
		perEndpoint(never,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.RefusingConnects++ },
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.RefusingConnects-- }))
}

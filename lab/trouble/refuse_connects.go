package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("refuse_connects", "new connections are refused; those that are open go on working", nil,
		onEndpoints(never,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.RefusingConnects++ },
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.RefusingConnects-- }))
}

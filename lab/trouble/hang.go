// This file owns the fault "hang": endpoints accept calls and answer none until they are restarted.

package trouble

import (
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
)

func init() {
	register("hang", "endpoints take calls and answer none; at the end they are restarted, reset what they had, and are cold", nil,
		perEndpoint(always,
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Hang() },
			func(ep *receiver.Endpoint, _ scenario.Trouble) { ep.Unhang() }))
}

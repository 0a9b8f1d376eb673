// This file owns the floor: one try for each message, in order of arrival.

package baseline

import (
	"time"

	"eiderhaven/rules"
)

// Once returns the policy that tries each message once.
func Once(set rules.Settings) *frame { return newFrame(set, once{}) }

type once struct{}

func (once) may(*frame, *msg, *endpoint) bool { return true }
func (once) sent(*frame, *endpoint)           {}
func (once) timeout(*msg) time.Duration       { return 0 }
func (once) ended(*frame, *msg, *endpoint, rules.AttemptEnded) (bool, time.Duration) {
	return false, 0
}

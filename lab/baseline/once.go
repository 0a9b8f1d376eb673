// This file owns the policy that marks the lower end of the comparison: one attempt for each message, in order of
// arrival.

package baseline

import (
	"time"

	"eiderhaven/rules"
)

// Once returns the policy that sends each message once.
func Once(set rules.Settings) *engine { return newEngine(set, once{}) }

type once struct{}

func (once) maySend(*engine, *message, *endpoint) bool { return true }
func (once) onCallSent(*engine, *endpoint)             {}
func (once) timeout(*message) time.Duration            { return 0 }
func (once) onAttemptEnded(*engine, *message, *endpoint, rules.AttemptEnded) (bool, time.Duration) {
	return false, 0
}

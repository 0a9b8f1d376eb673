// This file owns the valid range of each settings key. It must never change a value.

package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// checkRanges returns nil, or one error that names every key out of range with its value and the allowed ones.
func (e *envFields) checkRanges() error {
	const maxCount = 1_000_000
	const hour = 3600 * 1_000_000 // in microseconds, the unit of times in the settings
	var problems []string
	requireRange := func(key string, value, lowest, highest float64) {
		if value < lowest || value > highest {
			problems = append(problems, fmt.Sprintf("%s is %.10g, want %.10g to %.10g", key, value, lowest, highest))
		}
	}
	requireOneOf := func(key, value string, allowed ...string) {
		if value != "" && !slices.Contains(allowed, value) {
			problems = append(problems, fmt.Sprintf("%s is %q, want one of %q", key, value, allowed))
		}
	}
	requireOneOf("weights", e.Weights, "silent", "nominal", "rough")
	requireOneOf("registry_mode", e.RegistryMode, "push", "ask")
	requireOneOf("extra.late", e.Extra.Late, "linear", "halving")
	requireRange("balancers", float64(e.Balancers), 1, maxCount)
	requireRange("extra.slots", float64(e.Extra.Slots), 1, maxCount)
	requireRange("allowed.max_open", float64(e.Allowed.MaxOpen), 1, maxCount)
	requireRange("tick_us", float64(e.Tick), 1, hour)
	requireRange("allowed.connect_timeout_us", float64(e.Allowed.ConnectTimeout), 0, hour)
	requireRange("safety.cold_share", e.Safety.ColdShare, 0, 1)
	requireRange("safety.drain_grace_us", float64(e.Safety.DrainGrace), 0, hour)
	requireRange("safety.fall_us", float64(e.Safety.Fall), 0, hour)
	requireRange("safety.order_pause_us", float64(e.Safety.OrderPause), 0, hour)
	// Below 1 any load would overload a recovering destination.
	requireRange("safety.overload_factor", e.Safety.OverloadFactor, 1, 1000)
	requireRange("safety.grace_to_answer_us", float64(e.Safety.AnswerGrace), 0, hour)
	requireRange("safety.ask_every_us", float64(e.Safety.AskEvery), 0, hour)
	requireRange("allowed.keepalive_us", float64(e.Allowed.KeepAlive), 0, hour)
	requireRange("allowed.max_retry_after_us", float64(e.Allowed.MaxRetryAfter), 0, hour)
	requireRange("allowed.max_attempts", float64(e.Allowed.MaxAttempts), 1, maxCount)
	requireRange("safety.warm_up_us", float64(e.Safety.WarmUp), 0, hour)
	requireRange("number of request_classes", float64(len(e.Classes)), 1, maxCount)
	for i, c := range e.Classes {
		key := fmt.Sprintf("request_classes[%d].", i)
		requireRange(key+"deadline_us", float64(c.Deadline), 1, hour)
		requireRange(key+"goal_time_us", float64(c.GoalTime), 0, float64(c.Deadline))
		requireRange(key+"late_worth", c.LateWorth, 0, 1)
		requireRange(key+"window_us", float64(c.Window), 0, hour)
		requireRange(key+"worth", c.Worth, 0, maxCount)
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "; "))
	}
	return nil
}

// This file says which values of the settings a sender cannot work with, by key and range. It must never change one.

package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// check tells what is out of range: nil, or one error that names every such key, what it holds and what it may hold.
func (e *envFields) check() error {
	const most = 1_000_000
	const hour = 3600 * most // in the settings' microseconds
	var wrong []string
	within := func(key string, v, least, most float64) {
		if v < least || v > most {
			wrong = append(wrong, fmt.Sprintf("%s is %.10g, want %.10g to %.10g", key, v, least, most))
		}
	}
	oneOf := func(key, v string, words ...string) {
		if v != "" && !slices.Contains(words, v) {
			wrong = append(wrong, fmt.Sprintf("%s is %q, want one of %q", key, v, words))
		}
	}
	oneOf("weights", e.Weights, "silent", "nominal", "rough")
	oneOf("registry_mode", e.RegistryMode, "push", "ask")
	oneOf("extra.late", e.Extra.Late, "linear", "halving")
	within("balancers", float64(e.Balancers), 1, most)
	within("extra.slots", float64(e.Extra.Slots), 1, most)
	within("allowed.max_open", float64(e.Allowed.MaxOpen), 1, most)
	within("tick_us", float64(e.Tick), 1, hour)
	within("allowed.connect_timeout_us", float64(e.Allowed.ConnectTimeout), 0, hour)
	within("safety.cold_share", e.Safety.ColdShare, 0, 1)
	within("safety.drain_grace_us", float64(e.Safety.DrainGrace), 0, hour)
	within("safety.fall_us", float64(e.Safety.Fall), 0, hour)
	within("safety.order_pause_us", float64(e.Safety.OrderPause), 0, hour)
	within("safety.overload_factor", e.Safety.OverloadFactor, 1, 1000) // below 1 any load pushes a return over
	within("safety.grace_to_answer_us", float64(e.Safety.AnswerGrace), 0, hour)
	within("safety.ask_every_us", float64(e.Safety.AskEvery), 0, hour)
	within("allowed.keepalive_us", float64(e.Allowed.KeepAlive), 0, hour)
	within("allowed.max_retry_after_us", float64(e.Allowed.MaxRetryAfter), 0, hour)
	within("allowed.max_attempts", float64(e.Allowed.MaxAttempts), 1, most)
	within("safety.warm_up_us", float64(e.Safety.WarmUp), 0, hour)
	within("number of request_classes", float64(len(e.Classes)), 1, most)
	for i, c := range e.Classes {
		key := fmt.Sprintf("request_classes[%d].", i)
		within(key+"deadline_us", float64(c.Deadline), 1, hour)
		within(key+"goal_time_us", float64(c.GoalTime), 0, float64(c.Deadline))
		within(key+"late_worth", c.LateWorth, 0, 1)
		within(key+"window_us", float64(c.Window), 0, hour)
		within(key+"worth", c.Worth, 0, most)
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

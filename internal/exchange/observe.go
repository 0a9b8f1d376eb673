// This file owns what the log and the counters report of the module's decisions. It must never influence one, and
// must never write a line per message above debug level.

package exchange

import (
	"context"
	"log/slog"
)

// observe records changed hard states for the next process, and logs endpoint state changes. It also counts why
// messages ended undelivered.
func (x *Exchange) observe() {
	o := x.sender.Observe()
	x.counts.Deferred += o.Deferred
	x.counts.Transitions += len(o.Transitions)
	for _, t := range o.Suspicions {
		host := x.directory.host(t.Endpoint)
		x.cfg.Log.Info("endpoint suspected", "endpoint", host.Name, "dest", host.Dest, "outcome", outcomeNames[t.Outcome],
			"called_for", t.At-t.SentAt, "answered_before", t.At-t.LastAnsweredAt)
	}
	for _, t := range o.Transitions {
		host := x.directory.host(t.Endpoint)
		x.cfg.Log.Info("endpoint state", "endpoint", host.Name, "dest", host.Dest,
			"from", t.From, "to", t.To, "cause", t.Cause, "failures", t.ConsecutiveFailures,
			"failing_for", t.At-t.FailingSince, "next_call_in", t.CallInterval)
	}
	for _, c := range o.LimitedCalls {
		x.trace("limited call", func() []any {
			host := x.directory.host(c.Endpoint)
			return []any{"endpoint", host.Name, "dest", host.Dest, "state", c.State, "gate", c.Gate, "failures", c.Failures,
				"scope_failures", c.ScopeFailures, "refusals", c.Refusals, "failed_before", c.At - c.LastFailedSent,
				"in_flight", c.InFlight}
		})
	}
	x.recordHardStates(o.HardStates)
	for _, e := range o.Undelivered {
		x.counts.Ended[e.Reason]++
		x.trace("ended", func() []any { return []any{"id", e.ID, "reason", e.Reason} })
	}
}

// trace logs a line about a message at debug level. The fields are built only if that level is enabled.
func (x *Exchange) trace(event string, fields func() []any) {
	if x.cfg.Log.Enabled(context.Background(), slog.LevelDebug) {
		x.cfg.Log.Debug(event, fields()...)
	}
}

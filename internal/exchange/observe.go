// This file owns what the log and the counters say of the module's decisions. It must never change one, and a message has a
// line of its own only where the log is at debug level.

package exchange

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/rules"
)

// observe logs the endpoints whose state has changed, keeps that for the next process, and books why messages ended undelivered.
func (x *Exchange) observe() {
	o := x.sender.Observe()
	x.counts.Deferred += o.Deferred
	x.counts.Transitions += len(o.Transitions)
	for _, t := range o.Transitions {
		host := x.dir.host(t.Endpoint)
		x.cfg.Log.Info("endpoint state", "endpoint", host.Name, "dest", host.Dest, "from", t.From, "to", t.To, "cause", t.Cause,
			"failures", t.ConsecutiveFailures, "failing_for", t.At-t.FailingSince, "next_call_in", t.CallInterval)
	}
	for _, t := range o.Transitions {
		x.remember(t)
	}
	for _, e := range o.Undelivered {
		x.counts.Ended[e.Reason]++
		x.trace("ended", func() []any { return []any{"id", e.ID, "reason", e.Reason} })
	}
}

// remember keeps for the next process which endpoints are out or cold.
func (x *Exchange) remember(t rules.Transition) {
	host := x.dir.host(t.Endpoint).Name
	switch {
	case host == "":
	case t.To == rules.Healthy:
		x.record(x.cfg.Ledger.RecordOutageEnd(host))
	case t.From == rules.Healthy:
		if err := x.cfg.Ledger.RecordOutage(ledger.Outage{Host: host, At: time.Now(), Rate: t.PreOutageRate}); !errors.Is(err, ledger.ErrFull) { // it is a hint
			x.record(err)
		}
	}
}

// trace logs a line about a message at debug level; fields are made only where it is wanted.
func (x *Exchange) trace(what string, fields func() []any) {
	if x.cfg.Log.Enabled(context.Background(), slog.LevelDebug) {
		x.cfg.Log.Debug(what, fields()...)
	}
}

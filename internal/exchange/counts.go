// This file owns the counters and the sums that hold between them. It must never be read by a decision.

package exchange

import (
	"log/slog"
	"maps"

	"eiderhaven/rules"
)

// Counts is what an exchange has done since its start. Three sums hold between two steps: In is Unknown, Duplicate,
// Refused, Failed and Taken; Taken and Recovered are Delivered, Bounced, Dead, Withdrawn, Elsewhere and Held;
// Attempts is what has an outcome, of whichever kind, and what is Out.
type Counts struct {
	Submitted, Unknown, Duplicate, Refused, Failed, Accepted, Recovered int
	Delivered, Bounced, Dead, Withdrawn, FinishedElsewhere              int
	Held, InFlight                                                      int
	Calls, Recalled, Attempts                                           int
	Outcomes                                                            [rules.NotSent + 1]int
	NoticesAccepted, RecordsFailed                                      int
	Ended                                                               map[rules.EndReason]int // undelivered, by reason
	Deferred, Transitions                                               int                     // by slow start, probation or a pause; changes of endpoints' states
}

var outcomeNames = [rules.NotSent + 1]string{
	rules.OK: "ok", rules.Errored: "errored", rules.Refused: "full", rules.TimedOut: "timed_out",
	rules.ConnectError: "no_connection", rules.Reset: "reset", rules.Cancelled: "cancelled", rules.NotSent: "not_sent",
}

// Counts returns the counters. It may be called at any time, also after Run has ended.
func (x *Exchange) Counts() Counts {
	got := make(chan Counts, 1)
	if x.post(func() { got <- x.snapshot() }) {
		select {
		case c := <-got:
			return c
		case <-x.done:
		}
	}
	<-x.done
	return x.snapshot()
}

func (x *Exchange) snapshot() Counts {
	c := x.counts
	c.Ended = maps.Clone(x.counts.Ended)
	c.Held = len(x.held)
	for _, f := range x.flights {
		c.InFlight += len(f.items)
	}
	return c
}

// LogValue gives the counters their names in the log.
func (c Counts) LogValue() slog.Value {
	list := []slog.Attr{
		slog.Int("in", c.Submitted), slog.Int("unknown", c.Unknown), slog.Int("duplicate", c.Duplicate),
		slog.Int("refused", c.Refused), slog.Int("failed", c.Failed), slog.Int("taken", c.Accepted), slog.Int("recovered", c.Recovered),
		slog.Int("delivered", c.Delivered), slog.Int("bounced", c.Bounced), slog.Int("dead", c.Dead),
		slog.Int("withdrawn", c.Withdrawn), slog.Int("elsewhere", c.FinishedElsewhere), slog.Int("held", c.Held),
		slog.Int("calls", c.Calls), slog.Int("recalled", c.Recalled), slog.Int("attempts", c.Attempts), slog.Int("out", c.InFlight),
	}
	for i, name := range outcomeNames {
		list = append(list, slog.Int(name, c.Outcomes[i]))
	}
	for _, why := range rules.EndReasons {
		list = append(list, slog.Int("ended_"+string(why), c.Ended[why]))
	}
	list = append(list, slog.Int("deferred", c.Deferred), slog.Int("transitions", c.Transitions))
	return slog.GroupValue(append(list, slog.Int("noticed", c.NoticesAccepted), slog.Int("unrecorded", c.RecordsFailed))...)
}

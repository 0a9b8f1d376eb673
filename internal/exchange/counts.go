// This file owns the counters and the sums that hold between them. No decision may ever read them.

package exchange

import (
	"log/slog"
	"maps"

	"eiderhaven/rules"
)

// Counts are the counters of an exchange since its start. Three sums hold between two steps:
//
//	Submitted = Unknown + Duplicate + Refused + Failed + Accepted
//	Accepted + Recovered = Delivered + Bounced + Dead + Withdrawn + FinishedElsewhere + Held
//	Attempts = sum of Outcomes + InFlight
type Counts struct {
	Submitted, Unknown, Duplicate, Refused, Failed, Accepted, Recovered int
	Delivered, Bounced, Dead, Withdrawn, FinishedElsewhere              int
	Held, InFlight                                                      int // InFlight counts attempts, not calls
	Unconfirmed                                                         int // of Held: over by an unconfirmed response
	Contradicted                                                        int // attempts whose response was perhaps another call's
	Calls, Recalled, Attempts                                           int

	Outcomes                       [rules.NotSent + 1]int  // attempts, by outcome
	NoticesAccepted, RecordsFailed int                     // RecordsFailed: ledger records that could not be written
	Ended                          map[rules.EndReason]int // undelivered messages, by reason
	Deferred                       int                     // by slow start, probation or a pause
	Transitions                    int                     // changes of endpoint state
	HardStatesRestored             int                     // endpoints whose state an earlier process recorded
	HardStatesOmitted              int                     // changes that the ledger had no room for
}

// outcomeNames are the names of the outcome counters in the log.
var outcomeNames = [rules.NotSent + 1]string{
	rules.OK: "ok", rules.Errored: "errored", rules.Refused: "full", rules.TimedOut: "timed_out",
	rules.ConnectError: "no_connection", rules.Reset: "reset", rules.Cancelled: "cancelled", rules.NotSent: "not_sent",
}

// Counts returns the counters. It may be called at any time, also after Run has ended.
func (x *Exchange) Counts() Counts {
	reply := make(chan Counts, 1)
	if x.post(func() { reply <- x.snapshot() }) {
		select {
		case c := <-reply:
			return c
		case <-x.done:
		}
	}
	<-x.done
	return x.snapshot()
}

// snapshot copies the counters and adds those that are derived from the exchange's state.
func (x *Exchange) snapshot() Counts {
	c := x.counts
	c.Ended = maps.Clone(x.counts.Ended)
	c.Unconfirmed = len(x.unconfirmed)
	c.Held = len(x.held) + c.Unconfirmed
	for _, call := range x.callsInFlight {
		c.InFlight += len(call.attempts)
	}
	return c
}

// LogValue returns the counters under their names in the log.
func (c Counts) LogValue() slog.Value {
	attrs := []slog.Attr{
		slog.Int("in", c.Submitted), slog.Int("unknown", c.Unknown), slog.Int("duplicate", c.Duplicate),
		slog.Int("refused", c.Refused), slog.Int("failed", c.Failed), slog.Int("taken", c.Accepted),
		slog.Int("recovered", c.Recovered),
		slog.Int("delivered", c.Delivered), slog.Int("bounced", c.Bounced), slog.Int("dead", c.Dead),
		slog.Int("withdrawn", c.Withdrawn), slog.Int("elsewhere", c.FinishedElsewhere), slog.Int("held", c.Held),
		slog.Int("calls", c.Calls), slog.Int("recalled", c.Recalled), slog.Int("attempts", c.Attempts),
		slog.Int("out", c.InFlight), slog.Int("unconfirmed", c.Unconfirmed), slog.Int("contradicted", c.Contradicted),
	}
	for outcome, name := range outcomeNames {
		attrs = append(attrs, slog.Int(name, c.Outcomes[outcome]))
	}
	for _, reason := range rules.EndReasons {
		attrs = append(attrs, slog.Int("ended_"+string(reason), c.Ended[reason]))
	}
	attrs = append(attrs, slog.Int("deferred", c.Deferred), slog.Int("transitions", c.Transitions))
	attrs = append(attrs, slog.Int("noticed", c.NoticesAccepted), slog.Int("unrecorded", c.RecordsFailed))
	attrs = append(attrs, slog.Int("states_restored", c.HardStatesRestored), slog.Int("states_omitted", c.HardStatesOmitted))
	return slog.GroupValue(attrs...)
}

// This file owns the verdict on a run: the six rules, crashes and failed starts, by the records of clients and receivers.

package rig

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"eiderhaven/lab/judge"
	"eiderhaven/lab/live"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

// Slack of the rules on sockets, as the protocol page has it.
const (
	lostAfter    = 300 * time.Millisecond  // a message neither delivered nor told of so long after its time is lost
	restartGrace = 1500 * time.Millisecond // and not before a restarted sender was ready for so long
	waitSlack    = 100 * time.Millisecond  // calls so soon after a told wait are let through
	limitSlack   = 50 * time.Millisecond   // by which every limit is extended
	killSlack    = 50 * time.Millisecond   // between a signal and what a client sees of it
)

// Break is one broken rule, crash or failed start.
type Violation struct {
	Rule   string    `json:"rule"`
	At     time.Time `json:"at"`
	Sender int       `json:"sender"`
	ID     string    `json:"id,omitempty"`
	Text   string    `json:"text"`
}

// message is what is known of one message that clients handed in.
type message struct {
	handed    live.RequestRecord
	calls     []*call
	delivered time.Time
	noticed   time.Time
}

// records are all that clients and receivers saw of a run.
type records struct {
	s       *scenario.Scenario
	w       *watcher
	handed  []live.RequestRecord
	notices [][]platform.Notice // by sender
	lives   [][]span            // by sender
	ended   time.Time           // of the run
}

// verdict returns what was broken.
func (r *records) verdict() (breaks []Violation) {
	messages := r.join()
	for _, f := range r.w.falls {
		if f.RuleBroken {
			breaks = append(breaks, Violation{Rule: judge.RecoveryOverload.String(), At: f.At, Sender: -1, Text: f.String()})
		}
	}
	for id, m := range messages {
		breaks = append(breaks, r.lost(id, m)...)
		breaks = append(breaks, r.doubled(id, m)...)
	}
	breaks = append(breaks, r.unanswered()...)
	breaks = append(breaks, r.drained()...)
	breaks = append(breaks, r.hasty()...)
	slices.SortFunc(breaks, func(a, b Violation) int { return a.At.Compare(b.At) })
	return breaks
}

// join brings together what was seen of each message.
func (r *records) join() map[string]*message {
	all := map[string]*message{}
	for _, h := range r.handed {
		all[h.ID] = &message{handed: h}
	}
	for _, c := range r.w.calls {
		for _, id := range c.IDs {
			m := all[id]
			if m == nil {
				continue
			}
			m.calls = append(m.calls, c)
			if c.what == rules.OK && c.Outcome == "served" && m.delivered.IsZero() {
				m.delivered = c.EndedAt
			}
		}
	}
	for _, list := range r.notices {
		for _, n := range list {
			var x struct{ Ref string }
			if json.Unmarshal([]byte(n.Line), &x) == nil && all[x.Ref] != nil && all[x.Ref].noticed.IsZero() {
				all[x.Ref].noticed = n.At
			}
		}
	}
	return all
}

// taken tells whether the answer to a request means that the sender owes the message its end.
func taken(h live.RequestRecord) bool { return h.Status == 200 || h.Status == 202 }

// lost holds rule 1 for a message that was taken on.
func (r *records) lost(id string, m *message) []Violation {
	if !taken(m.handed) {
		return nil
	}
	due := r.dueBy(m.handed.Sender, m.handed.Deadline.Add(lostAfter))
	end := m.delivered
	if end.IsZero() || !m.noticed.IsZero() && m.noticed.Before(end) {
		end = m.noticed
	}
	switch {
	case end.IsZero() && r.ended.After(due):
		return []Violation{{judge.LostMessage.String(), due, m.handed.Sender, id, fmt.Sprintf("taken at %s, due %s, never ended; %d calls", stamp(m.handed.Over), stamp(m.handed.Deadline), len(m.calls))}}
	case !end.IsZero() && end.After(due):
		return []Violation{{judge.LostMessage.String(), end, m.handed.Sender, id, fmt.Sprintf("ended %v after its time", end.Sub(m.handed.Deadline).Round(time.Millisecond))}}
	}
	return nil
}

// dueBy is when a sender's end of a message is overdue: not from the signal of a restart until some time after it is ready again.
func (r *records) dueBy(sender int, due time.Time) time.Time {
	spans := r.lives[sender]
	for i, s := range spans {
		stopped := s.asked
		if stopped.IsZero() {
			stopped = s.ended
		}
		if stopped.IsZero() || stopped.After(due) || i+1 == len(spans) {
			continue
		}
		if back := spans[i+1].ready; back.IsZero() || back.Add(restartGrace).After(due) {
			due = back.Add(restartGrace)
			if back.IsZero() {
				due = r.ended
			}
		}
	}
	return due
}

// doubled holds rule 2: no further call of a message that must not run twice, unless each one before is known not to have run.
func (r *records) doubled(id string, m *message) []Violation {
	class := r.s.Classes[m.handed.Class]
	for i, c := range m.calls {
		for _, before := range m.calls[:i] {
			mayRun := before.EndedAt.IsZero() || before.EndedAt.After(c.ReceivedAt) || before.Outcome != "refused"
			late := c.ReceivedAt.Sub(before.ReceivedAt) > class.Window.D()+limitSlack
			if mayRun && (class.Effect == "once" || class.Effect == "keyed" && late) {
				return []Violation{{judge.DoubleEffect.String(), c.ReceivedAt, c.Sender, id, fmt.Sprintf("called again %v after a call that may have run (%s)", c.ReceivedAt.Sub(before.ReceivedAt).Round(time.Millisecond), before.Outcome)}}
			}
		}
	}
	return nil
}

// unanswered finds requests that were written whole and whose connection ended with no answer, though the sender lived on.
func (r *records) unanswered() (breaks []Violation) {
	for _, h := range r.handed {
		if h.Status != 0 || h.TimedOut || !h.Written || r.killedBetween(h.Sender, h.Begun, h.Over) {
			continue
		}
		breaks = append(breaks, Violation{judge.LostMessage.String(), h.Over, h.Sender, h.ID, "read, and its connection ended with no answer"})
	}
	return breaks
}

// killedBetween tells whether a process of the sender ended, or was not there, within a span.
func (r *records) killedBetween(sender int, from, to time.Time) bool {
	return slices.ContainsFunc(r.lives[sender], func(s span) bool {
		return !s.ended.IsZero() && !s.ended.Before(from.Add(-killSlack)) && !s.ended.After(to.Add(killSlack))
	})
}

// drained holds rule 3.
func (r *records) drained() (breaks []Violation) {
	grace := r.s.Rules.DrainGrace.D() + limitSlack
	for _, c := range r.w.calls {
		if told, yes := r.w.drained[c.Endpoint]; yes && c.ReceivedAt.After(told.Add(grace)) {
			breaks = append(breaks, Violation{judge.DrainIgnored.String(), c.ReceivedAt, c.Sender, c.IDs[0], fmt.Sprintf("sent to endpoint %d %v after it was told of", c.Endpoint, c.ReceivedAt.Sub(told))})
		}
	}
	return breaks
}

// hasty holds rule 6: a restart ends a wait.
func (r *records) hasty() (breaks []Violation) {
	type from struct{ sender, unit int }
	waits := map[from]*call{}
	calls := slices.Clone(r.w.calls)
	slices.SortStableFunc(calls, func(a, b *call) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for i, c := range calls {
		for j := i - 1; j >= 0 && j > i-400; j-- { // a wait lasts seconds; this many calls back is longer
			if b := calls[j]; b.RetryAfterMs > 0 && b.Sender == c.Sender && b.Unit == c.Unit && !b.EndedAt.IsZero() {
				waits[from{b.Sender, b.Unit}] = b
				break
			}
		}
		w := waits[from{c.Sender, c.Unit}]
		if w == nil || !c.ReceivedAt.After(w.EndedAt.Add(waitSlack)) || !c.ReceivedAt.Before(w.EndedAt.Add(time.Duration(w.RetryAfterMs)*time.Millisecond-limitSlack)) {
			continue
		}
		if !r.killedBetween(c.Sender, w.EndedAt, c.ReceivedAt) {
			breaks = append(breaks, Violation{judge.RetryAfterIgnored.String(), c.ReceivedAt, c.Sender, c.IDs[0], fmt.Sprintf("sent %v into a wait of %d ms", c.ReceivedAt.Sub(w.EndedAt), w.RetryAfterMs)})
		}
	}
	return breaks
}

func stamp(t time.Time) string { return t.Format("15:04:05.000") }

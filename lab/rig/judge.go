// This file owns the assessment of a run: the six rules, crashes and failed starts, by the records of clients and
// receivers. It must never use what a sender reports about itself.

package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"eiderhaven/lab/judge"
	"eiderhaven/lab/live"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
	"eiderhaven/standin/platform"
)

// Tolerances of the rules on sockets, as the protocol sets them.
const (
	finishSlack     = 300 * time.Millisecond  // from a message's deadline until it is lost if it has not finished
	restartGrace    = 1500 * time.Millisecond // the least time that a restarted sender has, once ready, to finish messages
	retryAfterSlack = 100 * time.Millisecond  // calls this soon after a refusal may have been on their way
	limitSlack      = 50 * time.Millisecond   // added to every other time limit
	signalSlack     = 50 * time.Millisecond   // between a process's exit and what a client sees of it
)

// maxRefusalDistance is how many calls back a refusal is searched for; this many calls take longer than a retry-after
// lasts, which is some seconds.
const maxRefusalDistance = 400

// Violation is one broken rule, crash or failed start.
type Violation struct {
	Rule   string    `json:"rule"`
	At     time.Time `json:"at"`
	Sender int       `json:"sender"` // -1 if several senders caused it together
	ID     string    `json:"id,omitempty"`
	Text   string    `json:"text"`
}

// message holds what clients and receivers observed of one submitted message.
type message struct {
	request   live.RequestRecord
	calls     []*call
	delivered time.Time
	noticed   time.Time // of the first notice
}

// records hold what clients and receivers observed in a run, and the lifetimes of the sender processes.
type records struct {
	scenario  *scenario.Scenario
	watcher   *watcher
	requests  []live.RequestRecord
	notices   [][]platform.Notice // by sender
	processes [][]processSpan     // by sender
	proxies   []Proxy
	endedAt   time.Time // of the run
}

// violations checks all rules and returns what was broken, in the order of time.
func (r *records) violations() []Violation {
	var found []Violation
	messages := r.messagesByID()
	for _, o := range r.watcher.overloads {
		if o.RuleBroken {
			found = append(found, Violation{
				Rule:   judge.RecoveryOverload.String(),
				At:     o.At,
				Sender: -1,
				Text:   o.String(),
			})
		}
	}
	for id, m := range messages {
		found = append(found, r.checkFinished(id, m)...)
		found = append(found, r.checkRepeats(id, m)...)
		found = append(found, r.checkAfterEnd(id, m)...)
	}
	found = append(found, r.checkAnswers()...)
	found = append(found, r.checkDrains()...)
	found = append(found, r.checkRetryAfter()...)
	slices.SortFunc(found, func(a, b Violation) int { return a.At.Compare(b.At) })
	return found
}

// messagesByID joins the records of each message.
func (r *records) messagesByID() map[string]*message {
	messages := map[string]*message{}
	for _, request := range r.requests {
		messages[request.ID] = &message{request: request}
	}
	for _, c := range r.watcher.calls {
		for _, id := range c.IDs {
			m := messages[id]
			if m == nil {
				continue
			}
			m.calls = append(m.calls, c)
			if c.result == rules.OK && c.Outcome == "served" && m.delivered.IsZero() {
				m.delivered = c.EndedAt
			}
		}
	}
	for _, list := range r.notices {
		for _, n := range list {
			var notice struct{ Ref string }
			if json.Unmarshal([]byte(n.Line), &notice) != nil {
				continue
			}
			if m := messages[notice.Ref]; m != nil && m.noticed.IsZero() {
				m.noticed = n.At
			}
		}
	}
	return messages
}

// accepted reports whether the sender accepted the message, and so has to finish it.
func accepted(r live.RequestRecord) bool {
	return r.Status == http.StatusOK || r.Status == http.StatusAccepted
}

// checkFinished checks rule 1 for one message: an accepted message is delivered or gets a notice in time.
func (r *records) checkFinished(id string, m *message) []Violation {
	if !accepted(m.request) {
		return nil
	}
	due := r.extendForRestarts(m.request.Sender, m.request.Deadline.Add(finishSlack))
	finished := m.delivered
	if finished.IsZero() || !m.noticed.IsZero() && m.noticed.Before(finished) {
		finished = m.noticed
	}
	violation := Violation{Rule: judge.LostMessage.String(), Sender: m.request.Sender, ID: id}
	switch {
	case finished.IsZero() && r.endedAt.After(due):
		violation.At = due
		violation.Text = fmt.Sprintf("taken at %s, due %s, never ended; %d calls",
			clockTime(m.request.Over), clockTime(m.request.Deadline), len(m.calls))
	case !finished.IsZero() && finished.After(due):
		violation.At = finished
		violation.Text = fmt.Sprintf("ended %v after its time", finished.Sub(m.request.Deadline).Round(time.Millisecond))
	default:
		return nil
	}
	return []Violation{violation}
}

// extendForRestarts returns the time by which a sender must have finished a message that is due at the given time. A
// message that falls due between the signal that stops a process and the end of the next process's grace is due at that
// end.
func (r *records) extendForRestarts(sender int, due time.Time) time.Time {
	spans := r.processes[sender]
	for i, s := range spans {
		stopped := s.stopRequested
		if stopped.IsZero() {
			stopped = s.exited
		}
		if stopped.IsZero() || stopped.After(due) || i+1 == len(spans) {
			continue
		}
		nextReady := firstReady(spans[i+1:])
		switch {
		case nextReady.IsZero():
			due = r.endedAt
		case nextReady.Add(restartGrace).After(due):
			due = nextReady.Add(restartGrace)
		}
	}
	return due
}

// firstReady returns when the first of the processes was ready that ever was, zero if none was.
func firstReady(spans []processSpan) time.Time {
	for _, s := range spans {
		if !s.ready.IsZero() {
			return s.ready
		}
	}
	return time.Time{}
}

// checkRepeats checks rule 2 for one message: a message that must not take effect twice is not called again unless
// every earlier call was refused before. Messages of a keyed class may be called again within the deduplication window.
func (r *records) checkRepeats(id string, m *message) []Violation {
	class := r.scenario.Classes[m.request.Class]
	for i, c := range m.calls {
		for _, earlier := range m.calls[:i] {
			mayHaveRun := earlier.EndedAt.IsZero() || earlier.EndedAt.After(c.ReceivedAt) ||
				earlier.Outcome != "refused"
			gap := c.ReceivedAt.Sub(earlier.ReceivedAt)
			outsideWindow := gap > class.Window.D()+limitSlack
			if mayHaveRun && (class.Effect == "once" || class.Effect == "keyed" && outsideWindow) {
				return []Violation{{
					Rule:   judge.DoubleEffect.String(),
					At:     c.ReceivedAt,
					Sender: c.Sender,
					ID:     id,
					Text: fmt.Sprintf("called again %v after a call that may have run (%s)",
						gap.Round(time.Millisecond), earlier.Outcome),
				}}
			}
		}
	}
	return nil
}

// checkAnswers checks that a request which was written whole gets a response, unless the client stopped waiting or the
// sender's process exited meanwhile.
func (r *records) checkAnswers() []Violation {
	var found []Violation
	for _, request := range r.requests {
		if request.Status != 0 || request.TimedOut || !request.Written ||
			r.exitedBetween(request.Sender, request.Begun, request.Over) {
			continue
		}
		found = append(found, Violation{
			Rule:   judge.LostMessage.String(),
			At:     request.Over,
			Sender: request.Sender,
			ID:     request.ID,
			Text:   "read, and its connection ended with no answer",
		})
	}
	return found
}

// exitedBetween reports whether a process of the sender exited between two times.
func (r *records) exitedBetween(sender int, from, to time.Time) bool {
	return slices.ContainsFunc(r.processes[sender], func(s processSpan) bool {
		return !s.exited.IsZero() && !s.exited.Before(from.Add(-signalSlack)) && !s.exited.After(to.Add(signalSlack))
	})
}

// checkDrains checks rule 3: no call goes to an endpoint once it has been listed as draining or gone for the grace.
func (r *records) checkDrains() []Violation {
	var found []Violation
	grace := r.scenario.Rules.DrainGrace.D() + limitSlack
	for _, c := range r.watcher.calls {
		listedAt, drained := r.watcher.drainedSince[c.Endpoint]
		if !drained || !c.ReceivedAt.After(listedAt.Add(grace)) {
			continue
		}
		found = append(found, Violation{
			Rule:   judge.DrainIgnored.String(),
			At:     c.ReceivedAt,
			Sender: c.Sender,
			ID:     c.IDs[0],
			Text:   fmt.Sprintf("sent to endpoint %d %v after it was told of", c.Endpoint, c.ReceivedAt.Sub(listedAt)),
		})
	}
	return found
}

// checkRetryAfter checks rule 6: a sender makes no call to a unit before the end of a retry-after. A restart of the
// sender ends the retry-after.
func (r *records) checkRetryAfter() []Violation {
	type route struct{ sender, unit int }
	var found []Violation
	refusals := map[route]*call{} // the latest refusal with a retry-after
	calls := slices.Clone(r.watcher.calls)
	slices.SortStableFunc(calls, func(a, b *call) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
	for i, c := range calls {
		for j := i - 1; j >= 0 && j > i-maxRefusalDistance; j-- {
			earlier := calls[j]
			if earlier.RetryAfterMs > 0 && earlier.Sender == c.Sender &&
				earlier.Unit == c.Unit && !earlier.EndedAt.IsZero() {
				refusals[route{earlier.Sender, earlier.Unit}] = earlier
				break
			}
		}
		refusal := refusals[route{c.Sender, c.Unit}]
		if refusal == nil {
			continue
		}
		from := refusal.EndedAt.Add(retryAfterSlack)
		to := refusal.EndedAt.Add(time.Duration(refusal.RetryAfterMs)*time.Millisecond - limitSlack)
		if !c.ReceivedAt.After(from) || !c.ReceivedAt.Before(to) {
			continue
		}
		if r.exitedBetween(c.Sender, refusal.EndedAt, c.ReceivedAt) {
			continue
		}
		found = append(found, Violation{
			Rule:   judge.RetryAfterIgnored.String(),
			At:     c.ReceivedAt,
			Sender: c.Sender,
			ID:     c.IDs[0],
			Text:   fmt.Sprintf("sent %v into a wait of %d ms", c.ReceivedAt.Sub(refusal.EndedAt), refusal.RetryAfterMs),
		})
	}
	return found
}

func clockTime(t time.Time) string { return t.Format("15:04:05.000") }

// This file owns the check that nothing is sent for a message after its end was told of.

package rig

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"eiderhaven/rules"
)

// minAnswerWay is how long an answer may be on its way without proxies.
const minAnswerWay = 100 * time.Millisecond

// answerWay returns how long an answer may be on its way: the proxies delay, split and hold it back. A sender that has given
// its call up by then, or whose connection has ended as the answer was cut, has not heard it.
func answerWay(proxies []Proxy) time.Duration {
	way := minAnswerWay
	for _, p := range proxies {
		if p.Before == beforeEndpoints {
			way = max(way, p.DelayTo.D()+p.SplitPause.D()+p.JoinWait.D())
		}
	}
	return way + limitSlack
}

// ruleAfterEnd is the name of the rule in violations.
const ruleAfterEnd = "sent_after_end"

// checkAfterEnd checks for one message that no call arrives after its end: an answer that refuses or fails it, a notice,
// or a 200 that an endpoint has written, unless the sender may have given the call up, or been killed, before it read that.
func (r *records) checkAfterEnd(id string, m *message) []Violation {
	for _, c := range m.calls {
		endedAt, end := r.endBefore(m, c.ArrivedAt.Add(-limitSlack))
		if end == "" {
			continue
		}
		return []Violation{{
			Rule:   ruleAfterEnd,
			At:     c.ArrivedAt,
			Sender: c.Sender,
			ID:     id,
			Text:   fmt.Sprintf("called %v after its end (%s)", c.ArrivedAt.Sub(endedAt).Round(time.Millisecond), end),
		}}
	}
	return nil
}

// endBefore returns the end of a message that was told of before a time, if there was one.
func (r *records) endBefore(m *message, before time.Time) (at time.Time, end string) {
	status := m.request.Status
	switch {
	case status >= http.StatusBadRequest && m.request.Over.Before(before):
		return m.request.Over, fmt.Sprint("answer ", status)
	case !m.noticed.IsZero() && m.noticed.Before(before):
		return m.noticed, "notice"
	}
	for _, c := range m.calls {
		if c.result != rules.OK || c.Outcome != "served" || !c.EndedAt.Before(before) {
			continue
		}
		heardBy := c.EndedAt.Add(answerWay(r.proxies))
		givenUp := !c.ConnEndedAt.IsZero() && c.ConnEndedAt.Before(heardBy)
		if !givenUp && !r.exitedBetween(m.request.Sender, c.EndedAt, heardBy) {
			return c.EndedAt, "delivered"
		}
	}
	return time.Time{}, ""
}

// selfReported returns what a sender has logged about its own lifecycle checks.
func selfReported(sender int, log string) []Violation {
	var found []Violation
	for line := range strings.Lines(log) {
		if strings.Contains(line, "lifecycle violated") {
			found = append(found, Violation{Rule: "lifecycle", Sender: sender, Text: strings.TrimSpace(line)})
		}
	}
	return found
}

// Package margin measures how close destinations that recover from an outage come to a violation of rule 4 (overload
// during recovery). The margin of one recovery is the number of calls from informed senders in its worst time window,
// divided by the number that violates the rule. A sender is informed if it saw the outage. The distribution of margins
// shows a loosened limit long before a rule is violated.
//
// It must not depend on how a sender decides.
package margin

import (
	"fmt"
	"math"
	"slices"

	"eiderhaven/lab/receiver"
)

// InformedShare is the share of the calls in an overload that violates the rule if it came from informed senders.
const InformedShare = 2.0 / 3

// High is the margin above which a recovery counts as close to a violation.
const High = 0.8

// Of returns the margin of one time window: the calls of informed senders in it over the number that violates the rule.
// More than allowed calls in a window overload the destination.
func Of(window []receiver.Arrival, allowed float64, informed func(sender int) bool) float64 {
	calls := 0.0
	for _, a := range window {
		if informed(a.Sender) {
			calls += a.Weight
		}
	}
	return calls / (InformedShare * allowed)
}

// Summary describes the margins of many recoveries.
type Summary struct {
	Returns int     `json:"returns"`
	Mean    float64 `json:"mean"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
	High    int     `json:"high"` // recoveries with a margin above High
}

// Summarize returns the summary of margins. It sorts the slice.
func Summarize(margins []float64) Summary {
	if len(margins) == 0 {
		return Summary{}
	}
	slices.Sort(margins)
	s := Summary{Returns: len(margins), Max: margins[len(margins)-1]}
	for _, m := range margins {
		s.Mean += m / float64(len(margins))
		if m > High {
			s.High++
		}
	}
	s.P99 = margins[int(math.Ceil(0.99*float64(len(margins))))-1]
	return s
}

func (s Summary) String() string {
	return fmt.Sprintf("margins of %d returns: mean %.3f, p99 %.3f, max %.3f, %d over %.1f",
		s.Returns, s.Mean, s.P99, s.Max, s.High, High)
}

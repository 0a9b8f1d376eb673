// Package margin owns how near cold returns come to breaking the rule on returning destinations (rule 4): for each return, the
// worst window's calls of informed senders over the number of them that breaks the rule. A distribution of margins tells a
// loosened bound long before any rule is broken. It must never know how a sender decides.
package margin

import (
	"fmt"
	"math"
	"slices"

	"eiderhaven/lab/receiver"
)

// InformedShare is the part of a fall's calls that breaks the rule when it came from informed senders.
const InformedShare = 2.0 / 3

// High is the margin from which a return counts as near to a break.
const High = 0.8

// Of returns the margin of one window: the calls of informed senders in it over the number of them that breaks the rule, where
// a window of more than allowed calls fells the destination.
func Of(window []receiver.Arrival, allowed float64, informed func(sender int) bool) float64 {
	calls := 0.0
	for _, a := range window {
		if informed(a.Sender) {
			calls += a.Weight
		}
	}
	return calls / (InformedShare * allowed)
}

// Summary describes the margins of many returns.
type Summary struct {
	Returns int     `json:"returns"`
	Mean    float64 `json:"mean"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
	High    int     `json:"high"` // returns with a margin above High
}

// Summarize describes margins, which it sorts.
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
	return fmt.Sprintf("margins of %d returns: mean %.3f, p99 %.3f, max %.3f, %d over %.1f", s.Returns, s.Mean, s.P99, s.Max, s.High, High)
}

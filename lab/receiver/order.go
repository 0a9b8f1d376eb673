// This file owns the sort order of calls, where map iteration must not decide it.

package receiver

import (
	"cmp"
	"slices"
)

// sortJobs sorts by send time and sender, then by the ID and attempt of the first message, which together are unique
// among calls in flight.
func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.call.Sent, b.call.Sent),
			cmp.Compare(a.call.Sender, b.call.Sender),
			cmp.Compare(a.call.Messages[0].ID, b.call.Messages[0].ID),
			cmp.Compare(a.call.Attempts[0], b.call.Attempts[0]),
		)
	})
}

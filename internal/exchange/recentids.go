// This file owns the IDs of recently ended messages. It must never keep them without a limit on time and number.

package exchange

import (
	"time"

	"eiderhaven/rules"
)

// After a message has ended, its ID is kept as long as a message of any class may live, and at least minIDRetention.
// A submission with that ID within this time is the same message, which may already have run. Later, the ID counts
// as new. At most maxRecentIDs are kept.
const (
	minIDRetention = 15 * time.Second
	maxRecentIDs   = 16384
)

// recentIDs is the deduplication window: the IDs of recently ended messages.
type recentIDs struct {
	retention time.Duration
	endedAt   map[string]time.Time
	order     []string // oldest first
}

func newRecentIDs(classes []rules.Class) recentIDs {
	r := recentIDs{retention: minIDRetention, endedAt: map[string]time.Time{}}
	for _, c := range classes {
		r.retention = max(r.retention, c.Deadline)
	}
	return r
}

func (r *recentIDs) contains(id string, now time.Time) bool {
	at, known := r.endedAt[id]
	return known && now.Sub(at) < r.retention
}

// add adds an ID, after removing the IDs that are too old or too many.
func (r *recentIDs) add(id string, now time.Time) {
	for len(r.order) > 0 && (len(r.order) >= maxRecentIDs || now.Sub(r.endedAt[r.order[0]]) >= r.retention) {
		delete(r.endedAt, r.order[0])
		r.order = r.order[1:]
	}
	if _, known := r.endedAt[id]; !known {
		r.order = append(r.order, id)
	}
	r.endedAt[id] = now
}

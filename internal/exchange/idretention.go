// This file owns for how long the ID of an ended message is known. The ledger keeps the IDs.

package exchange

import (
	"time"

	"eiderhaven/rules"
)

// minIDRetention is the least time for which the ID of an ended message is known.
const minIDRetention = 15 * time.Second

// IDRetention returns how long the ID of an ended message is known: as long as a message of any class may live, and at
// least minIDRetention. A submission with that ID within this time is the same message, which may already have run.
// Later, the ID counts as new.
func IDRetention(classes []rules.Class) time.Duration {
	retention := minIDRetention
	for _, c := range classes {
		retention = max(retention, c.Deadline)
	}
	return retention
}

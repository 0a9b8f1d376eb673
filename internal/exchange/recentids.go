// This file owns the names of messages that have ended lately. It must never keep them for good.

package exchange

import (
	"time"

	"eiderhaven/rules"
)

// A name is kept after its message has ended for as long as a message of any class may last, 15 s at least, and so many at
// most: whoever hands it in again within that time hands in the same message, which may have run. Beyond it a name is a new one.
const (
	pastFor  = 15 * time.Second
	pastMost = 16384
)

// past knows the names of messages that have ended lately.
type past struct {
	keep  time.Duration
	ended map[string]time.Time
	queue []string // oldest first
}

func newPast(classes []rules.Class) past {
	p := past{keep: pastFor, ended: map[string]time.Time{}}
	for _, c := range classes {
		p.keep = max(p.keep, c.Deadline)
	}
	return p
}

func (p *past) has(id string, now time.Time) bool {
	at, known := p.ended[id]
	return known && now.Sub(at) < p.keep
}

func (p *past) add(id string, now time.Time) {
	for len(p.queue) > 0 && (len(p.queue) >= pastMost || now.Sub(p.ended[p.queue[0]]) >= p.keep) {
		delete(p.ended, p.queue[0])
		p.queue = p.queue[1:]
	}
	if _, known := p.ended[id]; !known {
		p.queue = append(p.queue, id)
	}
	p.ended[id] = now
}

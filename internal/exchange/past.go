// This file owns the names of messages that have ended lately. It must never keep them for good.

package exchange

import "time"

// A name is kept for so long after its message has ended, and so many at most: whoever hands it in again within that
// time hands in the same message, which may have run. A client waits 0.4 s for its answer and messages last seconds;
// beyond that a name is a new one.
const (
	pastFor  = 15 * time.Second
	pastMost = 16384
)

// past knows the names of messages that have ended lately.
type past struct {
	ended map[string]time.Time
	queue []string // oldest first
}

func (p *past) has(id string, now time.Time) bool {
	at, known := p.ended[id]
	return known && now.Sub(at) < pastFor
}

func (p *past) add(id string, now time.Time) {
	if p.ended == nil {
		p.ended = map[string]time.Time{}
	}
	for len(p.queue) > 0 && (len(p.queue) >= pastMost || now.Sub(p.ended[p.queue[0]]) >= pastFor) {
		delete(p.ended, p.queue[0])
		p.queue = p.queue[1:]
	}
	if _, known := p.ended[id]; !known {
		p.queue = append(p.queue, id)
	}
	p.ended[id] = now
}

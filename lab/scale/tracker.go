// This file owns the records of messages and changes and the checks made on them. It learns of a message from the
// client that submitted it, from the destinations and from the notices. It must never share code with the sender it
// checks.

package scale

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// burstWindow is how long calls are counted after a zone's destinations are reachable again.
const burstWindow = 2 * time.Second

// Limits that the judge applies.
const (
	// maxChangeDelay is the longest time from when a sender could learn of a change until its calls follow it.
	maxChangeDelay = 13 * time.Second

	// deadlineGrace is how long after its deadline a message may end: the protocol's 300 ms and 50 ms of slack.
	deadlineGrace = 350 * time.Millisecond

	// outageGrace is how long a message may take to end after its sender and the way to discovery are back.
	outageGrace = 3 * time.Second

	// maxOutage is the longest outage that a plan may contain.
	maxOutage = 5 * time.Minute

	// staleGrace is the time after a sender's first call by a change from which none of its calls may go to the
	// replaced endpoint.
	staleGrace = 500 * time.Millisecond
)

// change is the replacement of a destination's endpoint by another.
type change struct {
	number, dest    int
	side            int // of the zone's two listeners, the one that the new endpoint uses
	published       time.Time
	latest          bool              // the destination has no later change so far
	real, simulated map[int]adoption  // by sender
	staleCalls      map[int]time.Time // by real sender: its first call to the replaced endpoint after staleGrace
}

// adoption records since when a sender could learn of a change, and when its calls first followed it.
type adoption struct{ adoptedAt, visibleSince time.Time }

// message is what is known of one message of the traffic.
type message struct {
	sender        int
	dest          int
	atMostOnce    bool // it must not be delivered twice
	deadline      time.Time
	accepted      bool
	calls         int
	firstDelivery time.Time
	firstNotice   time.Time
	bounced       bool // by that notice, which says that it is safe to submit the message again
}

// tracker records messages and changes.
type tracker struct {
	mu             sync.Mutex
	messages       map[string]*message
	changes        []*change
	latestChange   map[int]*change // by destination
	duplicates     []string        // IDs of at-most-once messages that were delivered again
	returnedZone   int             // the zone that was last made reachable again
	zoneReturnedAt time.Time
	burstCalls     map[int]int // by destination of that zone: calls within burstWindow
}

func newTracker() *tracker {
	return &tracker{messages: map[string]*message{}, latestChange: map[int]*change{}, burstCalls: map[int]int{}}
}

// trafficID returns the ID of a message of the traffic, t-SENDER-NUMBER-CLASS. Probes have p-CHANGE-SENDER-NUMBER, and
// messages that are only to be held begin with f-.
func trafficID(sender, n int, atMostOnce bool) string {
	if atMostOnce {
		return fmt.Sprintf("t-%d-%d-o", sender, n)
	}
	return fmt.Sprintf("t-%d-%d-s", sender, n)
}

// probeID returns the ID of a probe, a message that shows whether a sender has adopted a change.
func probeID(change, sender, n int) string { return fmt.Sprintf("p-%d-%d-%d", change, sender, n) }

// recordSubmission records a message that is about to be submitted.
func (t *tracker) recordSubmission(id string, m message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.messages[id] = &m
}

// recordAnswer records whether the sender accepted a message. Only accepted messages must end.
func (t *tracker) recordAnswer(id string, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.messages[id]; m != nil {
		m.accepted = accepted
	}
}

// recordCall records a call that reached a destination at one of its zone's two listeners.
func (t *tracker) recordCall(id string, side int) {
	now := time.Now()
	switch {
	case strings.HasPrefix(id, "t-"):
		t.mu.Lock()
		defer t.mu.Unlock()
		if m := t.messages[id]; m != nil {
			m.calls++
			inReturnedZone := m.dest%zoneCount == t.returnedZone && !t.zoneReturnedAt.IsZero()
			if inReturnedZone && now.Sub(t.zoneReturnedAt) < burstWindow {
				t.burstCalls[m.dest]++
			}
			if m.calls == 1 {
				m.firstDelivery = now
			} else if m.atMostOnce {
				t.duplicates = append(t.duplicates, id)
			}
		}
	case strings.HasPrefix(id, "p-"):
		parts := strings.Split(id, "-")
		if len(parts) != 4 {
			return
		}
		n, changeErr := strconv.Atoi(parts[1])
		sender, senderErr := strconv.Atoi(parts[2])
		if changeErr == nil && senderErr == nil {
			t.recordProbe(n, sender, side, now)
		}
	}
}

// startBurstCount starts counting the calls at a zone's destinations.
func (t *tracker) startBurstCount(zone int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returnedZone, t.zoneReturnedAt = zone, time.Now()
}

// maxBurstCalls returns the largest count of a single destination since then.
func (t *tracker) maxBurstCalls() (most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.burstCalls {
		most = max(most, n)
	}
	return most
}

// recordProbe records a probe's call. The first one at the new endpoint shows that the sender has adopted the change.
func (t *tracker) recordProbe(n, sender, side int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n >= len(t.changes) {
		return
	}
	c := t.changes[n]
	a, known := c.real[sender]
	switch {
	case side == c.side && (!known || a.adoptedAt.IsZero()):
		a.adoptedAt = now
		c.real[sender] = a
	case side != c.side && known && !a.adoptedAt.IsZero() && c.latest &&
		now.Sub(a.adoptedAt) > staleGrace && c.staleCalls[sender].IsZero():
		c.staleCalls[sender] = now
	}
}

// recordNotice records a sender's notice that a message ended undelivered.
func (t *tracker) recordNotice(id, result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.messages[id]; m != nil && m.firstNotice.IsZero() {
		m.firstNotice, m.bounced = time.Now(), result == "bounced"
	}
}

// addChange adds a change of a destination and returns it.
func (t *tracker) addChange(dest int) *change {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &change{
		number: len(t.changes), dest: dest, side: 1, latest: true,
		real: map[int]adoption{}, simulated: map[int]adoption{}, staleCalls: map[int]time.Time{},
	}
	if previous := t.latestChange[dest]; previous != nil {
		previous.latest = false
		c.side = 1 - previous.side
	}
	t.latestChange[dest] = c
	t.changes = append(t.changes, c)
	return c
}

// markPublished records that a change is published now.
func (t *tracker) markPublished(c *change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.published = time.Now()
}

// adoptions returns the change's adoptions by real or by simulated senders.
func (c *change) adoptions(real bool) map[int]adoption {
	if real {
		return c.real
	}
	return c.simulated
}

// markVisible records since when a sender could learn of a change.
func (t *tracker) markVisible(c *change, sender int, real bool, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.adoptions(real)[sender] = adoption{visibleSince: laterOf(since, c.published)}
}

// markReachable records that a sender, or its way to discovery, is back: changes that it has not adopted are visible to
// it from then on.
func (t *tracker) markReachable(sender int, real bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.changes {
		if c.adoptions(real)[sender].adoptedAt.IsZero() {
			c.adoptions(real)[sender] = adoption{visibleSince: laterOf(at, c.published)}
		}
	}
}

// recordSimulatedAdoption records that a change is in the list of a simulated sender's module.
func (t *tracker) recordSimulatedAdoption(n, sender int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n >= len(t.changes) {
		return
	}
	a := t.changes[n].simulated[sender]
	if a.adoptedAt.IsZero() && !a.visibleSince.IsZero() {
		a.adoptedAt = time.Now()
		t.changes[n].simulated[sender] = a
	}
}

// adopted reports whether a real sender has adopted a change.
func (t *tracker) adopted(c *change, sender int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !c.real[sender].adoptedAt.IsZero()
}

// obsolete reports whether there is no point in waiting for a real sender to adopt a change: a later change of the same
// destination has superseded it, or its time limit is long past.
func (t *tracker) obsolete(c *change, sender int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !c.latest || time.Since(c.real[sender].visibleSince) > maxChangeDelay+maxOutage
}

// delayStats summarizes how long senders took to adopt changes, each from when the sender could learn of the change.
type delayStats struct {
	delaysMS   []float64 // of adopted changes
	late       int       // adopted after maxChangeDelay, or missing
	missing    int       // not adopted within maxChangeDelay
	pending    int       // not adopted, but still within maxChangeDelay
	superseded int       // replaced by a later change before they were adopted
	longest    time.Duration
}

// allSenders stands for every sender where one sender's index is expected.
const allSenders = -1

// changeDelays returns the delays of the changes from number from on, at one real or simulated sender or, with
// allSenders, at all of them.
func (t *tracker) changeDelays(from int, real bool, sender int, now time.Time) delayStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	var d delayStats
	for _, c := range t.changes[min(from, len(t.changes)):] {
		for s, a := range c.adoptions(real) {
			if sender >= 0 && s != sender {
				continue
			}
			switch {
			case !a.adoptedAt.IsZero():
				took := max(0, a.adoptedAt.Sub(a.visibleSince))
				d.delaysMS = append(d.delaysMS, float64(took)/float64(time.Millisecond))
				d.longest = max(d.longest, took)
				if took > maxChangeDelay {
					d.late++
				}
			case !c.latest:
				d.superseded++
			case now.Sub(a.visibleSince) > maxChangeDelay:
				d.late++
				d.missing++
				d.longest = max(d.longest, now.Sub(a.visibleSince))
			default:
				d.pending++
			}
		}
	}
	return d
}

// lastAdoption returns when the last of the changes that were published by a given time was adopted.
func (t *tracker) lastAdoption(by time.Time) (last time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.changes {
		if c.published.After(by) {
			continue
		}
		for _, adoptions := range []map[int]adoption{c.real, c.simulated} {
			for _, a := range adoptions {
				last = laterOf(last, a.adoptedAt)
			}
		}
	}
	return last
}

// unfinished returns how many accepted messages have neither a delivery nor a notice yet.
func (t *tracker) unfinished() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.messages {
		if m.accepted && m.firstDelivery.IsZero() && m.firstNotice.IsZero() {
			n++
		}
	}
	return n
}

// verdict is the judge's finding on the messages so far.
type verdict struct {
	submitted, accepted, delivered, notified int
	lost, duplicated, late, stale            int
	longestDelay                             time.Duration
	firstViolation                           string // described for the report
}

// judge reports what became of the messages. Every accepted message must have ended by now. excusedUntil returns the
// time until which a sender could neither end a message nor send a notice: when it, or its way to discovery, was back.
func (t *tracker) judge(excusedUntil func(sender int) time.Time) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := verdict{duplicated: len(t.duplicates)}
	note := func(format string, args ...any) {
		if v.firstViolation == "" {
			v.firstViolation = fmt.Sprintf(format, args...)
		}
	}
	if v.duplicated > 0 {
		note("%s ran twice and may not", t.duplicates[0])
	}
	for id, m := range t.messages {
		v.submitted++
		if !m.accepted {
			continue
		}
		v.accepted++
		end := m.firstDelivery
		if !end.IsZero() {
			v.delivered++
		}
		if !m.firstNotice.IsZero() {
			v.notified++
			if m.bounced && m.atMostOnce && m.calls > 0 {
				v.duplicated++
				note("%s ran, may not run twice, and was told of as harmless to hand in again", id)
			}
			if end.IsZero() || m.firstNotice.Before(end) {
				end = m.firstNotice
			}
		}
		latestEnd := m.deadline.Add(deadlineGrace)
		if back := excusedUntil(m.sender).Add(outageGrace); back.After(latestEnd) {
			latestEnd = back
		}
		switch {
		case end.IsZero():
			v.lost++
			note("%s was taken on and has no end", id)
		case end.After(latestEnd):
			v.late++
			v.longestDelay = max(v.longestDelay, end.Sub(latestEnd))
			note("%s ended %v after its time", id, end.Sub(latestEnd).Round(time.Millisecond))
		}
	}
	for _, c := range t.changes {
		for s := range c.staleCalls {
			v.stale++
			note("sender %d made a call by the list before change %d after one by it", s, c.number)
		}
	}
	return v
}

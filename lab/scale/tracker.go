// This file owns what is known of each message and each change, and judges by it. It hears of a message from who handed it in,
// from the destinations and from the notices, and shares no code with the sender.

package scale

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// burstSpan is how long calls are counted after a zone's return.
const burstWindow = 2 * time.Second

// Limits that the judge goes by.
const (
	maxChangeDelay = 13 * time.Second       // a change, from when its sender could hear of it
	deadlineGrace  = 350 * time.Millisecond // a message's end, past its time: the protocol's 300 ms and the slack of 50
	outageGrace    = 3 * time.Second        // the same, from when the sender and its discovery are back
	maxOutage      = 5 * time.Minute        // that a plan may hold
	staleGrace     = 500 * time.Millisecond // past the first call by a change, no call of the same sender goes the old way
)

// change is one endpoint that takes another's place.
type change struct {
	number, dest, side int
	published          time.Time
	latest             bool              // no later change of the destination so far
	real, simulated    map[int]adoption  // by sender
	staleCalls         map[int]time.Time // by real sender, the first call the old way after one by the change
}

// forced is when a change was in force at a sender, and since when it could have been heard of.
type adoption struct{ adoptedAt, visibleSince time.Time }

// message is one that was handed in by the traffic.
type message struct {
	sender        int
	dest          int
	atMostOnce    bool // it may not run twice
	deadline      time.Time
	accepted      bool
	calls         int
	firstDelivery time.Time // first
	firstNotice   time.Time // first notice
	bounced       bool      // by that notice: handing it in again is said to be harmless
}

// book holds messages and changes.
type tracker struct {
	mu             sync.Mutex
	messages       map[string]*message
	changes        []*change
	latestChange   map[int]*change // by destination
	duplicates     []string        // messages that ran twice and may not
	returnedZone   int             // that came back last
	zoneReturnedAt time.Time
	burstCalls     map[int]int // calls at its destinations since, for burstSpan
}

func newTracker() *tracker {
	return &tracker{messages: map[string]*message{}, latestChange: map[int]*change{}, burstCalls: map[int]int{}}
}

// Names: t-SENDER-NUMBER-CLASS for traffic, p-CHANGE-SENDER-NUMBER for a probe, f-... for what is only to be held.
func trafficID(sender, n int, once bool) string {
	if once {
		return fmt.Sprintf("t-%d-%d-o", sender, n)
	}
	return fmt.Sprintf("t-%d-%d-s", sender, n)
}

func probeID(change, sender, n int) string { return fmt.Sprintf("p-%d-%d-%d", change, sender, n) }

// handing notes a message that is about to be handed in.
func (b *tracker) recordSubmission(id string, m message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.messages[id] = &m
}

// answered notes what the sender said: only what it has taken on does it owe an end.
func (b *tracker) recordAnswer(id string, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; m != nil {
		m.accepted = taken
	}
}

// arrived notes a call at a destination.
func (b *tracker) recordCall(id string, side int) {
	now := time.Now()
	switch {
	case strings.HasPrefix(id, "t-"):
		b.mu.Lock()
		defer b.mu.Unlock()
		if m := b.messages[id]; m != nil {
			m.calls++
			if m.dest%zoneCount == b.returnedZone && !b.zoneReturnedAt.IsZero() && now.Sub(b.zoneReturnedAt) < burstWindow {
				b.burstCalls[m.dest]++
			}
			if m.calls == 1 {
				m.firstDelivery = now
			} else if m.atMostOnce {
				b.duplicates = append(b.duplicates, id)
			}
		}
	case strings.HasPrefix(id, "p-"):
		f := strings.Split(id, "-")
		if len(f) != 4 {
			return
		}
		n, bad := strconv.Atoi(f[1])
		sender, worse := strconv.Atoi(f[2])
		if bad == nil && worse == nil {
			b.recordProbe(n, sender, side, now)
		}
	}
}

// zoneBack begins to count the calls at a zone's destinations.
func (b *tracker) startBurstCount(zone int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returnedZone, b.zoneReturnedAt = zone, time.Now()
}

// mostCalls is the most at one destination since.
func (b *tracker) maxBurstCalls() (most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.burstCalls {
		most = max(most, n)
	}
	return most
}

// probed notes a probe's call: the first at the new endpoint is the first by the change.
func (b *tracker) recordProbe(n, sender, side int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= len(b.changes) {
		return
	}
	c := b.changes[n]
	f, known := c.real[sender]
	switch {
	case side == c.side && (!known || f.adoptedAt.IsZero()):
		f.adoptedAt = now
		c.real[sender] = f
	case side != c.side && known && !f.adoptedAt.IsZero() && c.latest && now.Sub(f.adoptedAt) > staleGrace && c.staleCalls[sender].IsZero():
		c.staleCalls[sender] = now
	}
}

// noticed notes a sender's word that a message ended undelivered.
func (b *tracker) recordNotice(id, result string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.messages[id]; m != nil && m.firstNotice.IsZero() {
		m.firstNotice, m.bounced = time.Now(), result == "bounced"
	}
}

// changing opens the book for a change of a destination and returns it.
func (b *tracker) addChange(dest int) *change {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &change{number: len(b.changes), dest: dest, side: 1, latest: true, real: map[int]adoption{}, simulated: map[int]adoption{}, staleCalls: map[int]time.Time{}}
	if old := b.latestChange[dest]; old != nil {
		old.latest = false
		c.side = 1 - old.side
	}
	b.latestChange[dest] = c
	b.changes = append(b.changes, c)
	return c
}

// publishing notes the time at which a change is told.
func (b *tracker) markPublished(c *change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.published = time.Now()
}

func (c *change) adoptions(real bool) map[int]adoption {
	if real {
		return c.real
	}
	return c.simulated
}

// could notes since when a sender could hear of a change.
func (b *tracker) markVisible(c *change, sender int, real bool, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.adoptions(real)[sender] = adoption{visibleSince: laterOf(since, c.published)}
}

// returned notes that a sender, or its way to discovery, is back: what it has not heard yet it could hear from then on.
func (b *tracker) markReachable(sender int, real bool, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.changes {
		if c.adoptions(real)[sender].adoptedAt.IsZero() {
			c.adoptions(real)[sender] = adoption{visibleSince: laterOf(at, c.published)}
		}
	}
}

// heard notes that the list of a hollow sender's module holds a change.
func (b *tracker) recordSimulatedAdoption(n, sender int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= len(b.changes) {
		return
	}
	f := b.changes[n].simulated[sender]
	if f.adoptedAt.IsZero() && !f.visibleSince.IsZero() {
		f.adoptedAt = time.Now()
		b.changes[n].simulated[sender] = f
	}
}

// inForce tells whether a change is in force at a real sender.
func (b *tracker) adopted(c *change, sender int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.real[sender].adoptedAt.IsZero()
}

// over tells whether it is idle to wait for a change at a real sender: a later one of the same destination makes it moot, or its
// time has long passed.
func (b *tracker) obsolete(c *change, sender int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.latest || time.Since(c.real[sender].visibleSince) > maxChangeDelay+maxOutage
}

// delays are the times from when a change could be heard to when it was in force, from a change's number on, with those
// that are not in force: late, where their time is over by then.
type delayStats struct {
	delaysMS   []float64 // ms
	late       int       // in force after their time, or missing
	missing    int       // not in force, and their time is over
	pending    int       // not in force, their time is not over
	superseded int       // overtaken before they were in force
	longest    time.Duration
}

func (b *tracker) changeDelays(from int, real bool, sender int, now time.Time) delayStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d delayStats
	for _, c := range b.changes[min(from, len(b.changes)):] {
		for s, f := range c.adoptions(real) {
			if sender >= 0 && s != sender {
				continue
			}
			switch {
			case !f.adoptedAt.IsZero():
				took := max(0, f.adoptedAt.Sub(f.visibleSince))
				d.delaysMS = append(d.delaysMS, float64(took)/float64(time.Millisecond))
				d.longest = max(d.longest, took)
				if took > maxChangeDelay {
					d.late++
				}
			case !c.latest:
				d.superseded++
			case now.Sub(f.visibleSince) > maxChangeDelay:
				d.late++
				d.missing++
				d.longest = max(d.longest, now.Sub(f.visibleSince))
			default:
				d.pending++
			}
		}
	}
	return d
}

// lastForced is when the last change came in force that had been told by a time.
func (b *tracker) lastAdoption(by time.Time) (last time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.changes {
		if c.published.After(by) {
			continue
		}
		for _, of := range []map[int]adoption{c.real, c.simulated} {
			for _, f := range of {
				last = laterOf(last, f.adoptedAt)
			}
		}
	}
	return last
}

// owed is how many messages were taken on and have no end yet.
func (b *tracker) unfinished() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.messages {
		if m.accepted && m.firstDelivery.IsZero() && m.firstNotice.IsZero() {
			n++
		}
	}
	return n
}

// verdict is the judge's word on the messages so far.
type verdict struct {
	submitted, accepted, delivered, notified int
	lost, duplicated, late, stale            int
	longestDelay                             time.Duration
	firstViolation                           string // break, in words
}

// judge says what became of the messages. Whatever is owed must have ended by now; excused tells until when a sender could not
// end or tell of anything, which is when it was back.
func (b *tracker) judge(excused func(sender int) time.Time) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := verdict{duplicated: len(b.duplicates)}
	note := func(format string, args ...any) {
		if v.firstViolation == "" {
			v.firstViolation = fmt.Sprintf(format, args...)
		}
	}
	if v.duplicated > 0 {
		note("%s ran twice and may not", b.duplicates[0])
	}
	for id, m := range b.messages {
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
		by := m.deadline.Add(deadlineGrace)
		if back := excused(m.sender).Add(outageGrace); back.After(by) {
			by = back
		}
		switch {
		case end.IsZero():
			v.lost++
			note("%s was taken on and has no end", id)
		case end.After(by):
			v.late++
			v.longestDelay = max(v.longestDelay, end.Sub(by))
			note("%s ended %v after its time", id, end.Sub(by).Round(time.Millisecond))
		}
	}
	for _, c := range b.changes {
		for s := range c.staleCalls {
			v.stale++
			note("sender %d made a call by the list before change %d after one by it", s, c.number)
		}
	}
	return v
}

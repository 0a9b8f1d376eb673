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
const burstSpan = 2 * time.Second

// Limits that the judge goes by.
const (
	inForceWithin = 13 * time.Second       // a change, from when its sender could hear of it
	endWithin     = 350 * time.Millisecond // a message's end, past its time: the protocol's 300 ms and the slack of 50
	afterOutage   = 3 * time.Second        // the same, from when the sender and its discovery are back
	longestOutage = 5 * time.Minute        // that a plan may hold
	staleAfter    = 500 * time.Millisecond // past the first call by a change, no call of the same sender goes the old way
)

// change is one endpoint that takes another's place.
type change struct {
	n, dest, side int
	published     time.Time
	last          bool              // no later change of the destination so far
	real, hollow  map[int]forced    // by sender
	stale         map[int]time.Time // by real sender, the first call the old way after one by the change
}

// forced is when a change was in force at a sender, and since when it could have been heard of.
type forced struct{ at, could time.Time }

// message is one that was handed in by the traffic.
type message struct {
	sender    int
	dest      int
	once      bool // it may not run twice
	due       time.Time
	taken     bool
	calls     int
	delivered time.Time // first
	told      time.Time // first notice
	refused   bool      // by that notice: handing it in again is said to be harmless
}

// book holds messages and changes.
type book struct {
	mu      sync.Mutex
	msgs    map[string]*message
	changes []*change
	latest  map[int]*change // by destination
	doubled []string        // messages that ran twice and may not
	zone    int             // that came back last
	zoneAt  time.Time
	burst   map[int]int // calls at its destinations since, for burstSpan
}

func newBook() *book {
	return &book{msgs: map[string]*message{}, latest: map[int]*change{}, burst: map[int]int{}}
}

// Names: t-SENDER-NUMBER-CLASS for traffic, p-CHANGE-SENDER-NUMBER for a probe, f-... for what is only to be held.
func trafficName(sender, n int, once bool) string {
	if once {
		return fmt.Sprintf("t-%d-%d-o", sender, n)
	}
	return fmt.Sprintf("t-%d-%d-s", sender, n)
}

func probeName(change, sender, n int) string { return fmt.Sprintf("p-%d-%d-%d", change, sender, n) }

// handing notes a message that is about to be handed in.
func (b *book) handing(id string, m message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.msgs[id] = &m
}

// answered notes what the sender said: only what it has taken on does it owe an end.
func (b *book) answered(id string, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; m != nil {
		m.taken = taken
	}
}

// arrived notes a call at a destination.
func (b *book) arrived(id string, side int) {
	now := time.Now()
	switch {
	case strings.HasPrefix(id, "t-"):
		b.mu.Lock()
		defer b.mu.Unlock()
		if m := b.msgs[id]; m != nil {
			m.calls++
			if m.dest%zones == b.zone && !b.zoneAt.IsZero() && now.Sub(b.zoneAt) < burstSpan {
				b.burst[m.dest]++
			}
			if m.calls == 1 {
				m.delivered = now
			} else if m.once {
				b.doubled = append(b.doubled, id)
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
			b.probed(n, sender, side, now)
		}
	}
}

// zoneBack begins to count the calls at a zone's destinations.
func (b *book) zoneBack(zone int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zone, b.zoneAt = zone, time.Now()
}

// mostCalls is the most at one destination since.
func (b *book) mostCalls() (most int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.burst {
		most = max(most, n)
	}
	return most
}

// probed notes a probe's call: the first at the new endpoint is the first by the change.
func (b *book) probed(n, sender, side int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= len(b.changes) {
		return
	}
	c := b.changes[n]
	f, known := c.real[sender]
	switch {
	case side == c.side && (!known || f.at.IsZero()):
		f.at = now
		c.real[sender] = f
	case side != c.side && known && !f.at.IsZero() && c.last && now.Sub(f.at) > staleAfter && c.stale[sender].IsZero():
		c.stale[sender] = now
	}
}

// noticed notes a sender's word that a message ended undelivered.
func (b *book) noticed(id, result string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.msgs[id]; m != nil && m.told.IsZero() {
		m.told, m.refused = time.Now(), result == "bounced"
	}
}

// changing opens the book for a change of a destination and returns it.
func (b *book) changing(dest int) *change {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &change{n: len(b.changes), dest: dest, side: 1, last: true, real: map[int]forced{}, hollow: map[int]forced{}, stale: map[int]time.Time{}}
	if old := b.latest[dest]; old != nil {
		old.last = false
		c.side = 1 - old.side
	}
	b.latest[dest] = c
	b.changes = append(b.changes, c)
	return c
}

// publishing notes the time at which a change is told.
func (b *book) publishing(c *change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.published = time.Now()
}

func (c *change) of(real bool) map[int]forced {
	if real {
		return c.real
	}
	return c.hollow
}

// could notes since when a sender could hear of a change.
func (b *book) could(c *change, sender int, real bool, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.of(real)[sender] = forced{could: later(since, c.published)}
}

// returned notes that a sender, or its way to discovery, is back: what it has not heard yet it could hear from then on.
func (b *book) returned(sender int, real bool, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.changes {
		if c.of(real)[sender].at.IsZero() {
			c.of(real)[sender] = forced{could: later(at, c.published)}
		}
	}
}

// heard notes that the list of a hollow sender's module holds a change.
func (b *book) heard(n, sender int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= len(b.changes) {
		return
	}
	f := b.changes[n].hollow[sender]
	if f.at.IsZero() && !f.could.IsZero() {
		f.at = time.Now()
		b.changes[n].hollow[sender] = f
	}
}

// inForce tells whether a change is in force at a real sender.
func (b *book) inForce(c *change, sender int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.real[sender].at.IsZero()
}

// over tells whether it is idle to wait for a change at a real sender: a later one of the same destination makes it moot, or its
// time has long passed.
func (b *book) over(c *change, sender int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.last || time.Since(c.real[sender].could) > inForceWithin+longestOutage
}

// delays are the times from when a change could be heard to when it was in force, from a change's number on, with those
// that are not in force: late, where their time is over by then.
type delays struct {
	took    []float64 // ms
	late    int       // in force after their time, or missing
	missing int       // not in force, and their time is over
	pending int       // not in force, their time is not over
	moot    int       // overtaken before they were in force
	worst   time.Duration
}

func (b *book) delays(from int, real bool, sender int, now time.Time) delays {
	b.mu.Lock()
	defer b.mu.Unlock()
	var d delays
	for _, c := range b.changes[min(from, len(b.changes)):] {
		for s, f := range c.of(real) {
			if sender >= 0 && s != sender {
				continue
			}
			switch {
			case !f.at.IsZero():
				took := max(0, f.at.Sub(f.could))
				d.took = append(d.took, float64(took)/float64(time.Millisecond))
				d.worst = max(d.worst, took)
				if took > inForceWithin {
					d.late++
				}
			case !c.last:
				d.moot++
			case now.Sub(f.could) > inForceWithin:
				d.late++
				d.missing++
				d.worst = max(d.worst, now.Sub(f.could))
			default:
				d.pending++
			}
		}
	}
	return d
}

// lastForced is when the last change came in force that had been told by a time.
func (b *book) lastForced(by time.Time) (last time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.changes {
		if c.published.After(by) {
			continue
		}
		for _, of := range []map[int]forced{c.real, c.hollow} {
			for _, f := range of {
				last = later(last, f.at)
			}
		}
	}
	return last
}

// owed is how many messages were taken on and have no end yet.
func (b *book) owed() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.msgs {
		if m.taken && m.delivered.IsZero() && m.told.IsZero() {
			n++
		}
	}
	return n
}

// verdict is the judge's word on the messages so far.
type verdict struct {
	handed, taken, delivered, told int
	lost, doubled, late, stale     int
	worstLate                      time.Duration
	first                          string // break, in words
}

// judge says what became of the messages. Whatever is owed must have ended by now; excused tells until when a sender could not
// end or tell of anything, which is when it was back.
func (b *book) judge(excused func(sender int) time.Time) verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := verdict{doubled: len(b.doubled)}
	note := func(format string, args ...any) {
		if v.first == "" {
			v.first = fmt.Sprintf(format, args...)
		}
	}
	if v.doubled > 0 {
		note("%s ran twice and may not", b.doubled[0])
	}
	for id, m := range b.msgs {
		v.handed++
		if !m.taken {
			continue
		}
		v.taken++
		end := m.delivered
		if !end.IsZero() {
			v.delivered++
		}
		if !m.told.IsZero() {
			v.told++
			if m.refused && m.once && m.calls > 0 {
				v.doubled++
				note("%s ran, may not run twice, and was told of as harmless to hand in again", id)
			}
			if end.IsZero() || m.told.Before(end) {
				end = m.told
			}
		}
		by := m.due.Add(endWithin)
		if back := excused(m.sender).Add(afterOutage); back.After(by) {
			by = back
		}
		switch {
		case end.IsZero():
			v.lost++
			note("%s was taken on and has no end", id)
		case end.After(by):
			v.late++
			v.worstLate = max(v.worstLate, end.Sub(by))
			note("%s ended %v after its time", id, end.Sub(by).Round(time.Millisecond))
		}
	}
	for _, c := range b.changes {
		for s := range c.stale {
			v.stale++
			note("sender %d made a call by the list before change %d after one by it", s, c.n)
		}
	}
	return v
}

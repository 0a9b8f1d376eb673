// Package judge owns the six rules as an onlooker sees them: it watches every message, call, outcome and list, and names
// each break with its time, sender, message and the events that led to it. It must share no code with the decision
// module, believe nothing that a policy says of itself, and change nothing in a run.
package judge

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// Rule numbers a rule as the project's brief does.
type Rule int

// The rules.
const (
	LostMessage       Rule = 1 + iota // a message without its one end in time
	DoubleEffect                      // a repeat, or a refusal, beyond what the class allows
	DrainIgnored                      // new work to an endpoint that drains or is gone
	RecoveryOverload                  // a returning destination pushed over
	OutOfOrder                        // out of the order of its key
	RetryAfterIgnored                 // sent during a told wait
)

// Rules lists all.
var Rules = []Rule{LostMessage, DoubleEffect, DrainIgnored, RecoveryOverload, OutOfOrder, RetryAfterIgnored}

func (r Rule) String() string {
	return [...]string{"", "1 lost message", "2 double effect", "3 drain", "4 pushed over", "5 order", "6 wait"}[r]
}

// Break is one broken rule.
type Violation struct {
	Rule    Rule
	At      time.Duration
	Sender  int
	Message rules.MessageID // empty for rule 4, which is about many
	Text    string
	Trail   []string // what led to it, oldest first
}

func (b Violation) String() string {
	return fmt.Sprintf("%.3fs rule %v, sender %d, message %s: %s", b.At.Seconds(), b.Rule, b.Sender, cmp.Or(string(b.Message), "-"), b.Text)
}

// keep bounds the breaks kept in full; all are counted.
const keep = 50

// sweepStep is how often messages that were never ended are looked for.
const sweepStep = 100 * time.Millisecond

// Judge watches one run.
type Judge struct {
	s          *scenario.Scenario
	senders    []*record
	units      map[int]*unitRecord
	outages    []*unitRecord // all so far
	unitOf     func(rules.EndpointID) (unit, zone int)
	Violations []Violation
	Counts     map[Rule]int
	due        map[int64][]dueItem
	swept      int64
}

type dueItem struct {
	sender int
	d      *duty
}

// record is what the judge knows of one sender's process.
type record struct {
	duties  map[rules.MessageID]*duty
	ended   map[rules.MessageID]time.Duration
	drained map[rules.EndpointID]time.Duration // told so
	listed  map[rules.EndpointID]bool
	waits   map[int]wait
	keys    map[string][]*duty
	taken   int
	down    bool          // its process has ended, and its state is kept
	grace   time.Duration // after a restart with state: ends due before this are not late
}

type wait struct{ told, until time.Duration }

type unitRecord struct {
	begins, ends time.Duration
	lasts        bool
	learned      map[int]bool // senders that had seen a call fail or be refused there during the outage
	margin       float64      // of the worst window since its end
}

// duty is a message that a sender owes its end.
type duty struct {
	m        *model.Message
	class    *scenario.Class
	attempts []attempt
	over     bool
	rest     time.Duration // of its order key
	seq      int           // order of taking
	trail    []note
}

type attempt struct {
	at       time.Duration
	endpoint rules.EndpointID
	unit     int
	zone     int
	done     bool
	outcome  rules.Outcome
}

type note struct {
	at      time.Duration
	what    byte // t taken, c called, o outcome, e end
	attempt int
	ep      rules.EndpointID
	outcome rules.Outcome
	end     model.End
}

var outcomeNames = [...]string{"ok", "error", "full", "timed out", "connect failed", "reset", "cancelled", "not sent"}

func (n note) String() string {
	at := fmt.Sprintf("%.3fs ", n.at.Seconds())
	switch n.what {
	case 't':
		return at + "taken"
	case 'c':
		return fmt.Sprintf("%sattempt %d to endpoint %d", at, n.attempt, n.ep)
	case 'o':
		return fmt.Sprintf("%sattempt %d ended: %s", at, n.attempt, outcomeNames[n.outcome])
	}
	return at + n.end.String()
}

// New returns a judge of a scenario; unitOf names the unit and zone of an endpoint.
func New(s *scenario.Scenario, unitOf func(rules.EndpointID) (unit, zone int)) *Judge {
	j := &Judge{s: s, unitOf: unitOf, units: map[int]*unitRecord{}, Counts: map[Rule]int{}, due: map[int64][]dueItem{}}
	for range s.Senders.Count {
		j.senders = append(j.senders, newRecord())
	}
	return j
}

func newRecord() *record {
	return &record{duties: map[rules.MessageID]*duty{}, ended: map[rules.MessageID]time.Duration{},
		drained: map[rules.EndpointID]time.Duration{}, listed: map[rules.EndpointID]bool{}, waits: map[int]wait{},
		keys: map[string][]*duty{}}
}

func (j *Judge) breakRule(r Rule, at time.Duration, sender int, d *duty, trail []string, format string, args ...any) {
	j.Counts[r]++
	if len(j.Violations) >= keep {
		return
	}
	b := Violation{Rule: r, At: at, Sender: sender, Text: fmt.Sprintf(format, args...), Trail: trail}
	if d != nil {
		b.Message = d.m.ID
		for _, n := range d.trail {
			b.Trail = append(b.Trail, n.String())
		}
	}
	j.Violations = append(j.Violations, b)
}

// Taken tells that a sender has taken a message on.
func (j *Judge) MessageAccepted(now time.Duration, sender int, m *model.Message) {
	r := j.senders[sender]
	d := &duty{m: m, class: &j.s.Classes[m.Class], trail: []note{{at: now, what: 't'}}}
	r.taken++
	d.seq = r.taken
	r.duties[m.ID] = d
	if d.class.KeepOrder && m.Key != "" {
		r.keys[m.Key] = append(r.keys[m.Key], d)
	}
	at := int64((m.Deadline+j.s.Rules.AnswerGrace.D())/sweepStep) + 1
	j.due[at] = append(j.due[at], dueItem{sender, d})
}

// Called tells that a sender makes an attempt.
func (j *Judge) AttemptStarted(now time.Duration, sender int, id rules.MessageID, num int, ep rules.EndpointID) {
	r := j.senders[sender]
	unit, zone := j.unitOf(ep)
	d := r.duties[id]
	if d == nil {
		j.breakRule(LostMessage, now, sender, &duty{m: &model.Message{ID: id}}, nil, "sent to endpoint %d, though it has ended or was never taken", ep)
		return
	}
	j.checkRepeat(now, sender, d, ep, zone)
	j.checkList(now, sender, r, d, ep)
	if w, told := r.waits[unit]; told && now > w.told && now < w.until {
		j.breakRule(RetryAfterIgnored, now, sender, d, nil, "sent to endpoint %d, which asked at %.3fs for a wait until %.3fs", ep, w.told.Seconds(), w.until.Seconds())
	}
	j.checkOrder(now, sender, r, d)
	d.attempts = append(d.attempts, attempt{at: now, endpoint: ep, unit: unit, zone: zone})
	d.trail = append(d.trail, note{at: now, what: 'c', attempt: num, ep: ep})
}

// mayHaveRun tells whether an attempt is not known never to have run.
func (a *attempt) mayHaveRun() bool {
	return !a.done || a.outcome != rules.Refused && a.outcome != rules.ConnectError && a.outcome != rules.NotSent
}

func (d *duty) firstThatMayHaveRun() *attempt {
	for i := range d.attempts {
		if d.attempts[i].mayHaveRun() {
			return &d.attempts[i]
		}
	}
	return nil
}

// checkRepeat holds rule 2 for an attempt.
func (j *Judge) checkRepeat(now time.Duration, sender int, d *duty, ep rules.EndpointID, zone int) {
	first := d.firstThatMayHaveRun()
	if first == nil || d.class.Effect == "safe" {
		return
	}
	if d.class.Effect == "once" {
		j.breakRule(DoubleEffect, now, sender, d, nil, "sent again to endpoint %d, though an attempt of %.3fs may have run", ep, first.at.Seconds())
		return
	}
	if now-first.at > d.class.Window.D() {
		j.breakRule(DoubleEffect, now, sender, d, nil, "sent again %v after an attempt that may have run; its key is remembered for %v", now-first.at, d.class.Window.D())
	} else if d.class.Scope == "zone" && zone != first.zone || d.class.Scope == "endpoint" && ep != first.endpoint {
		j.breakRule(DoubleEffect, now, sender, d, nil, "sent again to endpoint %d, outside the %s that remembers its key", ep, d.class.Scope)
	}
}

// checkList holds rule 3.
func (j *Judge) checkList(now time.Duration, sender int, r *record, d *duty, ep rules.EndpointID) {
	if told, drained := r.drained[ep]; drained && now > told+j.s.Rules.DrainGrace.D() {
		j.breakRule(DrainIgnored, now, sender, d, nil, "sent to endpoint %d %v after the sender was told that it drains or is gone", ep, now-told)
	} else if !drained && !r.listed[ep] {
		j.breakRule(DrainIgnored, now, sender, d, nil, "sent to endpoint %d, which no list has named", ep)
	}
}

// checkOrder holds rule 5 for an attempt.
func (j *Judge) checkOrder(now time.Duration, sender int, r *record, d *duty) {
	if !d.class.KeepOrder || d.m.Key == "" {
		return
	}
	queue := r.keys[d.m.Key]
	for _, earlier := range queue {
		if earlier == d {
			break
		}
		out := slices.ContainsFunc(earlier.attempts, func(a attempt) bool { return !a.done })
		switch {
		case !earlier.over:
			j.breakRule(OutOfOrder, now, sender, d, nil, "sent while message %s of the same key, taken before it, is not over", earlier.m.ID)
		case out:
			j.breakRule(OutOfOrder, now, sender, d, nil, "sent while an attempt of message %s of the same key is out", earlier.m.ID)
		case now < earlier.rest:
			j.breakRule(OutOfOrder, now, sender, d, nil, "sent at once after an attempt of message %s that may still run", earlier.m.ID)
		default:
			continue
		}
		return
	}
}

// dropFromKey forgets messages of a key that can hold nobody up any more.
func (r *record) dropFromKey(now time.Duration, key string) {
	queue := r.keys[key]
	for len(queue) > 0 && queue[0].over && now >= queue[0].rest &&
		!slices.ContainsFunc(queue[0].attempts, func(a attempt) bool { return !a.done }) {
		queue = queue[1:]
	}
	if len(queue) == 0 {
		delete(r.keys, key)
		return
	}
	r.keys[key] = queue
}

// Told tells that a sender has heard how an attempt ended.
func (j *Judge) AttemptEnded(now time.Duration, sender int, id rules.MessageID, num int, ep rules.EndpointID, o rules.Outcome, w time.Duration) {
	r := j.senders[sender]
	unit, _ := j.unitOf(ep)
	sent := now
	if d := r.duties[id]; d != nil {
		for i := range d.attempts {
			if a := &d.attempts[i]; i == num && !a.done {
				a.done, a.outcome, sent = true, o, a.at
			}
		}
		if o == rules.TimedOut || o == rules.Reset || o == rules.Cancelled {
			d.rest = now + j.s.Rules.OrderPause.D()
		}
		d.trail = append(d.trail, note{at: now, what: 'o', attempt: num, ep: ep, outcome: o})
		if d.over {
			j.settle(now, r, d)
		}
	}
	if o == rules.Refused && w > 0 {
		if old := r.waits[unit]; now+w > old.until {
			r.waits[unit] = wait{told: now, until: now + w}
		}
	}
	if o != rules.OK && o != rules.NotSent {
		if u := j.units[unit]; u != nil && (u.lasts || sent <= u.ends) {
			u.learned[sender] = true
		}
	}
}

// Ended tells that a sender ended a message, or that it was served.
func (j *Judge) MessageEnded(now time.Duration, sender int, id rules.MessageID, end model.End) {
	r := j.senders[sender]
	d := r.duties[id]
	if d == nil || d.over {
		if at, before := r.ended[id]; before && end != model.Served && at < now {
			j.breakRule(LostMessage, now, sender, &duty{m: &model.Message{ID: id}},
				[]string{fmt.Sprintf("%.3fs it ended", at.Seconds()), fmt.Sprintf("%.3fs %v", now.Seconds(), end)},
				"%v, though it had ended at %.3fs", end, at.Seconds())
		}
		return
	}
	d.trail = append(d.trail, note{at: now, what: 'e', end: end})
	if late := now - max(d.m.Deadline+j.s.Rules.AnswerGrace.D(), r.grace); late > 0 && end != model.Withdrawn {
		j.breakRule(LostMessage, now, sender, d, nil, "%v %v after its time was up", end, late)
	}
	if end == model.Refused {
		j.checkRefusal(now, sender, d)
	}
	d.over = true
	r.ended[id] = now
	j.settle(now, r, d)
}

// checkRefusal holds rule 2 for a refusal, which promises that coming again is harmless.
func (j *Judge) checkRefusal(now time.Duration, sender int, d *duty) {
	first := d.firstThatMayHaveRun()
	if first == nil || d.class.Effect == "safe" || d.class.Effect == "keyed" && d.class.Scope == "destination" {
		return
	}
	j.breakRule(DoubleEffect, now, sender, d, nil, "refused, though an attempt of %.3fs may have run", first.at.Seconds())
}

// settle forgets a message that is over once no attempt of it is out.
func (j *Judge) settle(now time.Duration, r *record, d *duty) {
	if slices.ContainsFunc(d.attempts, func(a attempt) bool { return !a.done }) {
		return
	}
	delete(r.duties, d.m.ID)
	if d.class.KeepOrder && d.m.Key != "" {
		r.dropFromKey(now, d.m.Key)
	}
}

// Listed tells what a sender has heard of the list.
func (j *Judge) ListReceived(now time.Duration, sender int, e rules.ListUpdate) {
	r := j.senders[sender]
	named := map[rules.EndpointID]bool{}
	for _, entry := range e.Entries {
		named[entry.Endpoint] = true
		if entry.Draining || entry.Gone {
			if _, told := r.drained[entry.Endpoint]; !told {
				r.drained[entry.Endpoint] = now
			}
			continue
		}
		r.listed[entry.Endpoint] = true
		delete(r.drained, entry.Endpoint)
	}
	if !e.Whole {
		return
	}
	for ep := range r.listed {
		if !named[ep] {
			if _, told := r.drained[ep]; !told {
				r.drained[ep] = now
			}
		}
	}
}

// Stopped tells that a sender's process ended. What it held is its duty no more, unless its state outlasts it.
func (j *Judge) SenderStopped(sender int, kept bool) {
	r := j.senders[sender]
	if !kept {
		for _, d := range r.duties {
			d.over = true
		}
		j.senders[sender] = newRecord()
		return
	}
	for _, d := range r.duties { // what was out when the process ended may have run, and nobody will hear of it
		for i := range d.attempts {
			if !d.attempts[i].done {
				d.attempts[i].done, d.attempts[i].outcome = true, rules.Reset
			}
		}
		if d.over {
			delete(r.duties, d.m.ID)
		}
	}
	r.drained, r.listed = map[rules.EndpointID]time.Duration{}, map[rules.EndpointID]bool{}
	r.waits, r.keys = map[int]wait{}, map[string][]*duty{}
	r.down = true
	var owed []*duty // the next process takes them anew, in the order in which this one had
	for _, d := range r.duties {
		if d.class.KeepOrder && d.m.Key != "" {
			owed = append(owed, d)
		}
	}
	slices.SortFunc(owed, func(a, b *duty) int { return cmp.Compare(a.seq, b.seq) })
	for _, d := range owed {
		r.keys[d.m.Key] = append(r.keys[d.m.Key], d)
	}
}

// Started tells that a sender's process is back.
func (j *Judge) SenderStarted(now time.Duration, sender int) {
	j.senders[sender].down = false
	j.senders[sender].grace = now + j.s.Rules.RestartGrace.D()
}

// Sweep looks for messages whose time is up and that have no end.
func (j *Judge) Sweep(now time.Duration) {
	for limit := int64(now / sweepStep); j.swept < limit; j.swept++ {
		for _, item := range j.due[j.swept] {
			r := j.senders[item.sender]
			if item.d.over {
				delete(r.ended, item.d.m.ID)
				continue
			}
			if r.down || r.grace >= now && r.grace > item.d.m.Deadline {
				at := max(int64(r.grace/sweepStep), int64(now/sweepStep)) + 1
				j.due[at] = append(j.due[at], item)
				continue
			}
			j.breakRule(LostMessage, now, item.sender, item.d, nil, "its time was up at %.3fs and it has no end", item.d.m.Deadline.Seconds())
			item.d.over = true
			delete(r.duties, item.d.m.ID)
		}
		delete(j.due, j.swept)
	}
}

// Owed is how many messages are owed an end.
func (j *Judge) Unfinished() int {
	n := 0
	for _, items := range j.due {
		for _, item := range items {
			if !item.d.over {
				n++
			}
		}
	}
	return n
}

// Outage tells that an outage of a unit began or ended.
func (j *Judge) Outage(now time.Duration, unit int, begins bool) {
	if begins {
		j.units[unit] = &unitRecord{begins: now, lasts: true, learned: map[int]bool{}}
		j.outages = append(j.outages, j.units[unit])
	} else if u := j.units[unit]; u != nil {
		u.lasts, u.ends = false, now
	}
}

// Weighed tells of a window of calls that a unit was sent since its return, and above how many it falls over.
func (j *Judge) WindowMeasured(unit int, window []receiver.Arrival, allowed float64) {
	if u := j.units[unit]; u != nil {
		u.margin = max(u.margin, margin.Of(window, allowed, func(sender int) bool { return u.learned[sender] }))
	}
}

// Margins returns the margin of the worst window of each return so far.
func (j *Judge) Margins() (margins []float64) {
	for _, u := range j.outages {
		if !u.lasts {
			margins = append(margins, u.margin)
		}
	}
	return margins
}

// Fell tells that a cold unit was sent too much; by holds what each sender sent in the span.
func (j *Judge) UnitOverloaded(now time.Duration, unit int, by map[int]float64) {
	u := j.units[unit]
	if u == nil {
		return
	}
	var all, knowing float64
	var senders []int
	for s, w := range by {
		all += w
		senders = append(senders, s)
		if u.learned[s] {
			knowing += w
		}
	}
	if knowing < all*margin.InformedShare {
		return
	}
	slices.SortFunc(senders, func(a, b int) int { return cmp.Or(cmp.Compare(by[b], by[a]), cmp.Compare(a, b)) })
	trail := []string{fmt.Sprintf("%.3fs outage of unit %d began", u.begins.Seconds(), unit), fmt.Sprintf("%.3fs it ended", u.ends.Seconds())}
	for _, s := range senders[:min(len(senders), 8)] {
		trail = append(trail, fmt.Sprintf("sender %d sent %.1f, had seen the outage: %v", s, by[s], u.learned[s]))
	}
	j.breakRule(RecoveryOverload, now, senders[0], nil, trail, "unit %d, back %v ago, was sent %.1f calls within the span and fell over; %.0f%% came from senders that had seen its outage",
		unit, now-u.ends, all, 100*knowing/all)
}

package rules

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// What is harmless in one sender and harmful over hundreds is tested with hundreds: each a Sender of its own with a seed of
// its own, all before one endpoint, in virtual time. Counts are taken at the endpoint and at the end of each message.

// agenda is what is to happen, earliest first, of equals the one entered first.
type agenda []agendum

type agendum struct {
	at  time.Duration
	seq int
	do  func()
}

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(agendum)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// receiver is the endpoint's side of a fleet's run.
type receiver interface {
	call(sender int, done func(Ended)) // done gives the outcome when it is due; Outcome and Wait count
	closeIdle(sender int)
}

// fleet is many senders before one endpoint, number 11 of destination 1.
type fleet struct {
	set     Settings
	rng     *rand.Rand
	senders []*Sender
	wakes   []time.Duration // what each has asked for last
	now     time.Duration
	todo    agenda
	seq     int
	to      receiver
	tries   map[MessageID]int
	failed  map[MessageID]int
	taken   map[MessageID]time.Duration
	n       int

	inTime, late, lost int // messages by their end
}

func newFleet(seed uint64, senders int, change func(*Settings), connect func(*fleet) receiver) *fleet {
	f := &fleet{set: testSettings(), rng: rand.New(rand.NewPCG(seed, 1)), now: 100 * sec,
		wakes: make([]time.Duration, senders), tries: map[MessageID]int{}, failed: map[MessageID]int{}, taken: map[MessageID]time.Duration{}}
	f.set.Senders, f.set.MaxAttempts = senders, 12
	if change != nil {
		change(&f.set)
	}
	f.to = connect(f)
	for i := range senders {
		f.senders = append(f.senders, nil)
		f.start(i)
	}
	return f
}

// start makes sender i a new process that knows the list and nothing else.
func (f *fleet) start(i int) {
	set := f.set
	set.Seed = f.rng.Uint64()
	f.senders[i], f.wakes[i] = New(set), never
	f.step(i, Listed{Whole: true, Entries: []Entry{{Endpoint: 11, Destination: 1}}})
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.todo, agendum{f.now + d, f.seq, do})
}

// run goes on until all is done that was to happen within this time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; len(f.todo) > 0 && f.todo[0].at <= end; {
		next := heap.Pop(&f.todo).(agendum)
		f.now = next.at
		next.do()
	}
}

// traffic hands in messages of a class for a while, this many a second over all senders at random; one in eight comes as
// a clump of three.
func (f *fleet) traffic(d time.Duration, perSecond float64, class int) {
	for at := time.Duration(0); at < d; at += seconds(f.rng.ExpFloat64() / perSecond * 1.25) {
		i, n := f.rng.IntN(len(f.senders)), 1
		if f.rng.IntN(8) == 0 {
			n = 3
		}
		f.after(at, func() {
			for range n {
				f.n++
				id := MessageID(fmt.Sprintf("m%d", f.n))
				f.taken[id] = f.now
				f.step(i, Arrived{ID: id, Destination: 1, Class: class, TimeLeft: f.set.Classes[class].Deadline})
			}
		})
	}
}

func (f *fleet) step(i int, events ...Event) {
	s := f.senders[i]
	if f.wakes[i] <= f.now {
		f.wakes[i] = never
	}
	out := s.Step(f.now, events)
	if len(pick[CloseIdle](out)) > 0 { // as the exchange does: closings before the calls of the same step
		f.to.closeIdle(i)
	}
	for _, a := range out {
		switch a := a.(type) {
		case Send:
			num := f.tries[a.ID]
			f.tries[a.ID]++
			sent := f.now
			f.to.call(i, func(e Ended) {
				if f.senders[i] != s {
					return // that process is gone
				}
				e.ID, e.Attempt, e.Endpoint, e.Elapsed, e.Over = a.ID, num, a.Endpoint, f.now-sent, e.Outcome == OK
				if !e.Over && !e.NoPlace && e.Outcome != Full {
					f.failed[a.ID]++
				}
				if e.Over && f.now-f.taken[a.ID] <= f.set.Classes[safe].Aim {
					f.ended(a.ID, &f.inTime)
				} else if e.Over {
					f.ended(a.ID, &f.late)
				}
				f.step(i, e)
			})
		case Refuse:
			f.ended(a.ID, &f.lost)
		case Fail:
			f.ended(a.ID, &f.lost)
		case WakeAfter:
			at := f.now + a.After
			f.wakes[i] = at
			f.after(a.After, func() {
				if f.senders[i] == s && f.wakes[i] == at {
					f.step(i, Woke{})
				}
			})
		}
	}
}

// ended counts a message by its first end: a call that was given up may still be answered.
func (f *fleet) ended(id MessageID, as *int) {
	if _, open := f.taken[id]; open {
		*as++
		delete(f.taken, id)
	}
}

// table is an endpoint that holds so many connections, idle ones counted. The first call on one takes three times as long as
// the next, as the connection is opened with it.
type table struct {
	f            *fleet
	places, open int
	idle         map[int][]time.Duration // by sender, when each became idle
	by           map[int][3]int
}

func (t *table) call(i int, done func(Ended)) {
	took := 60 * ms
	switch {
	case len(t.idle[i]) > 0:
		t.idle[i] = t.idle[i][1:]
	case t.open < t.places:
		t.open++
		took = 180 * ms
	default:
		t.f.after(50*ms, func() { done(Ended{Outcome: ConnectError, NoPlace: true}) })
		return
	}
	if t.by == nil {
		t.by = map[int][3]int{}
	}
	b := t.by[int((t.f.now-100*sec)/(3*sec))]
	b[0]++
	if took > 100*ms {
		b[1]++
	}
	b[2] = t.open
	t.by[int((t.f.now-100*sec)/(3*sec))] = b
	t.f.after(took, func() {
		since := t.f.now
		t.idle[i] = append(t.idle[i], since)
		done(Ended{Outcome: OK})
		t.f.after(t.f.set.KeepAlive, func() {
			if len(t.idle[i]) > 0 && t.idle[i][0] <= since {
				t.open--
				t.idle[i] = t.idle[i][1:]
			}
		})
	})
}

func (t *table) closeIdle(i int) {
	t.open -= len(t.idle[i])
	t.idle[i] = nil
}

// Three hundred senders share twelve places, which the idle connections of one in twenty-five would fill. Each of the parts
// that deal with full tables is needed for it. In time of the first 40 s and then, the mean over the seeds: 0.58 and 0.85;
// without knocks 0.50 and 0.47, without shared places 0.58 and 0.66, with connections kept until one is turned away 0.21
// and 0.72, with all of them kept 0.08 and 0.04.
func TestHundredsOfSendersShareAFullTable(t *testing.T) {
	const seeds = 4
	var first, then float64
	for seed := range uint64(seeds) {
		f := newFleet(seed, 300, nil, func(f *fleet) receiver {
			return &table{f: f, places: 12, idle: map[int][]time.Duration{}}
		})
		f.traffic(120*sec, 60, safe)
		f.run(40 * sec) // each finds out alone that places are scarce
		early, ends := f.inTime, f.inTime+f.late+f.lost
		f.run(100 * sec)
		if f.inTime+f.late+f.lost != f.n {
			t.Fatalf("seed %d: %d of %d messages have an end", seed, f.inTime+f.late+f.lost, f.n)
		}
		first += float64(early) / float64(ends) / seeds
		then += float64(f.inTime-early) / float64(f.n-ends) / seeds
	}
	if first < 0.45 || then < 0.75 {
		t.Errorf("in time %.2f of the messages that ended in the first 40 s, %.2f of the others, want 0.45 and 0.75", first, then)
	}
}

// outage is an endpoint that refuses connections up to a moment and returns cold: its capacity grows evenly from the cold
// share to the whole of it over the warm-up. A connection once had stays open.
type outage struct {
	f        *fleet
	from, to time.Duration
	capacity float64 // calls a second, warm
	calls    []time.Duration
	bySeen   []bool
	seen     map[int]bool
}

func (o *outage) call(i int, done func(Ended)) {
	if o.f.now >= o.from && o.f.now < o.to {
		o.seen[i] = true
		o.f.after(30*ms, func() { done(Ended{Outcome: ConnectError}) })
		return
	}
	o.calls = append(o.calls, o.f.now)
	o.bySeen = append(o.bySeen, o.seen[i])
	o.f.after(60*ms, func() { done(Ended{Outcome: OK}) })
}

func (o *outage) closeIdle(int) {}

// worst is the most calls within the fall window after the return, as a share of what would push the endpoint over: the
// overload factor times what it can take in that time; and the part of them by senders that saw it fail.
func (o *outage) worst() (float64, float64) {
	set, most, part := o.f.set, 0.0, 0.0
	for i, from := range o.calls {
		if from < o.to || from > o.to+set.WarmUp {
			continue
		}
		n, k := 0, 0
		for j, at := range o.calls[i:] {
			if at < from+set.FallWindow {
				n++
				if o.bySeen[i+j] {
					k++
				}
			}
		}
		warm := (from - o.to).Seconds() / set.WarmUp.Seconds()
		can := o.capacity * (set.ColdShare + (1-set.ColdShare)*warm) * set.FallWindow.Seconds()
		if r := float64(n) / (set.OverloadFactor * can); r > most {
			most, part = r, float64(k)/float64(n)
		}
	}
	return most, part
}

// restart ends sender i and starts it again with what its ledger knows of the messages that it owes.
func (f *fleet) restart(i int) {
	var owed []Event
	for _, m := range f.senders[i].inOrder() {
		before := Before{Attempts: m.tries, Failed: f.failed[m.id], MayRun: m.mayRun != never || len(m.out) > 0}
		owed = append(owed, Arrived{ID: m.id, Destination: 1, Class: m.classNo, TimeLeft: m.deadline - f.now, Before: before})
	}
	f.start(i)
	f.step(i, owed...)
}

// inOrder is what a sender holds, in the order in which it falls due.
func (s *Sender) inOrder() []*message {
	return slices.SortedFunc(maps.Values(s.held), func(a, b *message) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.id, b.id))
	})
}

// Most senders are restarted a second before an endpoint returns cold, with what they owe. They push it no harder than
// those that were not restarted: by the most calls in a fall window after the return, over all seeds. Without what the
// attempts of the owed messages tell it is 2.3 times as hard (4.1 against 1.8 of what pushes it over).
func TestARestartForgetsNoOutage(t *testing.T) {
	const seeds = 3
	worst := func(restarts int) (sum float64) {
		for seed := range uint64(seeds) {
			var at *outage
			f := newFleet(seed, 300, nil, func(f *fleet) receiver {
				at = &outage{f: f, from: f.now + 10*sec, to: f.now + 18*sec, capacity: 100, seen: map[int]bool{}}
				return at
			})
			f.after(17*sec, func() {
				for i := range restarts {
					f.restart(i)
				}
			})
			f.traffic(40*sec, 60, safe)
			f.run(60 * sec)
			if f.inTime+f.late+f.lost != f.n {
				t.Fatalf("seed %d: %d of %d messages have an end", seed, f.inTime+f.late+f.lost, f.n)
			}
			most, bySeen := at.worst()
			t.Logf("%d restarted, seed %d: %.2f of what pushes it over, %.2f of it by senders that saw it fail", restarts, seed, most, bySeen)
			sum += most
		}
		return sum
	}
	if without, with := worst(0), worst(210); with > 1.1*without {
		t.Errorf("pushed %.2f times as hard as without restarts, want 1.1 at most", with/without)
	}
}

// limited is an endpoint that takes so many calls a second from all senders together and turns away the rest.
type limited struct {
	f             *fleet
	rate, room    float64 // calls a second; calls that may come now
	last          time.Duration
	taken, turned int
}

func (l *limited) call(_ int, done func(Ended)) {
	l.room = min(l.room+l.rate*(l.f.now-l.last).Seconds(), max(1, l.rate/2))
	l.last = l.f.now
	out := Full
	if l.room >= 1 {
		l.room--
		l.taken++
		out = OK
	} else {
		l.turned++
	}
	l.f.after(60*ms, func() { done(Ended{Outcome: out}) })
}

func (l *limited) closeIdle(int) {}

// Three hundred senders have an endpoint that takes 100 calls a second, 60 of which they use, and then 10. They go on using
// all of it, while ever fewer calls are turned away: 960 in the first 10 s, 380 in the fifth, of 600 messages each. Without
// paces it is 1,940 and 600; with a least pace of 1 call a second of each sender, however often refused, 1,160 and 500.
func TestALimitLoweredToATenth(t *testing.T) {
	for seed := range uint64(3) {
		var at *limited
		f := newFleet(seed, 300, nil, func(f *fleet) receiver {
			at = &limited{f: f, rate: 100, last: f.now}
			return at
		})
		f.traffic(70*sec, 60, safe)
		f.run(20 * sec)
		at.rate = 10
		var turned []int
		for span := range 5 {
			at.taken, at.turned = 0, 0
			f.run(10 * sec)
			if turned = append(turned, at.turned); at.taken < 95 {
				t.Errorf("seed %d, 10 s number %d: %d calls taken at a limit of 10 a second, want 95 at least", seed, span, at.taken)
			}
		}
		if turned[0] > 1100 || turned[4] > 450 {
			t.Errorf("seed %d: turned away in each 10 s %v, want at most 1100 in the first and 450 in the last", seed, turned)
		}
		f.run(30 * sec)
		if f.inTime+f.late+f.lost != f.n {
			t.Errorf("seed %d: %d of %d messages have an end", seed, f.inTime+f.late+f.lost, f.n)
		}
	}
}

// deaf is an endpoint that loses its answers for a while: the work is done, nobody hears of it.
type deaf struct {
	f        *fleet
	from, to time.Duration
	calls    int
}

func (d *deaf) call(_ int, done func(Ended)) {
	d.calls++
	if d.f.now >= d.from && d.f.now < d.to {
		d.f.after(1500*ms, func() { done(Ended{Outcome: TimedOut}) })
		return
	}
	d.f.after(60*ms, func() { done(Ended{Outcome: OK}) })
}

func (d *deaf) closeIdle(int) {}

// All answers are lost for 6 s. What the senders make of it is over soon after: messages handed in from ten seconds on
// are delivered in time, and few calls were made in vain.
func TestAnswersLostForSixSeconds(t *testing.T) {
	for seed := range uint64(3) {
		var at *deaf
		f := newFleet(seed, 300, nil, func(f *fleet) receiver {
			at = &deaf{f: f, from: f.now + 20*sec, to: f.now + 26*sec}
			return at
		})
		f.traffic(80*sec, 60, safe)
		f.run(36 * sec)
		late, lost, n, held := f.late, f.lost, f.n, f.n-f.inTime-f.late-f.lost
		if at.calls > n*5/4 {
			t.Errorf("seed %d: %d calls for %d messages, want a quarter more at most", seed, at.calls, n)
		}
		f.run(80 * sec)
		if bad := f.late + f.lost - late - lost; bad > held+(f.n-n)/20 {
			t.Errorf("seed %d: %d of %d messages late or lost from then on, %d held before, want one in twenty and those", seed, bad, f.n-n, held)
		}
		if f.inTime+f.late+f.lost != f.n {
			t.Errorf("seed %d: %d of %d messages have an end", seed, f.inTime+f.late+f.lost, f.n)
		}
	}
}

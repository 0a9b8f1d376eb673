package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps what a destination's messages wait in, so that finding the best of them does not mean to look at all. It
// decides nothing: what a message is worth, and where that changes its course, is told by the rules.

// backlog is what is held for one destination.
type backlog struct {
	held     int           // messages
	out      int           // of them, with attempts out
	groups   []*group      // of those that wait
	firstDue time.Duration // none of those that wait is due before; may be early
}

// likeness is all of a waiting message that a choice looks at, but its time.
type likeness struct {
	classNo, tenant, tries int
	ran                    bool // may have run, where that matters
	ranAt                  *endpoint
	ready                  bool // neither paused nor behind another one of its key
}

// group is messages that wait and differ in their time alone: a treap by deadline and, of equals, by arrival. Each node knows the
// oldest and newest arrival below it.
type group struct {
	likeness
	root *message
}

// node is a message's place in its group.
type node struct {
	group          *group // nil for one that does not wait
	seq            int    // in the order of arrival
	left, right    *message
	weight         uint64 // the heavier is above
	oldest, newest int    // arrivals in the tree from here down
}

// before orders messages by deadline and, of equals, by arrival.
func (m *message) before(o *message) bool {
	return m.deadline < o.deadline || m.deadline == o.deadline && m.seq < o.seq
}

// sum brings what a node knows of those below up to date.
func (m *message) sum() {
	m.oldest, m.newest = m.seq, m.seq
	for _, sub := range [...]*message{m.left, m.right} {
		if sub != nil {
			m.oldest, m.newest = min(m.oldest, sub.oldest), max(m.newest, sub.newest)
		}
	}
}

// insert adds a message to a tree and returns its new root.
func insert(t, m *message) *message {
	switch {
	case t == nil:
		m.sum()
		return m
	case m.weight > t.weight:
		m.left, m.right = split(t, m)
		m.sum()
		return m
	case m.before(t):
		t.left = insert(t.left, m)
	default:
		t.right = insert(t.right, m)
	}
	t.sum()
	return t
}

// split parts a tree into what comes before a message and the rest.
func split(t, m *message) (before, after *message) {
	switch {
	case t == nil:
		return nil, nil
	case t.before(m):
		t.right, after = split(t.right, m)
		before = t
	default:
		before, t.left = split(t.left, m)
		after = t
	}
	t.sum()
	return before, after
}

// join makes one tree of two, all of the first before all of the second.
func join(a, b *message) *message {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.weight > b.weight:
		a.right = join(a.right, b)
		a.sum()
		return a
	}
	b.left = join(a, b.left)
	b.sum()
	return b
}

// remove takes a message that is there out of a tree and returns its new root.
func remove(t, m *message) *message {
	if t == m {
		rest := join(m.left, m.right)
		m.left, m.right = nil, nil
		return rest
	}
	if m.before(t) {
		t.left = remove(t.left, m)
	} else {
		t.right = remove(t.right, m)
	}
	t.sum()
	return t
}

// file puts a message where it belongs by what is known of it now: into the group of its like if it waits. It notes when the
// clock alone may change that.
func (s *Sender) file(m *message) {
	d := m.dest
	if m.group != nil {
		s.unfile(m)
	}
	if ends := s.endsNext(m); ends < s.due(m) {
		s.alarm(&s.windows, m, ends)
	}
	if m.ended() || len(m.out) > 0 {
		return
	}
	if m.notBefore > s.now {
		s.alarm(&s.paused, m, m.notBefore)
	}
	like := likeness{classNo: m.classNo, tenant: m.tenant, tries: m.tries,
		ready: m.notBefore <= s.now && (m.order == nil || m.order.queue[0] == m)}
	if m.mayRun != never && m.class.Effect != Safe {
		like.ran, like.ranAt = true, m.mayRunAt
	}
	i := slices.IndexFunc(d.groups, func(g *group) bool { return g.likeness == like })
	if i < 0 {
		i = len(d.groups)
		d.groups = append(d.groups, &group{likeness: like})
	}
	m.group = d.groups[i]
	m.group.root = insert(m.group.root, m)
	d.firstDue = min(d.firstDue, s.due(m))
}

// unfile takes a message out of its group.
func (s *Sender) unfile(m *message) {
	g := m.group
	m.group = nil
	if g.root = remove(g.root, m); g.root == nil {
		m.dest.groups = without(m.dest.groups, g)
	}
}

// ranAt notes an attempt that may have run.
func (s *Sender) ranAt(m *message, ep *endpoint, at time.Duration) {
	s.unran(m)
	if m.mayRun, m.mayRunAt = at, ep; ep != nil {
		s.ran[ep]++
	}
}

// unran lets go of the endpoint where a message may have run.
func (s *Sender) unran(m *message) {
	if ep := m.mayRunAt; ep != nil {
		if s.ran[ep]--; s.ran[ep] == 0 {
			delete(s.ran, ep)
		}
	}
}

// resume files anew what is paused no more.
func (s *Sender) resume() {
	for s.paused.next() <= s.now {
		if m := s.paused.pop(); m.group != nil && !m.group.ready {
			s.file(m)
		}
	}
}

// fallen is what has come due, or to the end of its key's window, in the order of destinations and of arrival. Some of it may
// be over, or wait for an outcome first.
func (s *Sender) fallen() (list []*message) {
	for s.dues.next() <= s.now {
		list = append(list, s.dues.pop())
	}
	for s.windows.next() <= s.now {
		list = append(list, s.windows.pop())
	}
	slices.SortFunc(list, byArrival)
	return slices.Compact(list)
}

func byArrival(a, b *message) int { return cmp.Or(bySeq(a.dest, b.dest), a.seq-b.seq) }

// dueBefore is what waits for a destination and is due before a time told for each group by one of it, in the order of arrival.
func (s *Sender) dueBefore(d *destination, limit func(*message) time.Duration) (list []*message) {
	d.firstDue = never
	for _, g := range d.groups {
		before := limit(g.root)
		var walk func(*message)
		walk = func(m *message) {
			if m == nil {
				return
			}
			if walk(m.left); s.due(m) >= before {
				d.firstDue = min(d.firstDue, s.due(m))
				return
			}
			list = append(list, m)
			walk(m.right)
		}
		walk(g.root)
	}
	slices.SortFunc(list, byArrival)
	return list
}

// alarms order messages by a time of each, the earliest first. What has ended is dropped when it comes up.
type alarms struct {
	heap []alarm
	most int // as many as there may be before what has ended is dropped
}

type alarm struct {
	at time.Duration
	m  *message
}

// alarm adds one, and drops what has ended each time their number has doubled, so that they stay bounded.
func (s *Sender) alarm(h *alarms, m *message, at time.Duration) {
	if len(h.heap) > max(h.most, 2*len(s.held)+64) {
		h.heap = slices.DeleteFunc(h.heap, func(a alarm) bool { return a.m.ended() })
		for i := len(h.heap)/2 - 1; i >= 0; i-- {
			sink(h.heap, i, alarm.earlier)
		}
		h.most = 2 * len(h.heap)
	}
	h.heap = push(h.heap, alarm{at, m}, alarm.earlier)
}

func (a alarm) earlier(b alarm) bool { return a.at < b.at }

// next is when the first is, never if there is none.
func (h *alarms) next() time.Duration {
	if len(h.heap) == 0 {
		return never
	}
	return h.heap[0].at
}

func (h *alarms) pop() (m *message) {
	var a alarm
	a, h.heap = pull(h.heap, alarm.earlier)
	return a.m
}

// push adds to a heap that is ordered by less.
func push[T any](h []T, x T, less func(T, T) bool) []T {
	h = append(h, x)
	for i := len(h) - 1; i > 0; {
		above := (i - 1) / 2
		if !less(h[i], h[above]) {
			break
		}
		h[i], h[above] = h[above], h[i]
		i = above
	}
	return h
}

// pull takes the first from a heap.
func pull[T any](h []T, less func(T, T) bool) (T, []T) {
	var none T
	x, last := h[0], len(h)-1
	h[0], h[last] = h[last], none
	sink(h[:last], 0, less)
	return x, h[:last]
}

func sink[T any](h []T, i int, less func(T, T) bool) {
	for {
		next := i
		for below := 2*i + 1; below <= 2*i+2 && below < len(h); below++ {
			if less(h[below], h[next]) {
				next = below
			}
		}
		if next == i {
			return
		}
		h[i], h[next] = h[next], h[i]
		i = next
	}
}

// ranked is a message and what it counts for.
type ranked struct {
	m     *message
	value float64
}

// ranking finds the n messages that count most, exactly as a stable sort of all would: of equals those that came first, or last.
// It looks at a tree's parts in the order of the most that each may hold, and ends when that is less than what it has.
type ranking struct {
	n      int
	last   bool                // of equals the newest, else the oldest
	passes func(*message) bool // what may be chosen at all; nil for all
	best   []ranked            // so far, the best first
	parts  *[]part             // heap of what was not looked at; the sender's, so that it is made once
}

// part is a tree, and the messages next to it on either side, nil where there is none.
type part struct {
	tree       *message
	lo, hi     *message
	atLo, atHi float64 // their values
	most       float64 // of any in the tree
}

// ahead tells whether a value at an arrival comes before another.
func (r *ranking) ahead(v float64, seq int, than float64, thanSeq int) bool {
	if v != than {
		return v > than
	}
	return seq != thanSeq && (seq < thanSeq) != r.last
}

// next is the arrival in a tree that comes first among equals.
func (r *ranking) next(t *message) int {
	if r.last {
		return t.newest
	}
	return t.oldest
}

func (r *ranking) sooner(a, b part) bool {
	return r.ahead(a.most, r.next(a.tree), b.most, r.next(b.tree))
}

// hopeless tells whether nothing in a part can be among the best.
func (r *ranking) hopeless(p part) bool {
	if len(r.best) < r.n {
		return false
	}
	worst := r.best[r.n-1]
	return !r.ahead(p.most, r.next(p.tree), worst.value, worst.m.seq)
}

// add ranks the messages of a group. The value must rise or fall evenly, or stay, between deadlines at which it changes its
// course: a part without such a break holds no more than its edges, but for rounding, up to slack.
func (r *ranking) add(g *group, value func(*message) float64, slack float64, breaks []time.Duration) {
	parts := append((*r.parts)[:0], part{tree: g.root, most: math.Inf(1)})
	for len(parts) > 0 {
		var p part
		if p, parts = pull(parts, r.sooner); r.hopeless(p) {
			break
		}
		m := p.tree
		v := value(m)
		if r.passes == nil || r.passes(m) {
			r.offer(m, v)
		}
		for _, sub := range [...]part{{tree: m.left, lo: p.lo, hi: m, atLo: p.atLo, atHi: v}, {tree: m.right, lo: m, hi: p.hi, atLo: v, atHi: p.atHi}} {
			if sub.tree == nil {
				continue
			}
			if sub.most = math.Inf(1); sub.lo != nil && sub.hi != nil && !sub.broken(breaks) {
				if sub.most = max(sub.atLo, sub.atHi); sub.atLo != sub.atHi {
					sub.most += slack
				}
			}
			if !r.hopeless(sub) {
				parts = push(parts, sub, r.sooner)
			}
		}
	}
	clear(parts) // it refers to messages
	*r.parts = parts
}

// first is the one that counts most, nil if there is none.
func (r *ranking) first() *message {
	if len(r.best) == 0 {
		return nil
	}
	return r.best[0].m
}

// broken tells whether the value may change its course within a part.
func (p *part) broken(breaks []time.Duration) bool {
	for _, b := range breaks {
		if p.lo.deadline < b && b <= p.hi.deadline {
			return true
		}
	}
	return false
}

// offer takes a message in if it is among the best.
func (r *ranking) offer(m *message, v float64) {
	i := len(r.best)
	for i > 0 && r.ahead(v, m.seq, r.best[i-1].value, r.best[i-1].m.seq) {
		i--
	}
	if i >= r.n {
		return
	}
	if len(r.best) == r.n {
		r.best = r.best[:r.n-1]
	}
	r.best = slices.Insert(r.best, i, ranked{m, v})
}

// mix spreads a number over 64 bits (the finalizer of splitmix64), so that trees are as level as with chance.
func mix(n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

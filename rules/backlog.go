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
	inFlight int           // of them, with attempts out
	groups   []*group      // of those that wait
	firstDue time.Duration // none of those that wait is due before; may be early
}

// likeness is all of a waiting message that a choice looks at, but its time.
type groupKey struct {
	classIndex, tenant, attemptCount int
	mayHaveRun                       bool // may have run, where that matters
	mayHaveRunOn                     *endpointState
	ready                            bool // neither paused nor behind another one of its key
}

// group is messages that wait and differ in their time alone: a treap by deadline and, of equals, by arrival. Each node knows the
// oldest and newest arrival below it.
type group struct {
	groupKey
	root *message
}

// node is a message's place in its group.
type treeNode struct {
	group                *group // nil for one that does not wait
	seq                  int    // in the order of arrival
	left, right          *message
	priority             uint64 // the heavier is above
	oldestSeq, newestSeq int    // arrivals in the tree from here down
}

// before orders messages by deadline and, of equals, by arrival.
func (m *message) before(o *message) bool {
	return m.deadline < o.deadline || m.deadline == o.deadline && m.seq < o.seq
}

// sum brings what a node knows of those below up to date.
func (m *message) updateSeqRange() {
	m.oldestSeq, m.newestSeq = m.seq, m.seq
	for _, sub := range [...]*message{m.left, m.right} {
		if sub != nil {
			m.oldestSeq, m.newestSeq = min(m.oldestSeq, sub.oldestSeq), max(m.newestSeq, sub.newestSeq)
		}
	}
}

// insert adds a message to a tree and returns its new root.
func insertMessage(t, m *message) *message {
	switch {
	case t == nil:
		m.updateSeqRange()
		return m
	case m.priority > t.priority:
		m.left, m.right = splitTree(t, m)
		m.updateSeqRange()
		return m
	case m.before(t):
		t.left = insertMessage(t.left, m)
	default:
		t.right = insertMessage(t.right, m)
	}
	t.updateSeqRange()
	return t
}

// split parts a tree into what comes before a message and the rest.
func splitTree(t, m *message) (before, after *message) {
	switch {
	case t == nil:
		return nil, nil
	case t.before(m):
		t.right, after = splitTree(t.right, m)
		before = t
	default:
		before, t.left = splitTree(t.left, m)
		after = t
	}
	t.updateSeqRange()
	return before, after
}

// join makes one tree of two, all of the first before all of the second.
func mergeTrees(a, b *message) *message {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = mergeTrees(a.right, b)
		a.updateSeqRange()
		return a
	}
	b.left = mergeTrees(a, b.left)
	b.updateSeqRange()
	return b
}

// remove takes a message that is there out of a tree and returns its new root.
func removeMessage(t, m *message) *message {
	if t == m {
		rest := mergeTrees(m.left, m.right)
		m.left, m.right = nil, nil
		return rest
	}
	if m.before(t) {
		t.left = removeMessage(t.left, m)
	} else {
		t.right = removeMessage(t.right, m)
	}
	t.updateSeqRange()
	return t
}

// file puts a message where it belongs by what is known of it now: into the group of its like if it waits. It notes when the
// clock alone may change that.
func (s *Sender) enqueue(m *message) {
	d := m.destination
	if m.group != nil {
		s.dequeue(m)
	}
	if ends := s.nextEndCheck(m); ends < s.answerDeadline(m) {
		s.addTimer(&s.windowTimers, m, ends)
	}
	if m.done() || len(m.inFlight) > 0 {
		return
	}
	if m.notBefore > s.now {
		s.addTimer(&s.pauseTimers, m, m.notBefore)
	}
	like := groupKey{classIndex: m.classIndex, tenant: m.tenant, attemptCount: m.attemptCount,
		ready: m.notBefore <= s.now && (m.orderQueue == nil || m.orderQueue.messages[0] == m)}
	if m.mayHaveRunSince != never && m.class.Effect != Safe {
		like.mayHaveRun, like.mayHaveRunOn = true, m.mayHaveRunOn
	}
	i := slices.IndexFunc(d.groups, func(g *group) bool { return g.groupKey == like })
	if i < 0 {
		i = len(d.groups)
		d.groups = append(d.groups, &group{groupKey: like})
	}
	m.group = d.groups[i]
	m.group.root = insertMessage(m.group.root, m)
	d.firstDue = min(d.firstDue, s.answerDeadline(m))
}

// unfile takes a message out of its group.
func (s *Sender) dequeue(m *message) {
	g := m.group
	m.group = nil
	if g.root = removeMessage(g.root, m); g.root == nil {
		m.destination.groups = without(m.destination.groups, g)
	}
}

// ranAt notes an attempt that may have run.
func (s *Sender) setMayHaveRun(m *message, ep *endpointState, at time.Duration) {
	s.releaseMayHaveRun(m)
	if m.mayHaveRunSince, m.mayHaveRunOn = at, ep; ep != nil {
		s.mayHaveRunCounts[ep]++
	}
}

// unran lets go of the endpoint where a message may have run.
func (s *Sender) releaseMayHaveRun(m *message) {
	if ep := m.mayHaveRunOn; ep != nil {
		if s.mayHaveRunCounts[ep]--; s.mayHaveRunCounts[ep] == 0 {
			delete(s.mayHaveRunCounts, ep)
		}
	}
}

// resume files anew what is paused no more.
func (s *Sender) enqueueResumed() {
	for s.pauseTimers.earliest() <= s.now {
		if m := s.pauseTimers.pop(); m.group != nil && !m.group.ready {
			s.enqueue(m)
		}
	}
}

// fallen is what has come due, or to the end of its key's window, in the order of destinations and of arrival. Some of it may
// be over, or wait for an outcome first.
func (s *Sender) popDue() (list []*message) {
	for s.deadlineTimers.earliest() <= s.now {
		list = append(list, s.deadlineTimers.pop())
	}
	for s.windowTimers.earliest() <= s.now {
		list = append(list, s.windowTimers.pop())
	}
	slices.SortFunc(list, compareArrivals)
	return slices.Compact(list)
}

func compareArrivals(a, b *message) int {
	return cmp.Or(compareDestinations(a.destination, b.destination), a.seq-b.seq)
}

// dueBefore is what waits for a destination and is due before a time told for each group by one of it, in the order of arrival.
func (s *Sender) dueBefore(d *destinationState, limit func(*message) time.Duration) (list []*message) {
	d.firstDue = never
	for _, g := range d.groups {
		before := limit(g.root)
		var walk func(*message)
		walk = func(m *message) {
			if m == nil {
				return
			}
			if walk(m.left); s.answerDeadline(m) >= before {
				d.firstDue = min(d.firstDue, s.answerDeadline(m))
				return
			}
			list = append(list, m)
			walk(m.right)
		}
		walk(g.root)
	}
	slices.SortFunc(list, compareArrivals)
	return list
}

// alarms order messages by a time of each, the earliest first. What has ended is dropped when it comes up.
type timerHeap struct {
	timers           []messageTimer
	maxBeforeCleanup int // as many as there may be before what has ended is dropped
}

type messageTimer struct {
	at      time.Duration
	message *message
}

// alarm adds one, and drops what has ended each time their number has doubled, so that they stay bounded.
func (s *Sender) addTimer(h *timerHeap, m *message, at time.Duration) {
	if len(h.timers) > max(h.maxBeforeCleanup, 2*len(s.held)+64) {
		h.timers = slices.DeleteFunc(h.timers, func(a messageTimer) bool { return a.message.done() })
		for i := len(h.timers)/2 - 1; i >= 0; i-- {
			siftDown(h.timers, i, messageTimer.earlier)
		}
		h.maxBeforeCleanup = 2 * len(h.timers)
	}
	h.timers = heapPush(h.timers, messageTimer{at, m}, messageTimer.earlier)
}

func (a messageTimer) earlier(b messageTimer) bool { return a.at < b.at }

// next is when the first is, never if there is none.
func (h *timerHeap) earliest() time.Duration {
	if len(h.timers) == 0 {
		return never
	}
	return h.timers[0].at
}

func (h *timerHeap) pop() (m *message) {
	var a messageTimer
	a, h.timers = heapPop(h.timers, messageTimer.earlier)
	return a.message
}

// push adds to a heap that is ordered by less.
func heapPush[T any](h []T, x T, less func(T, T) bool) []T {
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
func heapPop[T any](h []T, less func(T, T) bool) (T, []T) {
	var none T
	x, last := h[0], len(h)-1
	h[0], h[last] = h[last], none
	siftDown(h[:last], 0, less)
	return x, h[:last]
}

func siftDown[T any](h []T, i int, less func(T, T) bool) {
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
type rankedMessage struct {
	message *message
	value   float64
}

// ranking finds the n messages that count most, exactly as a stable sort of all would: of equals those that came first, or last.
// It looks at a tree's parts in the order of the most that each may hold, and ends when that is less than what it has.
type ranking struct {
	limit       int
	newestFirst bool                // of equals the newest, else the oldest
	eligible    func(*message) bool // what may be chosen at all; nil for all
	best        []rankedMessage     // so far, the best first
	subtrees    *[]subtree          // heap of what was not looked at; the sender's, so that it is made once
}

// part is a tree, and the messages next to it on either side, nil where there is none.
type subtree struct {
	root                   *message
	lower, upper           *message
	lowerValue, upperValue float64 // their values
	maxValue               float64 // of any in the tree
}

// ahead tells whether a value at an arrival comes before another.
func (r *ranking) ahead(v float64, seq int, than float64, thanSeq int) bool {
	if v != than {
		return v > than
	}
	return seq != thanSeq && (seq < thanSeq) != r.newestFirst
}

// next is the arrival in a tree that comes first among equals.
func (r *ranking) firstSeq(t *message) int {
	if r.newestFirst {
		return t.newestSeq
	}
	return t.oldestSeq
}

func (r *ranking) subtreeBefore(a, b subtree) bool {
	return r.ahead(a.maxValue, r.firstSeq(a.root), b.maxValue, r.firstSeq(b.root))
}

// hopeless tells whether nothing in a part can be among the best.
func (r *ranking) cannotContribute(p subtree) bool {
	if len(r.best) < r.limit {
		return false
	}
	worst := r.best[r.limit-1]
	return !r.ahead(p.maxValue, r.firstSeq(p.root), worst.value, worst.message.seq)
}

// add ranks the messages of a group. The value must rise or fall evenly, or stay, between deadlines at which it changes its
// course: a part without such a break holds no more than its edges, but for rounding, up to slack.
func (r *ranking) add(g *group, value func(*message) float64, slack float64, breaks []time.Duration) {
	parts := append((*r.subtrees)[:0], subtree{root: g.root, maxValue: math.Inf(1)})
	for len(parts) > 0 {
		var p subtree
		if p, parts = heapPop(parts, r.subtreeBefore); r.cannotContribute(p) {
			break
		}
		m := p.root
		v := value(m)
		if r.eligible == nil || r.eligible(m) {
			r.offer(m, v)
		}
		for _, sub := range [...]subtree{{root: m.left, lower: p.lower, upper: m, lowerValue: p.lowerValue, upperValue: v}, {root: m.right, lower: m, upper: p.upper, lowerValue: v, upperValue: p.upperValue}} {
			if sub.root == nil {
				continue
			}
			if sub.maxValue = math.Inf(1); sub.lower != nil && sub.upper != nil && !sub.containsBreakpoint(breaks) {
				if sub.maxValue = max(sub.lowerValue, sub.upperValue); sub.lowerValue != sub.upperValue {
					sub.maxValue += slack
				}
			}
			if !r.cannotContribute(sub) {
				parts = heapPush(parts, sub, r.subtreeBefore)
			}
		}
	}
	clear(parts) // it refers to messages
	*r.subtrees = parts
}

// first is the one that counts most, nil if there is none.
func (r *ranking) first() *message {
	if len(r.best) == 0 {
		return nil
	}
	return r.best[0].message
}

// broken tells whether the value may change its course within a part.
func (p *subtree) containsBreakpoint(breaks []time.Duration) bool {
	for _, b := range breaks {
		if p.lower.deadline < b && b <= p.upper.deadline {
			return true
		}
	}
	return false
}

// offer takes a message in if it is among the best.
func (r *ranking) offer(m *message, v float64) {
	i := len(r.best)
	for i > 0 && r.ahead(v, m.seq, r.best[i-1].value, r.best[i-1].message.seq) {
		i--
	}
	if i >= r.limit {
		return
	}
	if len(r.best) == r.limit {
		r.best = r.best[:r.limit-1]
	}
	r.best = slices.Insert(r.best, i, rankedMessage{m, v})
}

// mix spreads a number over 64 bits (the finalizer of splitmix64), so that trees are as level as with chance.
func mixBits(n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

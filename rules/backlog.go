package rules

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file owns the data structures in which a destination's messages wait. They find the best messages without
// looking at all of them. This file must make no decisions: the values of messages, and the breakpoints between which
// they are monotonic in the deadline, are passed in by the callers.

// backlog has the messages held for one destination.
type backlog struct {
	held     int           // messages
	inFlight int           // those of them with attempts in flight
	groups   []*group      // the waiting messages
	firstDue time.Duration // lower bound of the answer deadlines of the waiting messages
}

// groupKey is all that a choice among waiting messages considers, except their deadlines and order of arrival.
type groupKey struct {
	classIndex, tenant, attemptCount int
	mayHaveRun                       bool // never set for Safe, where it does not matter
	mayHaveRunOn                     *endpointState
	untriedSinceRestart              bool // an earlier process accepted it, and no call was made
	ready                            bool // neither paused nor behind another message of its order key
}

// group has the waiting messages with the same key, in a treap ordered by deadline, then arrival. Each node has the
// range of arrivals in its subtree.
type group struct {
	groupKey
	root *message
}

// treeNode is a message's node in the tree of its group.
type treeNode struct {
	group                *group // nil for a message that does not wait
	seq                  int    // rank by arrival
	left, right          *message
	priority             uint64 // heap order of the treap: higher than in the nodes below
	oldestSeq, newestSeq int    // range of seq in the subtree
}

// before orders messages by deadline, then by arrival.
func (m *message) before(o *message) bool {
	return m.deadline < o.deadline || m.deadline == o.deadline && m.seq < o.seq
}

// updateSeqRange recomputes the range of a node's subtree from its children.
func (m *message) updateSeqRange() {
	m.oldestSeq, m.newestSeq = m.seq, m.seq
	for _, sub := range [...]*message{m.left, m.right} {
		if sub != nil {
			m.oldestSeq, m.newestSeq = min(m.oldestSeq, sub.oldestSeq), max(m.newestSeq, sub.newestSeq)
		}
	}
}

// insertMessage adds a message to a tree and returns the new root.
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

// splitTree splits a tree into the messages before m and the rest.
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

// mergeTrees merges two trees, where all messages of a are before all of b.
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

// removeMessage removes a message from the tree that it is in and returns the new root.
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

// enqueue moves a message to the group of its current key if it waits, and out of all groups else. It sets timers for
// the times at which that may change without an event.
func (s *Sender) enqueue(m *message) {
	d := m.destination
	if m.group != nil {
		s.dequeue(m)
	}
	if at := s.nextEndCheck(m); at < s.answerDeadline(m) {
		s.addTimer(&s.windowTimers, m, at)
	}
	if m.done() || len(m.inFlight) > 0 {
		return
	}
	if m.notBefore > s.now {
		s.addTimer(&s.pauseTimers, m, m.notBefore)
	}
	key := groupKey{
		classIndex:          m.classIndex,
		tenant:              m.tenant,
		attemptCount:        m.attemptCount,
		untriedSinceRestart: m.recovered && m.attemptCount == 0,

		ready: m.notBefore <= s.now && (m.orderQueue == nil || m.orderQueue.messages[0] == m),
	}
	if m.mayHaveRunSince != never && m.class.Effect != Safe {
		key.mayHaveRun, key.mayHaveRunOn = true, m.mayHaveRunOn
	}
	i := slices.IndexFunc(d.groups, func(g *group) bool { return g.groupKey == key })
	if i < 0 {
		i = len(d.groups)
		d.groups = append(d.groups, &group{groupKey: key})
	}
	m.group = d.groups[i]
	m.group.root = insertMessage(m.group.root, m)
	d.firstDue = min(d.firstDue, s.answerDeadline(m))
}

// dequeue removes a message from its group.
func (s *Sender) dequeue(m *message) {
	g := m.group
	m.group = nil
	if g.root = removeMessage(g.root, m); g.root == nil {
		m.destination.groups = without(m.destination.groups, g)
	}
}

// setMayHaveRun records that an attempt for a message may have run, at ep or, if ep is nil, at an unlisted endpoint.
func (s *Sender) setMayHaveRun(m *message, ep *endpointState, at time.Duration) {
	s.releaseMayHaveRun(m)
	if m.mayHaveRunSince, m.mayHaveRunOn = at, ep; ep != nil {
		s.mayHaveRunCounts[ep]++
	}
}

// releaseMayHaveRun stops counting a message for the endpoint where it may have run.
func (s *Sender) releaseMayHaveRun(m *message) {
	if ep := m.mayHaveRunOn; ep != nil {
		if s.mayHaveRunCounts[ep]--; s.mayHaveRunCounts[ep] == 0 {
			delete(s.mayHaveRunCounts, ep)
		}
	}
}

// enqueueResumed makes messages ready whose pause is over.
func (s *Sender) enqueueResumed() {
	for s.pauseTimers.earliest() <= s.now {
		if m := s.pauseTimers.pop(); m.group != nil && !m.group.ready {
			s.enqueue(m)
		}
	}
}

// popDue returns the messages whose answer deadline or deduplication window has ended, ordered by destination, then
// arrival. Some may be finished already, or have attempts in flight whose outcomes have to come first.
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

// dueBefore returns the waiting messages of a destination whose answer deadline is before a limit, in order of arrival.
// The limit is computed once for each group, from one of its messages. firstDue is recomputed from the other messages.
func (s *Sender) dueBefore(d *destinationState, limit func(*message) time.Duration) (list []*message) {
	d.firstDue = never
	for _, g := range d.groups {
		end := limit(g.root)
		var walk func(*message)
		walk = func(m *message) {
			if m == nil {
				return
			}
			if walk(m.left); s.answerDeadline(m) >= end {
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

// timerHeap is a heap of timers, the earliest first. Timers of messages that are done stay in it until they expire or
// a cleanup removes them.
type timerHeap struct {
	timers           []messageTimer
	maxBeforeCleanup int // number of timers above which a cleanup may be due
}

type messageTimer struct {
	at      time.Duration
	message *message
}

// cleanupSlack keeps small collections from being cleaned up again and again.
const cleanupSlack = 64 // elements

// addTimer adds a timer. So that the heap stays bounded, it first removes timers of messages that are done, each time
// the number of timers has doubled.
func (s *Sender) addTimer(h *timerHeap, m *message, at time.Duration) {
	if len(h.timers) > max(h.maxBeforeCleanup, 2*len(s.held)+cleanupSlack) {
		h.timers = slices.DeleteFunc(h.timers, func(t messageTimer) bool { return t.message.done() })
		for i := len(h.timers)/2 - 1; i >= 0; i-- {
			siftDown(h.timers, i, messageTimer.earlier)
		}
		h.maxBeforeCleanup = 2 * len(h.timers)
	}
	h.timers = heapPush(h.timers, messageTimer{at, m}, messageTimer.earlier)
}

func (t messageTimer) earlier(u messageTimer) bool { return t.at < u.at }

// earliest returns the time of the first timer, never if there is none.
func (h *timerHeap) earliest() time.Duration {
	if len(h.timers) == 0 {
		return never
	}
	return h.timers[0].at
}

// pop removes the first timer and returns its message.
func (h *timerHeap) pop() (m *message) {
	var t messageTimer
	t, h.timers = heapPop(h.timers, messageTimer.earlier)
	return t.message
}

// heapPush adds an element to a heap that is ordered by less.
func heapPush[T any](h []T, x T, less func(T, T) bool) []T {
	h = append(h, x)
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !less(h[i], h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
	return h
}

// heapPop removes the first element of a heap. It clears the vacated place, so that nothing refers to the element.
func heapPop[T any](h []T, less func(T, T) bool) (T, []T) {
	var zero T
	x, last := h[0], len(h)-1
	h[0], h[last] = h[last], zero
	siftDown(h[:last], 0, less)
	return x, h[:last]
}

// siftDown restores the order of a heap after its element i was replaced by a later one.
func siftDown[T any](h []T, i int, less func(T, T) bool) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if less(h[child], h[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// rankedMessage is a message with the value that it is ranked by.
type rankedMessage struct {
	message *message
	value   float64
}

// ranking finds the messages with the highest values, with the same result as a stable sort of all messages. It is a
// best-first search: it visits subtrees by the upper bounds of their values and ends when the best of the rest cannot
// contribute any more.
type ranking struct {
	limit       int                 // number of messages to find
	newestFirst bool                // of messages with equal values the newest comes first, else the oldest
	eligible    func(*message) bool // which messages may be chosen; nil for all
	best        []rankedMessage     // found so far, the best first
	subtrees    *[]subtree          // heap of the subtrees to visit; reused, so that it is allocated once
}

// subtree is a subtree of a group, with the messages next to it on either side in the order of the tree.
type subtree struct {
	root                   *message
	lower, upper           *message // nil where there is none
	lowerValue, upperValue float64  // their values
	maxValue               float64  // upper bound of the values in the subtree
}

// ahead reports whether a message with value v comes before another one, by value, then by arrival.
func (r *ranking) ahead(v float64, seq int, otherValue float64, otherSeq int) bool {
	if v != otherValue {
		return v > otherValue
	}
	return seq != otherSeq && (seq < otherSeq) != r.newestFirst
}

// firstSeq returns which arrival in a subtree would come first if all values were equal.
func (r *ranking) firstSeq(t *message) int {
	if r.newestFirst {
		return t.newestSeq
	}
	return t.oldestSeq
}

// subtreeBefore orders the heap of subtrees.
func (r *ranking) subtreeBefore(a, b subtree) bool {
	return r.ahead(a.maxValue, r.firstSeq(a.root), b.maxValue, r.firstSeq(b.root))
}

// cannotContribute reports whether no message of a subtree can be among the best.
func (r *ranking) cannotContribute(t subtree) bool {
	if len(r.best) < r.limit {
		return false
	}
	worst := r.best[r.limit-1]
	return !r.ahead(t.maxValue, r.firstSeq(t.root), worst.value, worst.message.seq)
}

// add ranks the messages of a group. As a function of the deadline, value must be monotonic between the given
// breakpoints. Then no value in a subtree without a breakpoint exceeds the values at its edges, except for rounding
// errors of up to roundingError.
func (r *ranking) add(g *group, value func(*message) float64, roundingError float64, breakpoints []time.Duration) {
	open := append((*r.subtrees)[:0], subtree{root: g.root, maxValue: math.Inf(1)})
	for len(open) > 0 {
		var t subtree
		if t, open = heapPop(open, r.subtreeBefore); r.cannotContribute(t) {
			break
		}
		m := t.root
		v := value(m)
		if r.eligible == nil || r.eligible(m) {
			r.offer(m, v)
		}
		for _, sub := range [...]subtree{
			{root: m.left, lower: t.lower, upper: m, lowerValue: t.lowerValue, upperValue: v},
			{root: m.right, lower: m, upper: t.upper, lowerValue: v, upperValue: t.upperValue},
		} {
			if sub.root == nil {
				continue
			}
			sub.maxValue = math.Inf(1)
			if sub.lower != nil && sub.upper != nil && !sub.containsBreakpoint(breakpoints) {
				sub.maxValue = max(sub.lowerValue, sub.upperValue)
				if sub.lowerValue != sub.upperValue {
					sub.maxValue += roundingError
				}
			}
			if !r.cannotContribute(sub) {
				open = heapPush(open, sub, r.subtreeBefore)
			}
		}
	}
	clear(open) // so that it does not keep messages from being freed
	*r.subtrees = open
}

// first returns the message with the highest value, nil if there is none.
func (r *ranking) first() *message {
	if len(r.best) == 0 {
		return nil
	}
	return r.best[0].message
}

// containsBreakpoint reports whether there is a breakpoint within a subtree, where the value need not be monotonic.
func (t *subtree) containsBreakpoint(breakpoints []time.Duration) bool {
	for _, b := range breakpoints {
		if t.lower.deadline < b && b <= t.upper.deadline {
			return true
		}
	}
	return false
}

// offer adds a message to the best if it belongs there.
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

// mixBits spreads a number over 64 bits with the finalizer of splitmix64, so that trees are balanced as with random
// priorities.
func mixBits(n int) uint64 {
	x := uint64(n) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

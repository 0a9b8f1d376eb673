// This file owns the notices that discovery has not accepted yet, and when each is posted. It must never drop one, nor let
// one that waits for anything hold up another: not for a connection that brings nothing, nor for one that discovery cannot
// read, nor for the sink.

package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/ledger"
)

// Times of a notice. The platform counts a message as lost 300 ms after its time, and accepts a notice any number of
// times. So a notice is posted again, over another connection, while the requests before it are still under way.
const (
	// requestSpacing is the time from one request to the next while any is under way: what is due meanwhile goes together.
	requestSpacing = 25 * time.Millisecond

	urgentTime      = 500 * time.Millisecond // from a notice's queueing, in which its time may run out
	urgentRepost    = 50 * time.Millisecond  // from one post of a notice to the next, until urgentTime is over
	repostInterval  = 250 * time.Millisecond // from then on
	requestTimeout  = 2 * time.Second        // a request without an answer is given up
	maxBatchSize    = 200                    // notices in one request
	lateNoticeAfter = 100 * time.Millisecond // a notice accepted that long after its message's time is logged
)

// DefaultNoticeRequests is how many requests for notices may be under way at once, unless MaxRequests says otherwise.
const DefaultNoticeRequests = 8

// Notices delivers notices to discovery until each was accepted, several in one request where they come together.
type Notices struct {
	Failed    atomic.Int64 // requests that failed, those given up included
	Abandoned atomic.Int64 // requests that were given up without an answer
	Late      atomic.Int64 // notices accepted lateNoticeAfter or more behind their messages' time

	// MaxRequests is how many requests, each with a connection, may be under way at once. Set it before Run.
	MaxRequests int

	log     *slog.Logger
	address *Address

	mu        sync.Mutex
	pending   []*pendingNotice // oldest first
	batchSize int
	queued    chan struct{} // signals that pending has grown
}

// pendingNotice is a notice that was not accepted yet.
type pendingNotice struct {
	ledger.Notice
	queuedAt     time.Time
	lastPostedAt time.Time // zero if it was never posted
	postAt       time.Time // when it is due
	posts        int
}

// NewNotices returns a queue that has not started.
func NewNotices(address *Address, log *slog.Logger) *Notices {
	return &Notices{
		MaxRequests: DefaultNoticeRequests,
		log:         log,
		address:     address,
		queued:      make(chan struct{}, 1),
		batchSize:   maxBatchSize,
	}
}

// EnqueueNotice queues a notice. It does not block.
func (n *Notices) EnqueueNotice(notice ledger.Notice) {
	now := time.Now()
	n.mu.Lock()
	n.pending = append(n.pending, &pendingNotice{Notice: notice, queuedAt: now, postAt: now})
	n.mu.Unlock()
	select {
	case n.queued <- struct{}{}:
	default:
	}
}

// Pending returns the number of notices not accepted yet.
func (n *Notices) Pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.pending)
}

// Run delivers notices until the context ends.
func (n *Notices) Run(ctx context.Context, sink Sink) {
	accepted := newAcceptanceQueue(sink)
	defer accepted.close()
	p := &poster{
		notices:  n,
		accepted: accepted,
		results:  make(chan postResult, n.MaxRequests),
		timeouts: logLimiter{log: n.log},
		late:     logLimiter{log: n.log},
	}
	p.run(ctx)
}

// takeDue returns the notices of the next request: those that are due, never posted ones first, then those whose latest
// post is oldest. It sets when each is due again.
func (n *Notices) takeDue(now time.Time) []*pendingNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []*pendingNotice
	for _, notice := range n.pending {
		if !notice.postAt.After(now) {
			due = append(due, notice)
		}
	}
	slices.SortStableFunc(due, func(a, b *pendingNotice) int { return a.lastPostedAt.Compare(b.lastPostedAt) })
	due = due[:min(len(due), n.batchSize)]
	for _, notice := range due {
		notice.posts++
		notice.lastPostedAt = now
		notice.postAt = now.Add(notice.repostAfter(now))
	}
	return due
}

// repostAfter returns how long to wait until the next post of a notice that is posted now.
func (p *pendingNotice) repostAfter(now time.Time) time.Duration {
	if now.Sub(p.queuedAt) < urgentTime {
		return urgentRepost
	}
	return repostInterval
}

// nextDue returns when the first pending notice is due; ok is false if there is none.
func (n *Notices) nextDue() (at time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pending) == 0 {
		return time.Time{}, false
	}
	first := slices.MinFunc(n.pending, func(a, b *pendingNotice) int { return a.postAt.Compare(b.postAt) })
	return first.postAt, true
}

// remove removes the notices of an accepted request and returns those that were still pending. As the way to discovery
// works, what was posted before the request is due at once.
func (n *Notices) remove(batch []*pendingNotice, startedAt, now time.Time) (removed []*pendingNotice) {
	accepted := make(map[*pendingNotice]bool, len(batch))
	for _, notice := range batch {
		accepted[notice] = true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pending = slices.DeleteFunc(n.pending, func(notice *pendingNotice) bool {
		if accepted[notice] {
			removed = append(removed, notice)
			return true
		}
		if notice.lastPostedAt.Before(startedAt) && notice.postAt.After(now) {
			notice.postAt = now
		}
		return false
	})
	return removed
}

// postAgain makes the notices of a request that was broken off due at once.
func (n *Notices) postAgain(batch []*pendingNotice, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, notice := range batch {
		notice.postAt = now
	}
}

// postSingly posts each notice in a request of its own from now on, so that one that discovery cannot read does not hold
// up the others.
func (n *Notices) postSingly() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.batchSize = 1
}

// poster runs the requests of Notices. All its methods run on the goroutine of Notices.Run.
type poster struct {
	notices   *Notices
	accepted  *acceptanceQueue
	results   chan postResult
	underWay  []*postRequest // oldest first
	lastStart time.Time
	timeouts  logLimiter
	late      logLimiter
}

// postRequest is one request. It has a connection of its own: a 204 names no notice, and on a connection that was used
// before it may be a copy of an earlier one. A notice that is taken for accepted and was not is a lost message.
type postRequest struct {
	batch     []*pendingNotice
	startedAt time.Time
	cancel    context.CancelFunc
	abandoned bool // it had to make room for another one
}

// postResult is how a request ended.
type postResult struct {
	request *postRequest
	status  int
	err     error
}

// run starts requests and processes their results until the context ends.
func (p *poster) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.awaitAll()
			return
		case <-p.notices.queued:
		case result := <-p.results:
			p.finish(result)
		case <-timer.C:
		}
		p.startDue(ctx)
		timer.Reset(p.untilNextStart())
	}
}

// awaitAll waits for the requests under way, which end with the context. What was accepted until then counts.
func (p *poster) awaitAll() {
	for len(p.underWay) > 0 {
		p.finish(<-p.results)
	}
}

// mayStartAt returns when the next request may start.
func (p *poster) mayStartAt() time.Time {
	if len(p.underWay) == 0 {
		return time.Time{}
	}
	return p.lastStart.Add(requestSpacing)
}

// untilNextStart returns how long nothing is to be started, unless something happens.
func (p *poster) untilNextStart() time.Duration {
	due, ok := p.notices.nextDue()
	if !ok {
		return time.Hour
	}
	if earliest := p.mayStartAt(); earliest.After(due) {
		due = earliest
	}
	return max(time.Until(due), time.Millisecond) // not at once again where a request has to make room first
}

// startDue starts a request with what is due. Where too many are under way, the oldest gives way first.
func (p *poster) startDue(ctx context.Context) {
	now := time.Now()
	if due, ok := p.notices.nextDue(); !ok || due.After(now) || p.mayStartAt().After(now) {
		return
	}
	if len(p.underWay) >= p.notices.MaxRequests {
		oldest := p.underWay[0]
		oldest.abandoned = true
		oldest.cancel()
		return // its result follows
	}
	request := &postRequest{batch: p.notices.takeDue(now), startedAt: now}
	var requestCtx context.Context
	requestCtx, request.cancel = context.WithCancel(ctx)
	p.underWay = append(p.underWay, request)
	p.lastStart = now
	go p.post(requestCtx, p.notices.address.current(), request)
}

// post makes one request and reports its result. It runs on a goroutine of its own.
func (p *poster) post(ctx context.Context, at *location, request *postRequest) {
	defer request.cancel()
	var c client
	defer c.close()
	resp, err := c.do(ctx, at, limits{requestTimeout, requestTimeout}, "POST", "/status", encodeNotices(request.batch), nil)
	result := postResult{request: request, err: err}
	if err == nil {
		result.status = resp.Status
	}
	p.results <- result
}

// finish processes the result of a request.
func (p *poster) finish(result postResult) {
	request, now := result.request, time.Now()
	p.underWay = slices.DeleteFunc(p.underWay, func(r *postRequest) bool { return r == request })
	n := p.notices
	switch {
	case result.err == nil && result.status == 204:
		p.report(n.remove(request.batch, request.startedAt, now), now)
		return
	case errors.Is(result.err, errAddressChanged): // no failure
		n.postAgain(request.batch, now)
		return
	case result.err == nil && result.status == 400:
		n.postSingly()
	}
	if n.Failed.Add(1) == 1 {
		n.log.Warn("discovery did not accept a notice; further failures are only counted", "err", result.err,
			"status", result.status)
	}
	if took := now.Sub(request.startedAt); request.abandoned || took >= requestTimeout {
		n.Abandoned.Add(1)
		p.timeouts.info("a request for notices was given up", "after", took, "notices", len(request.batch),
			"pending", n.Pending())
	}
}

// report reports accepted notices, and logs those that are late.
func (p *poster) report(batch []*pendingNotice, now time.Time) {
	slices.SortStableFunc(batch, func(a, b *pendingNotice) int { return cmp.Compare(a.queuedAt.UnixNano(), b.queuedAt.UnixNano()) })
	ids := make([]string, len(batch))
	for i, notice := range batch {
		ids[i] = notice.ID
		fields := []any{"id", notice.ID, "posts", notice.posts, "pending_for", now.Sub(notice.queuedAt)}
		if !notice.Deadline.IsZero() { // known to the process that ended the message
			fields = append(fields, "left", notice.Deadline.Sub(now))
		}
		p.notices.log.Debug("notice accepted", fields...)
		if !notice.Deadline.IsZero() && now.Sub(notice.Deadline) >= lateNoticeAfter {
			p.notices.Late.Add(1)
			p.late.info("a notice was accepted late", fields...)
		}
	}
	p.accepted.add(ids)
}

// acceptanceQueue passes the IDs of accepted notices on to a sink, which may block, in the order of their acceptance.
type acceptanceQueue struct {
	sink Sink
	done chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	ids     []string
	closed  bool
}

func newAcceptanceQueue(sink Sink) *acceptanceQueue {
	q := &acceptanceQueue{sink: sink, done: make(chan struct{})}
	q.changed = sync.NewCond(&q.mu)
	go q.run()
	return q
}

// add queues IDs. It does not block.
func (q *acceptanceQueue) add(ids []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ids = append(q.ids, ids...)
	q.changed.Signal()
}

// close passes on what is queued and ends the queue.
func (q *acceptanceQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.changed.Signal()
	q.mu.Unlock()
	<-q.done
}

func (q *acceptanceQueue) run() {
	defer close(q.done)
	for {
		q.mu.Lock()
		for len(q.ids) == 0 && !q.closed {
			q.changed.Wait()
		}
		ids := q.ids
		q.ids = nil
		q.mu.Unlock()
		if len(ids) == 0 {
			return
		}
		q.sink.NoticesAccepted(ids)
	}
}

// logLimiter logs at most a line a second, with the number of those left out.
type logLimiter struct {
	log     *slog.Logger
	last    time.Time
	omitted int
}

const logInterval = time.Second

func (l *logLimiter) info(text string, fields ...any) {
	now := time.Now()
	if now.Sub(l.last) < logInterval {
		l.omitted++
		return
	}
	l.log.Info(text, append(fields, "lines_omitted", l.omitted)...)
	l.last, l.omitted = now, 0
}

// encodeNotices encodes notices as JSON, one on each line.
func encodeNotices(batch []*pendingNotice) []byte {
	var body []byte
	for _, notice := range batch {
		line := struct {
			Ref    string `json:"ref"`
			Result string `json:"result"`
			Wait   int64  `json:"wait_ms,omitempty"`
		}{notice.ID, "bounced", notice.RetryAfter.Milliseconds()}
		if notice.Dead {
			line.Result, line.Wait = "dead", 0
		}
		text, _ := json.Marshal(line) // a struct of strings and a number always encodes
		body = append(append(body, text...), '\n')
	}
	return body
}

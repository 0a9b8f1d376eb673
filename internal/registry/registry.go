// Package registry speaks with the platform: it keeps the list of endpoints up to date by a watch, and delivers the
// notices of messages that ended undelivered (notices.go). It owns the two connections to discovery. It must never
// judge an endpoint or a message, nor drop a notice that was not accepted.
package registry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/settings"
)

// Time limits of the calls. Whatever fails before, the platform counts a change as told 6 s after discovery had it and could
// be reached. Until then a watch must have been given up that fell silent as it began, and two short calls that got lost
// after it; or one that began just before discovery could be reached again, at the longest limit; or a watch whose answer
// began and then dribbles. What is over those sums has the pauses between.
const (
	watchWait  = 1500 * time.Millisecond
	watchGrace = 500 * time.Millisecond // past the wait, until its answer begins
	resumeWait = time.Millisecond       // of a call that is to be answered at once: none at all might be read as none told
	startBegin = 2 * time.Second        // until the answer to a call that does not wait begins, the connecting included: at the start,
	leastBegin = time.Second            // later at least, or twice what the last one took,
	mostBegin  = 3 * time.Second        // and at most; half as much again after each that did not begin, for a slow agent
	leastRest  = 1500 * time.Millisecond
	mostRest   = 3 * time.Second // for an answer that has begun; twice as long after one that took too long
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	largePause = 2 * time.Second        // after a list that does not fit: each such call may cost as much as reading one that does
	emptyPause = 100 * time.Millisecond // after a watch that ends early with nothing; within 200 ms it still goes on
)

// Sink takes what the registry tells.
type Sink interface {
	ApplyListing(exchange.Listing)
	ListFailed()
	NoticesAccepted(ids []string)
}

// Keeper keeps what is heard for the next process: a whole list of discovery's at an address, or a change that follows on a version; an
// empty address where the list in force is not known whole any more. It must not wait.
type ListStore interface {
	Save(at string, since, seq int64, l exchange.Listing)
}

// Registry follows the list of endpoints.
type Registry struct {
	names   *settings.Names
	log     *slog.Logger
	where   *Address
	client  client
	seq     int64         // of the list last heard
	heardAt *place        // where that was, nil if the next call is to bring the whole list
	last    lastChange    // in that list
	lost    bool          // the last call has failed: what it would have told is asked for, in a call that is short
	begin   time.Duration // until the answer to a call that does not wait begins
	rest    time.Duration // for an answer that has begun
	nudge   chan struct{}
	heard   chan struct{} // closed at the first list
	refused string        // what was last logged of a list that does not fit
	Lists   atomic.Int64
	Failed  atomic.Int64

	// Keeper, if there is one, is told of all that is heard. Set it before Run.
	ListStore ListStore

	// MaxList is how many bytes of memory a list may take, by its entries and their names and addresses. Set it before Run; by
	// default it is 32 MiB, some 340,000 endpoints. What is longer is refused.
	MaxListBytes int64
}

const defaultList = 32 << 20

// New returns a registry client that has not started.
func New(where *Address, names *settings.Names, log *slog.Logger) *Registry {
	return &Registry{names: names, log: log, where: where, begin: startBegin, rest: leastRest, nudge: make(chan struct{}, 1), heard: make(chan struct{}),
		MaxListBytes: defaultList}
}

// Heard is closed when the first list has come.
func (r *Registry) FirstList() <-chan struct{} { return r.heard }

// Watch ends the pause after a failure. It does not wait.
func (r *Registry) RetryNow() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

// Resume makes the list of an earlier process the one that is held, if it came from where discovery is now: the first call asks for what
// is new since its version. The last change before that version and the version that the change followed may be told too; last may be
// empty. Call it before Run.
func (r *Registry) Resume(seq, since int64, last []exchange.Host) {
	if len(last) > mostLast {
		last = nil
	}
	r.seq, r.heardAt, r.lost, r.last = seq, r.where.now(), true, lastChange{since, last}
}

// Fits tells whether a list is within MaxList.
func (r *Registry) Fits(l exchange.Listing) bool {
	var sum int64
	for _, h := range l.Hosts {
		sum += taken(h)
	}
	return sum <= r.MaxListBytes
}

// Run follows the list until the context ends. A failure keeps the old list and its version, and what came after that is asked for anew,
// in a call that does not wait: a lost answer is told again to who names the version before it, and the short limit of such a call bounds
// how long a change stays unheard. See distrust for when the whole list is asked for instead.
func (r *Registry) Run(ctx context.Context, sink Sink) {
	defer r.client.close()
	pause := firstPause
	for ctx.Err() == nil {
		err := r.ask(ctx, sink)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, errMoved) {
			pause = firstPause
			continue
		}
		if r.Failed.Add(1) == 1 {
			r.log.Warn("discovery could not be heard; further failures are only counted", "err", err)
		}
		r.lost = true
		if r.distrust(err) {
			r.heardAt = nil
		}
		sink.ListFailed()
		if r.refuse(err) {
			pause = largePause
		}
		r.wait(ctx, pause)
		pause = min(2*pause, maxPause)
	}
}

// distrust tells after a failure whether the version that is held says nothing to discovery any more, so that the whole list is to be
// asked for. That is so after an answer that came and cannot be used, as it may be what discovery has to say to that version; and after
// a connection that ended or never came up, where no last change is known by which a discovery that counts anew would show (see
// continues): its process may have been another one since. A call that was lost in silence says nothing of that kind. Guards against a
// list that stays wrong for good; costs the whole list where the agent only dropped a connection.
func (r *Registry) distrust(err error) bool {
	var bad *answerError
	if errors.As(err, &bad) {
		return true
	}
	silent := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errSlow)
	return !silent && len(r.last.hosts) == 0
}

// refuse logs a list that does not fit, each size once in a row.
func (r *Registry) refuse(err error) bool {
	var large *TooLargeError
	if !errors.As(err, &large) {
		return false
	}
	if text := large.Error(); text != r.refused {
		r.refused = text
		r.log.Error("discovery's list is refused; the old one stays", "err", text)
	}
	return true
}

// wait lasts as long as this, or until it is cut short by the context, a nudge or a move.
func (r *Registry) wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.nudge:
	case <-r.where.now().stay.Done():
	case <-timer.C:
	}
}

// ask makes one call: for the whole list at first, wherever discovery has moved to and whenever its versions are counted anew; else for
// what has changed since the version held. After a failure that is asked for at once, then by a watch.
func (r *Registry) ask(ctx context.Context, sink Sink) error {
	at, target, limit := r.where.now(), "/registry/instances", limits{r.begin, r.rest}
	building := r.heardAt == at // on the list that is held
	watching := building && !r.lost
	since := r.seq
	switch {
	case watching:
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, since, watchWait.Milliseconds())
		limit.begin = watchWait + watchGrace + max(0, r.begin-leastBegin)
	case building:
		if len(r.last.hosts) > 0 {
			since = r.last.since
		}
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, since, resumeWait.Milliseconds())
	}
	begun := time.Now()
	var seq int64
	var listing exchange.Listing
	resp, err := r.client.do(ctx, at, limit, "GET", target, nil, func(from io.Reader, length int) (err error) {
		seq, listing, err = readList(from, int64(length), r.names, r.MaxListBytes)
		return err
	})
	switch {
	case errors.Is(err, errSlow):
		r.rest = min(2*r.rest, mostRest)
	case !watching && errors.Is(err, os.ErrDeadlineExceeded):
		r.begin = min(r.begin*3/2, mostBegin)
	case !watching && err == nil:
		r.begin = min(max(2*r.client.began.Sub(begun), leastBegin), mostBegin) // however long it took from there on
	}
	if err != nil {
		return err
	}
	if resp.Status != 200 {
		return &answerError{fmt.Errorf("discovery answered %d", resp.Status)}
	}
	r.lost = false
	if building && !listing.Whole && !r.continues(since, seq, listing.Hosts) {
		r.heardAt = nil
		r.wait(ctx, emptyPause) // else one whose versions go to and fro would be asked without end
		return nil
	}
	if building && !listing.Whole {
		listing.Hosts = r.fresh(since, listing.Hosts)
	}
	news := listing.Whole || len(listing.Hosts) > 0
	r.keep(at, building, seq, listing)
	r.hold(at, seq, listing)
	if news {
		sink.ApplyListing(listing)
	}
	if r.Lists.Add(1) == 1 {
		close(r.heard)
	}
	if watching && !news && time.Since(begun) < watchWait/2 {
		r.wait(ctx, emptyPause) // else a watch that never waits would be asked without end
	}
	return nil
}

// lastChange is what changed last in the list held, and the version that followed on. It has no hosts where that is not known.
type lastChange struct {
	since int64
	hosts []exchange.Host
}

const mostLast = 64 // entries of a change that is remembered

// continues tells whether an answer with changes builds on the list that is held. One with an older version does not: it is counted anew.
// Versions that are counted anew may have passed the one held, though. So what is asked for after a failure begins before the last change
// that is known, and must tell of each of its entries once more, unchanged if the version still is that one. Guards against a
// discovery that was replaced or lost its state, and against one that leaves out what came and went since the version named, which
// is listed here; costs a few entries for each failure, and the whole list where an entry is left out for good reason.
func (r *Registry) continues(since, seq int64, hosts []exchange.Host) bool {
	if seq < r.seq {
		return false
	}
	if since == r.seq { // nothing is told twice
		return true
	}
	told := make(map[string]exchange.Host, len(hosts))
	for _, h := range hosts {
		told[h.Name] = h
	}
	for _, h := range r.last.hosts {
		again, known := told[h.Name]
		if !known || seq == r.seq && again != h {
			return false
		}
	}
	return true
}

// fresh is what an answer that continues the list held has of news, without what was told again.
func (r *Registry) fresh(since int64, hosts []exchange.Host) []exchange.Host {
	if since == r.seq {
		return hosts
	}
	return slices.DeleteFunc(hosts, func(h exchange.Host) bool { return slices.Contains(r.last.hosts, h) })
}

// keep hands on what was heard to who keeps it.
func (r *Registry) keep(at *place, building bool, seq int64, l exchange.Listing) {
	switch {
	case r.ListStore == nil || building && !l.Whole && seq == r.seq && len(l.Hosts) == 0:
	case building || l.Whole:
		r.ListStore.Save(at.addr, r.seq, seq, l)
	default:
		r.ListStore.Save("", 0, 0, exchange.Listing{})
	}
}

// hold takes over the version of what was heard, and remembers what changed since the one before if that is little.
func (r *Registry) hold(at *place, seq int64, l exchange.Listing) {
	switch {
	case l.Whole || len(l.Hosts) > mostLast || r.heardAt != at:
		r.last = lastChange{}
	case len(l.Hosts) > 0 && seq != r.seq:
		r.last = lastChange{r.seq, l.Hosts}
	}
	r.seq, r.heardAt = seq, at
}

// Package registry is the client of discovery, the outside service that lists endpoints and accepts notices. It keeps
// the list of endpoints up to date by long polling, and delivers notices of messages that ended undelivered
// (notices.go). It owns the two connections to discovery. It must never decide anything about an endpoint or a message,
// nor drop a notice that was not accepted.
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

// Time limits of the requests for the list. The platform expects a sender to know of a change at most 6 s after
// discovery had it and could be reached, whatever failed before. The limits are chosen so that each of these sequences
// fits into those 6 s, with room for the backoff between the requests:
//
//   - a long poll that gets no answer, followed by two short requests that get none,
//   - a request sent just before discovery could be reached again, with the longest limit,
//   - a long poll whose answer begins and then stalls.
const (
	watchWait  = 1500 * time.Millisecond // how long discovery is asked to hold a long poll
	watchGrace = 500 * time.Millisecond  // beyond watchWait, until the answer begins

	// resumeWait is the wait of a request that is to be answered at once. A wait of 0 could be taken for none given.
	resumeWait = time.Millisecond

	// Limits from the start of a request that is not a long poll, connecting included, until its answer begins. The
	// first request gets the initial limit. Later ones get twice the time the latest answer took, within the minimum
	// and the maximum, and half as much again after each request without an answer, for a slow discovery.
	initialFirstByteTimeout = 2 * time.Second
	minFirstByteTimeout     = time.Second
	maxFirstByteTimeout     = 3 * time.Second

	// Limits for a stall of an answer that has begun; doubled after each answer that exceeded the limit.
	minStallTimeout = 1500 * time.Millisecond
	maxStallTimeout = 3 * time.Second

	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond

	// tooLargeBackoff follows a list that is too large: each such request may cost as much as reading one that fits.
	tooLargeBackoff = 2 * time.Second

	// emptyAnswerPause follows a long poll that ends early without changes. Up to 200 ms the polling still counts as
	// uninterrupted.
	emptyAnswerPause = 100 * time.Millisecond
)

// Sink receives what the registry client learns from discovery.
type Sink interface {
	ApplyListing(exchange.Listing)
	ListFailed()
	NoticesAccepted(ids []string)
}

// ListStore saves what discovery reports for the next process: a whole list received from addr, or a change that
// builds on version since. An empty addr means that the list in force is no longer known as a whole. Save must not
// block.
type ListStore interface {
	Save(addr string, since, seq int64, l exchange.Listing)
}

// Registry follows the list of endpoints.
type Registry struct {
	names            *settings.Names
	log              *slog.Logger
	address          *Address
	client           client
	seq              int64         // version of the held list, counted by discovery
	syncedAt         *location     // where it was received; nil if the next request must fetch the whole list
	last             lastChange    // in the held list
	resuming         bool          // the latest request failed: fetch what it missed, without a long wait
	firstByteTimeout time.Duration // of a request that is not a long poll
	stallTimeout     time.Duration // of an answer that has begun
	retryNow         chan struct{}
	firstList        chan struct{} // closed when the first list has come
	loggedTooLarge   string        // the latest logged error about a list that is too large
	Lists            atomic.Int64  // answers applied, those without changes included
	Failed           atomic.Int64  // failed requests
	Unasked          atomic.Int64  // connections on which bytes came that nobody asked for

	// ListStore, if set, is given every list and change. Set it before Run.
	ListStore ListStore

	// MaxListBytes limits the memory of a list: its entries with their names and addresses. A larger list is refused.
	// Set it before Run; the default is 32 MiB, about 340,000 endpoints.
	MaxListBytes int64
}

const defaultMaxListBytes = 32 << 20

// New returns a registry client that has not started.
func New(address *Address, names *settings.Names, log *slog.Logger) *Registry {
	r := &Registry{
		names:            names,
		log:              log,
		address:          address,
		firstByteTimeout: initialFirstByteTimeout,
		stallTimeout:     minStallTimeout,
		retryNow:         make(chan struct{}, 1),
		firstList:        make(chan struct{}),
		MaxListBytes:     defaultMaxListBytes,
	}
	r.client.unasked = &r.Unasked
	return r
}

// FirstList returns a channel that is closed when the first list has come.
func (r *Registry) FirstList() <-chan struct{} { return r.firstList }

// RetryNow ends the backoff after a failure. It does not block.
func (r *Registry) RetryNow() {
	select {
	case r.retryNow <- struct{}{}:
	default:
	}
}

// Resume adopts version seq of the list of an earlier process, which must have come from where discovery is now: the
// first request then asks only for what is new since that version. since and last are the last change in that list and
// the version it was applied to; last may be empty. Call Resume before Run.
func (r *Registry) Resume(seq, since int64, last []exchange.Host) {
	if len(last) > maxLastChange {
		last = nil
	}
	r.seq, r.syncedAt, r.resuming = seq, r.address.current(), true
	r.last = lastChange{since, last}
}

// Fits reports whether a list is within MaxListBytes.
func (r *Registry) Fits(l exchange.Listing) bool {
	var sum int64
	for _, h := range l.Hosts {
		sum += hostBytes(h)
	}
	return sum <= r.MaxListBytes
}

// Run follows the list until the context ends. After a failure it keeps the list and its version, and fetches what
// came after that version by a request that is not a long poll. Discovery repeats a lost answer to a client that names
// the version before it, and the short limit of such a request bounds how long a change stays unknown. See
// mustRefetch for when the whole list is fetched instead.
func (r *Registry) Run(ctx context.Context, sink Sink) {
	defer r.client.close()
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := r.fetch(ctx, sink)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, errAddressChanged) {
			backoff = initialBackoff
			continue
		}
		if r.Failed.Add(1) == 1 {
			r.log.Warn("discovery could not be heard; further failures are only counted", "err", err)
		}
		r.resuming = true
		if r.mustRefetch(err) {
			r.syncedAt = nil
		}
		sink.ListFailed()
		if r.logTooLarge(err) {
			backoff = tooLargeBackoff
		}
		r.pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// mustRefetch reports whether the held version has lost its meaning with this failure, so that the whole list must be
// fetched. That is so in two cases:
//
//   - An answer came that cannot be used: it may be how discovery always answers for that version.
//   - The connection ended or never came up, and no last change is known that would reveal restarted version numbers
//     (see continuesList): discovery may have been replaced by another process meanwhile.
//
// A request that got no answer in time is neither. This guards against a list that stays wrong forever; the price is a
// whole list where discovery only dropped a connection.
func (r *Registry) mustRefetch(err error) bool {
	var unusable *unusableAnswerError
	if errors.As(err, &unusable) {
		return true
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errStalled)
	return !timedOut && len(r.last.hosts) == 0
}

// logTooLarge reports whether the error is about a list that is too large. It logs the error unless the same one was
// logged last.
func (r *Registry) logTooLarge(err error) bool {
	var tooLarge *TooLargeError
	if !errors.As(err, &tooLarge) {
		return false
	}
	if text := tooLarge.Error(); text != r.loggedTooLarge {
		r.loggedTooLarge = text
		r.log.Error("refused the list from discovery; the old one stays in force", "err", text)
	}
	return true
}

// pause waits for the given time, or until the context ends, RetryNow is called or the address changes.
func (r *Registry) pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.retryNow:
	case <-r.address.current().left.Done():
	case <-timer.C:
	}
}

const listPath = "/registry/instances"

// fetch makes one request. It asks for the whole list at first, after a change of address, and whenever the version
// numbers have restarted. Otherwise it asks for changes since the held version: by a long poll, or right after a
// failure by a request that is answered at once.
func (r *Registry) fetch(ctx context.Context, sink Sink) error {
	at, target, limit := r.address.current(), listPath, limits{r.firstByteTimeout, r.stallTimeout}
	incremental := r.syncedAt == at // asks for changes to the held list
	watching := incremental && !r.resuming
	since := r.seq
	switch {
	case watching:
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, since, watchWait.Milliseconds())
		limit.firstByte = watchWait + watchGrace + max(0, r.firstByteTimeout-minFirstByteTimeout)
	case incremental:
		if len(r.last.hosts) > 0 {
			since = r.last.since
		}
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, since, resumeWait.Milliseconds())
	}
	if !incremental { // the answer does not prove that it belongs to this request
		r.client.close()
	}
	begun := time.Now()
	var seq int64
	var listing exchange.Listing
	resp, err := r.client.do(ctx, at, limit, "GET", target, nil, func(body io.Reader, length int) (err error) {
		seq, listing, err = readList(body, int64(length), r.names, r.MaxListBytes)
		return err
	})
	switch {
	case errors.Is(err, errStalled):
		r.stallTimeout = min(2*r.stallTimeout, maxStallTimeout)
	case !watching && errors.Is(err, os.ErrDeadlineExceeded):
		r.firstByteTimeout = min(r.firstByteTimeout*3/2, maxFirstByteTimeout)
	case !watching && err == nil: // however long the rest of the answer took
		r.firstByteTimeout = min(max(2*r.client.answerBegan.Sub(begun), minFirstByteTimeout), maxFirstByteTimeout)
	}
	if err != nil {
		return err
	}
	if resp.Status != 200 {
		return &unusableAnswerError{fmt.Errorf("GET %s: discovery answered with status %d", target, resp.Status)}
	}
	r.resuming = false
	if incremental && !r.belongsToRequest(since, seq, listing) {
		r.syncedAt = nil
		// Otherwise a discovery whose versions alternate would be asked in a tight loop.
		r.pause(ctx, emptyAnswerPause)
		return nil
	}
	if incremental && !listing.Whole {
		listing.Hosts = r.withoutRepeats(since, listing.Hosts)
	}
	changed := listing.Whole || len(listing.Hosts) > 0
	r.save(at, incremental, seq, listing)
	r.adopt(at, seq, listing)
	if changed {
		sink.ApplyListing(listing)
	}
	if r.Lists.Add(1) == 1 {
		close(r.firstList)
	}
	if watching && !changed && time.Since(begun) < watchWait/2 {
		// Otherwise a discovery that does not hold long polls would be asked in a tight loop.
		r.pause(ctx, emptyAnswerPause)
	}
	return nil
}

// lastChange is the last change in the held list and the version it was applied to. It has no hosts if unknown.
type lastChange struct {
	since int64
	hosts []exchange.Host
}

const maxLastChange = 64 // entries; a larger change is not remembered

// belongsToRequest reports whether a list can be the answer to a request for changes since a version. One that is older
// than the held list may be a copy of an earlier answer, unless its connection has brought no other.
func (r *Registry) belongsToRequest(since, seq int64, l exchange.Listing) bool {
	if l.Whole {
		return seq >= r.seq || r.client.requests <= 1
	}
	return r.continuesList(since, seq, l.Hosts)
}

// continuesList reports whether an incremental answer builds on the held list. An answer with an older version does
// not: the version numbers have restarted.
//
// Restarted numbers may also have passed the held version. To detect this, a request after a failure asks for changes
// since before the last known change. The answer must then repeat each of its entries, unchanged if the version is
// still the same. This guards against a discovery that was replaced or lost its state, and against one that leaves out
// what came and went since the named version, which is on the list held here. It costs a few entries for each failure,
// and the whole list where an entry is left out for good reason.
func (r *Registry) continuesList(since, seq int64, hosts []exchange.Host) bool {
	if seq < r.seq {
		return false
	}
	if since == r.seq { // no change is repeated
		return true
	}
	byName := make(map[string]exchange.Host, len(hosts))
	for _, h := range hosts {
		byName[h.Name] = h
	}
	for _, h := range r.last.hosts {
		repeated, found := byName[h.Name]
		if !found || seq == r.seq && repeated != h {
			return false
		}
	}
	return true
}

// withoutRepeats returns the hosts of an incremental answer without those that only repeat the last known change.
func (r *Registry) withoutRepeats(since int64, hosts []exchange.Host) []exchange.Host {
	if since == r.seq {
		return hosts
	}
	return slices.DeleteFunc(hosts, func(h exchange.Host) bool { return slices.Contains(r.last.hosts, h) })
}

// save passes a list or change on to the ListStore.
func (r *Registry) save(at *location, incremental bool, seq int64, l exchange.Listing) {
	switch {
	case r.ListStore == nil || incremental && !l.Whole && seq == r.seq && len(l.Hosts) == 0:
	case incremental || l.Whole:
		r.ListStore.Save(at.addr, r.seq, seq, l)
	default:
		r.ListStore.Save("", 0, 0, exchange.Listing{})
	}
}

// adopt makes a received version the held one, and remembers what changed since the one before if that is little.
func (r *Registry) adopt(at *location, seq int64, l exchange.Listing) {
	switch {
	case l.Whole || len(l.Hosts) > maxLastChange || r.syncedAt != at:
		r.last = lastChange{}
	case len(l.Hosts) > 0 && seq != r.seq:
		r.last = lastChange{r.seq, l.Hosts}
	}
	r.seq, r.syncedAt = seq, at
}

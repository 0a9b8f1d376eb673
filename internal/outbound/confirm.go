// This file owns what a response proves. HTTP/1.1 matches responses to requests by their order alone, so a response that
// nobody asked for shifts all later ones on its connection by one call. It must never confirm a response while the
// connection may still bring the one that it stands for.
//
// A response on a connection that has carried no call before, or one that names the messages of its call, proves itself.
// Any other one is unconfirmed. It is confirmed once the connection has brought nothing more for the confirmation time:
// had it been another call's, the call's own response would have come by then. Where the connection is not needed after
// a call, the request says so: the endpoint then closes it behind its response, and the end confirms all of them. If more
// comes than was asked for, each unconfirmed response may be that of the call before, and counts only where the one after
// it says the same.

package outbound

import (
	"errors"
	"hash/maphash"
	"io"
	"os"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/socket"
)

const (
	// The confirmation time is confirmationFactor times the longest recent response time of the endpoint, within limits.
	confirmationFactor  = 2
	minConfirmationTime = 300 * time.Millisecond
	maxConfirmationTime = 3 * time.Second

	// heldUpFactor multiplies it where a message that must not be repeated is held up: a wrong confirmation would send it
	// again while it runs.
	heldUpFactor = 2

	// maxUnconfirmedTime is how long a connection may carry calls while its earliest response is unconfirmed. After that
	// it rests until it is.
	maxUnconfirmedTime = time.Second

	// distrustTime is how long connections to an endpoint carry one call each after one brought more than was asked for.
	distrustTime = 10 * time.Minute

	// trustedQuietUses is the number of connections in a row that have brought nothing unasked before their next call from
	// which on a connection need not be watched first, see Config.WatchFirst.
	trustedQuietUses = 16

	// distrustedCopiers is the number of endpoints that have sent a late response from which on all are distrusted: what
	// copies responses is then not an endpoint, but on the way to all of them.
	distrustedCopiers = 2

	// unsafeQuietTime is how long a connection must have brought nothing before it carries a message that must not be
	// repeated: a copy directly behind a response comes within it, also if the network loses it once.
	unsafeQuietTime = 500 * time.Millisecond

	// surplusTimeout limits the wait for the rest of a response that nobody asked for.
	surplusTimeout = 5 * time.Millisecond

	// A connection that the exchange wants closed, and that holds no message up, stays open for 1/closingDivisor of the
	// confirmation time at most, as endpoints that accept few connections may wait for its end.
	closingDivisor = 2

	maxBatchResponses = 256 // remembered by a connection, to tell a copy of one
)

// unconfirmedResponse is a response that may be another call's.
type unconfirmedResponse struct {
	call   *exchange.Call
	status int // 0 if it alone does not tell what the response says

	writtenAt time.Time // the call
	at        time.Time // the response
}

// confirmation is the state of a connection's responses.
type confirmation struct {
	unconfirmed []unconfirmedResponse // since the last one that was confirmed, oldest first
	within      time.Duration         // confirmation time, as of the latest response
	soon        bool                  // a message is held up until its response is confirmed, and the connection rests
	batches     map[uint64]bool       // hashes of the responses that named messages which may be called again
}

// batchSeed makes the hashes of this process's batch responses.
var batchSeed = maphash.MakeSeed()

// pending reports whether a response is unconfirmed.
func (c *confirmation) pending() bool { return len(c.unconfirmed) > 0 }

// dueAt returns when all responses are confirmed if nothing more comes: when the latest call's own response would have
// come. The endpoint began that call when it was written, or, if the response before is unconfirmed too, perhaps only
// as its own response came.
func (c *confirmation) dueAt() time.Time { return c.due(c.within) }

// due returns when the latest call's own response would have come if it took the given time.
func (c *confirmation) due(took time.Duration) time.Time {
	latest := c.unconfirmed[len(c.unconfirmed)-1]
	if len(c.unconfirmed) > 1 {
		return latest.at.Add(took)
	}
	return latest.writtenAt.Add(took)
}

// mustRest reports whether the connection must carry no further call until its responses are confirmed.
func (c *confirmation) mustRest(now time.Time) bool {
	return c.pending() && (c.soon || now.Sub(c.unconfirmed[0].at) > maxUnconfirmedTime)
}

// wasQuiet reports whether an idle connection has brought nothing for the confirmation time.
func (c *conn) wasQuiet(now time.Time) bool { return now.Sub(c.answeredAt) >= c.confirmation.within }

// trustsEndpoints reports whether connections need not be watched before they are used again. It must be called with the
// lock held.
func (p *Pool) trustsEndpoints() bool { return !p.cfg.WatchFirst || p.quietUses >= trustedQuietUses }

// noteQuietUse counts a connection on which nothing lay unread as it was given its next call, if that tells anything.
func (p *Pool) noteQuietUse(c *conn) {
	if c.used() && c.wasQuiet(time.Now()) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.quietUses++
	}
}

// takeUnconfirmed returns the unconfirmed responses of a connection and forgets them. It must not be called with the
// pool's lock held, nor must its callers: they report results.
func (p *Pool) takeUnconfirmed(c *conn) []unconfirmedResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := c.confirmation.unconfirmed
	c.confirmation.unconfirmed, c.confirmation.soon = nil, false
	return taken
}

// provesItself reports whether a valid response can only be that of its call. first reports that it is the first on its
// connection, named that it is a 200 which names each message of a call with several. A response that closes the
// connection is no copy of an earlier one, but may be the call's before if one is unconfirmed.
func (c *confirmation) provesItself(resp *http1.Response, first, named bool) bool {
	if !named {
		return first || resp.Close && !c.pending()
	}
	hash := maphash.Bytes(batchSeed, resp.Body)
	repeated := c.batches[hash]
	if c.batches == nil || len(c.batches) >= maxBatchResponses {
		c.batches = map[uint64]bool{}
	}
	c.batches[hash] = true
	return !repeated
}

// sayTheSame reports whether two responses mean the same for a call with one message, and for a call that is answered as
// a whole.
func sayTheSame(status, other int) bool {
	turnedAway := func(status int) bool {
		return status == statusTooManyRequests || status == statusServiceUnavailable
	}
	return status != 0 && (status == other || turnedAway(status) && turnedAway(other))
}

// noteUnconfirmed adds a response that does not prove itself to those of the connection.
func (p *Pool) noteUnconfirmed(c *conn, j *job, resp *http1.Response, writtenAt time.Time) {
	c.confirmation.soon = c.confirmation.soon || j.call.ConfirmSoon && resp.Status != statusOK
	if c.confirmation.soon {
		c.confirmation.within *= heldUpFactor
	}
	u := unconfirmedResponse{call: j.call, status: resp.Status, writtenAt: writtenAt, at: time.Now()}
	if resp.Status == statusOK && len(j.call.Items) > 1 {
		u.status = 0 // what it says is in its body
	}
	c.confirmation.unconfirmed = append(c.confirmation.unconfirmed, u)
}

// confirm confirms all responses of a connection.
func (p *Pool) confirm(c *conn) {
	taken := p.takeUnconfirmed(c)
	p.Counts.Confirmed.Add(int64(len(taken)))
	for _, u := range taken {
		p.cfg.Confirm(u.call, true, 0)
	}
}

// contradict settles the responses of a connection that ended, or brought something more, before they were confirmed.
// surplus is the response that nobody asked for; nil if none could be read.
func (p *Pool) contradict(c *conn, surplus *http1.Response) {
	var later int // status of the response after each one
	var wait time.Duration
	if surplus != nil {
		later, wait = surplus.Status, retryAfter(surplus.Header)
	}
	taken := p.takeUnconfirmed(c)
	certain := true
	for i := len(taken) - 1; i >= 0; i-- {
		u := taken[i]
		certain = certain && sayTheSame(u.status, later)
		if !certain {
			p.Counts.Contradicted.Add(1)
		}
		p.cfg.Confirm(u.call, certain, wait)
		later, wait = u.status, 0
	}
}

// onUnasked handles bytes that belong to no call: connections to the endpoint carry one call each from now on. Where a
// whole response comes on an idle connection, others may come while a call is out, on any connection.
func (p *Pool) onUnasked(c *conn, to exchange.Peer, idle bool) {
	c.closeReason = closedForUnaskedBytes
	p.logUnasked(c, to)
	_ = c.nc.SetReadDeadline(time.Now().Add(surplusTimeout)) // fails on a closed connection, whose reads fail too
	surplus, err := http1.ReadOneResponse(c.br, maxResponseBytes)
	if err != nil || surplus.Status < statusOK {
		surplus = nil
	}
	p.distrust(to, idle && surplus != nil)
	p.contradict(c, surplus)
}

// onIdleEnd handles an idle connection whose read has ended with err, nil if there are bytes to read.
func (p *Pool) onIdleEnd(c *conn, to exchange.Peer, err error) {
	if err == nil {
		p.onUnasked(c, to, true)
		return
	}
	c.closeReason = closedByEndpoint
	if c.saidClose && errors.Is(err, io.EOF) {
		p.confirm(c)
		return
	}
	p.contradict(c, nil)
}

// checkUnread returns whether nothing lies unread on a connection that is idle. Bytes, or its end, are handled.
func (p *Pool) checkUnread(c *conn, to exchange.Peer) bool {
	if c.br.Buffered() == 0 && socket.ReadWouldBlock(c.nc) {
		return true
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(surplusTimeout)) // fails on a closed connection, whose reads fail too
	_, err := c.br.Peek(1)
	p.onIdleEnd(c, to, err)
	return false
}

// awaitConfirmation waits until the responses of a connection that is to be closed are confirmed or contradicted.
func (p *Pool) awaitConfirmation(c *conn, to exchange.Peer) {
	if !c.confirmation.pending() {
		return
	}
	within := c.confirmation.within
	if c.closeReason == closedOnRequest && !c.confirmation.soon {
		within /= closingDivisor
	}
	_ = c.nc.SetReadDeadline(c.confirmation.due(within)) // fails on a closed connection, whose reads fail too
	_, err := c.br.Peek(1)
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		p.onIdleEnd(c, to, err)
	case !p.checkUnread(c, to):
	case p.copies(to):
		p.contradict(c, nil) // silence proves nothing where copies have come: the call's own response may still be to come
	default:
		p.confirm(c)
	}
}

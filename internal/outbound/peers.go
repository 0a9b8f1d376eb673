// This file owns what a pool remembers of each endpoint: how long its responses take, and whether it, or the way to it,
// has sent more than was asked for. It must never decide which endpoint is called.

package outbound

import (
	"maps"
	"time"

	"eiderhaven/internal/exchange"
)

const (
	// A response time counts for one to two periods.
	responseTimePeriod = 30 * time.Second

	// An endpoint that has not answered for this long is forgotten, unless it is distrusted.
	peerRetention = 5 * time.Minute

	minPeersKept = 64 // no endpoint is forgotten below this number
)

// peerRecord is what a pool remembers of one endpoint.
type peerRecord struct {
	slowest         time.Duration // longest response time in the present period
	slowestBefore   time.Duration // in the period before
	periodBegan     time.Time
	answeredAt      time.Time
	copiedAt        time.Time // when it last sent a whole response on an idle connection
	distrustedUntil time.Time
}

// peerRecords are the records of a pool's endpoints, guarded by the pool's lock.
type peerRecords struct {
	records map[exchange.Peer]*peerRecord
	kept    int // number of records after the last cleanup

	allDistrustedUntil time.Time
}

// of returns the record of an endpoint, a new one if there is none. Each time their number has doubled, old ones are
// dropped.
func (r *peerRecords) of(to exchange.Peer, now time.Time) *peerRecord {
	if record := r.records[to]; record != nil {
		return record
	}
	if len(r.records) >= max(2*r.kept, minPeersKept) {
		maps.DeleteFunc(r.records, func(_ exchange.Peer, record *peerRecord) bool {
			return now.Sub(record.answeredAt) > peerRetention && now.After(record.distrustedUntil)
		})
		r.kept = len(r.records)
	}
	record := &peerRecord{answeredAt: now, periodBegan: now}
	r.records[to] = record
	return record
}

// noteResponseTime remembers how long an endpoint took to answer a call.
func (p *Pool) noteResponseTime(to exchange.Peer, took time.Duration) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.peers.of(to, now)
	if age := now.Sub(record.periodBegan); age > responseTimePeriod {
		record.slowestBefore = record.slowest
		if age > 2*responseTimePeriod {
			record.slowestBefore = 0
		}
		record.slowest, record.periodBegan = 0, now
	}
	record.slowest, record.answeredAt = max(record.slowest, took), now
}

// confirmationTime returns for how long a connection to an endpoint must bring nothing more until its responses are
// confirmed.
func (p *Pool) confirmationTime(to exchange.Peer) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.peers.of(to, time.Now())
	slowest := max(record.slowest, record.slowestBefore)
	return max(minConfirmationTime, min(confirmationFactor*slowest, maxConfirmationTime))
}

// distrust makes connections to an endpoint carry one call each for distrustTime, and those to all endpoints once enough
// of them were copiers: endpoints that sent a whole response on an idle connection.
func (p *Pool) distrust(to exchange.Peer, copier bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	record := p.peers.of(to, now)
	if now.After(record.distrustedUntil) {
		p.Counts.Distrusted.Add(1)
		p.cfg.Log.Info("connections to an endpoint are not reused", "endpoint", to.Name, "for", distrustTime)
	}
	record.distrustedUntil = now.Add(distrustTime)
	p.quietUses = 0
	p.closeIdle(to, closedForDistrust)
	if !copier {
		return
	}
	record.copiedAt = now
	if p.peers.copiers(now) < distrustedCopiers {
		return
	}
	if now.After(p.peers.allDistrustedUntil) {
		p.cfg.Log.Warn("several endpoints sent responses that nobody asked for: no connection is reused", "for", distrustTime)
	}
	p.peers.allDistrustedUntil = now.Add(distrustTime)
	for peer := range p.idle {
		p.closeIdle(peer, closedForDistrust)
	}
}

// copiers returns how many endpoints have sent a whole response on an idle connection within distrustTime.
func (r *peerRecords) copiers(now time.Time) int {
	n := 0
	for _, record := range r.records {
		if !record.copiedAt.IsZero() && now.Sub(record.copiedAt) < distrustTime {
			n++
		}
	}
	return n
}

// copies reports whether an endpoint, or the way to it, has sent more than was asked for lately.
func (p *Pool) copies(to exchange.Peer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.distrusts(to)
}

// distrusts reports whether connections to an endpoint carry one call each. It must be called with the lock held.
func (p *Pool) distrusts(to exchange.Peer) bool {
	now := time.Now()
	record := p.peers.records[to]
	return now.Before(p.peers.allDistrustedUntil) || record != nil && now.Before(record.distrustedUntil)
}

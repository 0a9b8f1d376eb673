// This file owns the notices that discovery has not accepted yet. It must never drop one, nor let one that discovery
// cannot read hold up the others forever.

package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"eiderhaven/internal/ledger"
)

// Notices delivers notices to discovery until each was accepted, several in one request where they queue up.
type Notices struct {
	log       *slog.Logger
	address   *Address
	client    client
	mu        sync.Mutex
	queue     []ledger.Notice
	queued    chan struct{} // signals that the queue has grown
	Failed    atomic.Int64  // failed requests
	batchSize int
	inFlight  int // notices in the request that is under way
}

// Time limits of a request. Discovery answers at once, and the platform counts a message without a final answer as lost
// 300 ms after its deadline. A connection that no longer responds must therefore be abandoned well within that time. A
// discovery that is only slow gets more time after each time-out.
const (
	initialPostTimeout = 150 * time.Millisecond
	maxPostTimeout     = 2 * time.Second
	maxBatchSize       = 200
)

// NewNotices returns a queue that has not started.
func NewNotices(address *Address, log *slog.Logger) *Notices {
	return &Notices{log: log, address: address, queued: make(chan struct{}, 1), batchSize: maxBatchSize}
}

// EnqueueNotice queues a notice. It does not block.
func (n *Notices) EnqueueNotice(notice ledger.Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, notice)
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
	return len(n.queue) + n.inFlight
}

// Run delivers notices until the context ends.
func (n *Notices) Run(ctx context.Context, sink Sink) {
	backoff, timeout := initialBackoff, initialPostTimeout
	for ctx.Err() == nil {
		batch := n.takeBatch()
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
			case <-n.queued:
			}
			continue
		}
		at := n.address.current()
		if n.post(ctx, at, timeout, batch, sink) {
			backoff, timeout = initialBackoff, initialPostTimeout
			continue
		}
		timeout = min(2*timeout, maxPostTimeout)
		select {
		case <-ctx.Done():
		case <-at.left.Done(): // try the new address at once
			backoff = initialBackoff
			continue
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// takeBatch takes the next batch off the queue.
func (n *Notices) takeBatch() []ledger.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := min(len(n.queue), n.batchSize)
	batch := append([]ledger.Notice(nil), n.queue[:k]...)
	n.queue = n.queue[:copy(n.queue, n.queue[k:])]
	n.inFlight = k
	return batch
}

// post delivers one batch and reports whether it was accepted. If not, the batch goes back to the end of the queue. If
// discovery could not read it, notices are sent one by one from then on, so that a bad one does not hold up the others.
// Each batch has a connection of its own: a 204 names no notice, and on a connection that was used before it may be a
// copy of an earlier one. A notice that is taken for accepted and was not is a lost message.
func (n *Notices) post(ctx context.Context, at *location, timeout time.Duration, batch []ledger.Notice,
	sink Sink) bool {
	resp, err := n.client.do(ctx, at, limits{timeout, timeout}, "POST", "/status", encodeNotices(batch), nil)
	n.client.close()
	if err == nil && resp.Status == 204 {
		ids := make([]string, len(batch))
		for i, notice := range batch {
			ids[i] = notice.ID
		}
		sink.NoticesAccepted(ids)
		n.mu.Lock()
		n.inFlight = 0
		n.mu.Unlock()
		return true
	}
	if !errors.Is(err, errAddressChanged) && n.Failed.Add(1) == 1 {
		n.log.Warn("discovery did not accept a notice; further failures are only counted", "err", err)
	}
	n.mu.Lock()
	n.queue, n.inFlight = append(n.queue, batch...), 0
	if err == nil && resp.Status == 400 {
		n.batchSize = 1
	}
	n.mu.Unlock()
	return false
}

// encodeNotices encodes notices as JSON, one on each line.
func encodeNotices(batch []ledger.Notice) []byte {
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

// This file owns the notices that the platform has not accepted yet. It must never drop one, nor let one that
// cannot be read hold up the others for good.

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

// Notices delivers notices to the platform, several at once where they queue up, until each was accepted.
type Notices struct {
	log     *slog.Logger
	where   *Address
	client  client
	mu      sync.Mutex
	queue   []ledger.Notice
	more    chan struct{}
	Failed  atomic.Int64
	batch   int
	sending int
}

// Time limits of a post. The platform answers at once and holds a message without its end for lost 300 ms after its
// time, so a connection that has fallen silent must be given up well within that; a platform that is slow gets longer
// with each time-out.
const (
	firstLimit = 150 * time.Millisecond
	lastLimit  = 2 * time.Second
	maxBatch   = 200
)

// NewNotices returns a queue that has not started.
func NewNotices(where *Address, log *slog.Logger) *Notices {
	return &Notices{log: log, where: where, more: make(chan struct{}, 1), batch: maxBatch}
}

// Tell queues a notice. It does not wait.
func (n *Notices) EnqueueNotice(one ledger.Notice) {
	n.mu.Lock()
	n.queue = append(n.queue, one)
	n.mu.Unlock()
	select {
	case n.more <- struct{}{}:
	default:
	}
}

// Pending is the number of notices not accepted yet.
func (n *Notices) Pending() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.queue) + n.sending
}

// Run delivers until the context ends.
func (n *Notices) Run(ctx context.Context, sink Sink) {
	defer n.client.close()
	pause, limit := firstPause, firstLimit
	for ctx.Err() == nil {
		list := n.cut()
		if len(list) == 0 {
			select {
			case <-ctx.Done():
			case <-n.more:
			}
			continue
		}
		at := n.where.now()
		if n.post(ctx, at, limit, list, sink) {
			pause, limit = firstPause, firstLimit
			continue
		}
		limit = min(2*limit, lastLimit)
		select {
		case <-ctx.Done():
		case <-at.stay.Done(): // at once where discovery is now
			pause = firstPause
			continue
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// cut takes the next batch off the queue.
func (n *Notices) cut() []ledger.Notice {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := min(len(n.queue), n.batch)
	list := append([]ledger.Notice(nil), n.queue[:k]...)
	n.queue = n.queue[:copy(n.queue, n.queue[k:])]
	n.sending = k
	return list
}

// post delivers one batch. One that was not accepted goes back to the end of the queue; where the platform could
// not read it, notices go one by one from then on, so that a bad one does not hold up the others.
func (n *Notices) post(ctx context.Context, at *place, limit time.Duration, list []ledger.Notice, sink Sink) bool {
	resp, err := n.client.do(ctx, at, limits{limit, limit}, "POST", "/status", encode(list), nil)
	if err == nil && resp.Status == 204 {
		ids := make([]string, len(list))
		for i, one := range list {
			ids[i] = one.ID
		}
		sink.NoticesAccepted(ids)
		n.mu.Lock()
		n.sending = 0
		n.mu.Unlock()
		return true
	}
	if !errors.Is(err, errMoved) && n.Failed.Add(1) == 1 {
		n.log.Warn("a notice was not accepted; further failures are only counted", "err", err)
	}
	n.mu.Lock()
	n.queue, n.sending = append(n.queue, list...), 0
	if err == nil && resp.Status == 400 {
		n.batch = 1
	}
	n.mu.Unlock()
	return false
}

// encode gives each notice its line.
func encode(list []ledger.Notice) []byte {
	var body []byte
	for _, one := range list {
		line := struct {
			Ref    string `json:"ref"`
			Result string `json:"result"`
			Wait   int64  `json:"wait_ms,omitempty"`
		}{one.ID, "bounced", one.RetryAfter.Milliseconds()}
		if one.Dead {
			line.Result, line.Wait = "dead", 0
		}
		text, _ := json.Marshal(line) // a struct of strings and a number always encodes
		body = append(append(body, text...), '\n')
	}
	return body
}

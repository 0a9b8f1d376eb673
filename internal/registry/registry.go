// Package registry speaks with the platform: it keeps the list of endpoints up to date by a watch, and delivers the
// notices of messages that ended undelivered (notices.go). It owns the two connections to discovery. It must never
// judge an endpoint or a message, nor drop a notice that was not accepted.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/settings"
)

// Time limits of the calls. Whatever fails before, the platform counts a change as told 6 s after discovery had it and could
// be reached. Until then a watch must have been given up that fell silent as it began, and two calls for the whole list that got
// lost after it; or one that began just before discovery could be reached again, at the longest limit; or a watch whose answer
// began and then dribbles. What is over those sums has the pauses between.
const (
	watchWait  = 1500 * time.Millisecond
	watchGrace = 500 * time.Millisecond // past the wait, until its answer begins
	startBegin = 2 * time.Second        // until the answer to a call for the whole list begins, the connecting included: at the start,
	leastBegin = time.Second            // later at least, or twice what the last one took,
	mostBegin  = 3 * time.Second        // and at most; half as much again after each that did not begin, for a slow agent
	leastRest  = 1500 * time.Millisecond
	mostRest   = 3 * time.Second // for an answer that has begun; twice as long after one that took too long
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	emptyPause = 100 * time.Millisecond // after a watch that ends early with nothing; within 200 ms it still goes on
)

// Sink takes what the registry tells.
type Sink interface {
	List(exchange.Listing)
	ListFailed()
	Noticed(ids []string)
}

// Registry follows the list of endpoints.
type Registry struct {
	names   *settings.Names
	log     *slog.Logger
	where   *Address
	client  client
	seq     int64         // of the list last heard
	heardAt *place        // where that was, nil if the next call is to bring the whole list
	begin   time.Duration // until the answer to a call for the whole list begins
	rest    time.Duration // for an answer that has begun
	nudge   chan struct{}
	heard   chan struct{} // closed at the first list
	Lists   atomic.Int64
	Failed  atomic.Int64
}

// New returns a registry client that has not started.
func New(where *Address, names *settings.Names, log *slog.Logger) *Registry {
	return &Registry{names: names, log: log, where: where, begin: startBegin, rest: leastRest, nudge: make(chan struct{}, 1), heard: make(chan struct{})}
}

// Heard is closed when the first list has come.
func (r *Registry) Heard() <-chan struct{} { return r.heard }

// Watch ends the pause after a failure. It does not wait.
func (r *Registry) Watch() {
	select {
	case r.nudge <- struct{}{}:
	default:
	}
}

// Run follows the list until the context ends. A failure keeps the old list, and asks for the whole of it anew: what a lost
// answer told is not told again to who names the version after it, and the short limit of such a call bounds how long
// a change stays unheard.
func (r *Registry) Run(ctx context.Context, sink Sink) {
	defer r.client.close()
	pause := firstPause
	for ctx.Err() == nil {
		if err := r.ask(ctx, sink); err == nil {
			pause = firstPause
			continue
		} else if ctx.Err() != nil {
			return
		} else if errors.Is(err, errMoved) {
			pause = firstPause
			continue
		} else if r.Failed.Add(1) == 1 {
			r.log.Warn("discovery could not be heard; further failures are only counted", "err", err)
		}
		r.heardAt = nil
		sink.ListFailed()
		r.wait(ctx, pause)
		pause = min(2*pause, maxPause)
	}
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

// ask makes one call: for the whole list at first, after a failure and wherever discovery has moved to, as versions there
// may be counted anew; then for what has changed since.
func (r *Registry) ask(ctx context.Context, sink Sink) error {
	at, target, limit := r.where.now(), "/registry/instances", limits{r.begin, r.rest}
	watching := r.heardAt == at
	if watching {
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, r.seq, watchWait.Milliseconds())
		limit.begin = watchWait + watchGrace + max(0, r.begin-leastBegin)
	}
	begun := time.Now()
	resp, err := r.client.do(ctx, at, limit, "GET", target, nil)
	switch {
	case errors.Is(err, errSlow):
		r.rest = min(2*r.rest, mostRest)
	case !watching && errors.Is(err, os.ErrDeadlineExceeded):
		r.begin = min(r.begin*3/2, mostBegin)
	case !watching && err == nil:
		r.begin = min(max(2*time.Since(begun), leastBegin), mostBegin)
	}
	if err != nil {
		return err
	}
	if resp.Status != 200 {
		return fmt.Errorf("discovery answered %d", resp.Status)
	}
	seq, listing, err := Parse(resp.Body, r.names)
	if err != nil {
		return err
	}
	news := listing.Whole || len(listing.Hosts) > 0
	if watching && !listing.Whole && seq < r.seq { // counted anew: changes since then say nothing of what was before
		r.heardAt = nil
		return nil
	}
	r.seq, r.heardAt = seq, at
	if news {
		sink.List(listing)
	}
	if r.Lists.Add(1) == 1 {
		close(r.heard)
	}
	if watching && !news && time.Since(begun) < watchWait/2 {
		r.wait(ctx, emptyPause) // else a watch that never waits would be asked without end
	}
	return nil
}

// Parse reads a list in discovery's form. One faulty entry makes the whole of it void.
func Parse(text []byte, names *settings.Names) (seq int64, l exchange.Listing, err error) {
	var f struct {
		Seq   *int64 `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts *[]struct {
			Host   string  `json:"host"`
			Dial   string  `json:"dial"`
			Site   string  `json:"site"`
			Class  string  `json:"class"`
			Block  *int    `json:"block"`
			Health string  `json:"health"`
			Share  float64 `json:"share"`
		} `json:"hosts"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return 0, l, fmt.Errorf("bad list: %w", err)
	}
	if f.Seq == nil || f.Hosts == nil {
		return 0, l, fmt.Errorf("bad list: no seq or no hosts")
	}
	l.Whole = f.Whole
	for i, e := range *f.Hosts {
		h := exchange.Host{Peer: exchange.Peer{Name: e.Host, Dial: e.Dial}, Kind: position(names.Kinds, e.Class),
			Zone: position(names.Zones, e.Site), Rate: e.Share}
		switch e.Health {
		case "Ready":
		case "Terminating":
			h.Draining = true
		case "Gone":
			h.Gone = true
		default:
			return 0, l, fmt.Errorf("bad list: entry %d: unknown health %q", i, e.Health)
		}
		if h.Name == "" || !h.Gone && (e.Block == nil || !validAddr(h.Dial)) {
			return 0, l, fmt.Errorf("bad list: entry %d lacks a name, a block or an address", i)
		}
		if e.Block != nil {
			h.Dest = *e.Block
		}
		l.Hosts = append(l.Hosts, h)
	}
	return *f.Seq, l, nil
}

// position is where a name stands in the settings, past the end if it does not.
func position(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}

func validAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, bad := strconv.Atoi(port)
	return err == nil && net.ParseIP(host) != nil && bad == nil && n > 0 && n < 1<<16
}

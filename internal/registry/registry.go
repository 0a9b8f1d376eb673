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
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/settings"
)

// Time limits of the watch. The platform counts a change as told 2 s after a call's wait has ended at the latest,
// so a call waits briefly and is given up then.
const (
	watchWait  = 4 * time.Second
	watchGrace = time.Second // past the wait; a lost call must be asked again before a change counts as told
	listLimit  = 2 * time.Second
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
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
	seq     int64  // of the list last heard
	heardAt *place // where that was
	nudge   chan struct{}
	heard   chan struct{} // closed at the first list
	Lists   atomic.Int64
	Failed  atomic.Int64
}

// New returns a registry client that has not started.
func New(where *Address, names *settings.Names, log *slog.Logger) *Registry {
	return &Registry{names: names, log: log, where: where, nudge: make(chan struct{}, 1), heard: make(chan struct{})}
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

// Run follows the list until the context ends. A failure keeps the old list.
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
		sink.ListFailed()
		select {
		case <-ctx.Done():
		case <-r.nudge:
		case <-r.where.now().stay.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

// ask makes one call: for the whole list at first and wherever discovery has moved to, as versions there may be
// counted anew; then for what has changed since.
func (r *Registry) ask(ctx context.Context, sink Sink) error {
	at, target, limit := r.where.now(), "/registry/instances", listLimit
	if r.heardAt == at {
		target = fmt.Sprintf("%s?after=%d&wait_ms=%d", target, r.seq, watchWait.Milliseconds())
		limit = watchWait + watchGrace
	}
	resp, err := r.client.do(ctx, at, limit, "GET", target, nil)
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
	r.seq, r.heardAt = seq, at
	if listing.Whole || len(listing.Hosts) > 0 {
		sink.List(listing)
	}
	if r.Lists.Add(1) == 1 {
		close(r.heard)
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

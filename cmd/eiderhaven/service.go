// This file owns the phases of the process, and which parts run in each. It must never stop a part before those that
// still give it work.

package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/intake"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/outbound"
	"eiderhaven/internal/registry"
	"eiderhaven/internal/snapshot"
	"eiderhaven/rules"
)

// phase is the stage of a service between its start and its exit.
type phase int32

// The phases, in order.
const (
	starting   phase = iota // builds the parts and reads the ledger; not logged, as it may end in a one-line error
	recovering              // gives the decision module what an earlier process left unfinished
	ready                   // serves clients
	draining                // signalled to stop: still serves clients and delivers the held messages
	stopped                 // nothing runs; unfinished messages stay in the ledger
)

func (p phase) String() string {
	return [...]string{"starting", "recovering", "ready", "draining", "stopped"}[p]
}

// Time limits of the phases. The platform kills a sender 3.7 s after it was signalled to stop.
const (
	firstListWait = 400 * time.Millisecond  // after this the initial list has to do
	drainTime     = 3 * time.Second         // how long clients are served after the signal
	minDrainTime  = 600 * time.Millisecond  // draining lasts at least this long, as new clients still come
	drainPoll     = 50 * time.Millisecond   // how often draining checks whether anything is left
	exitDeadline  = 3600 * time.Millisecond // from the signal to the exit, whatever is still waited for
	closeTimeout  = 400 * time.Millisecond  // for the last requests and for clients to read their answers
	noticeTimeout = 150 * time.Millisecond  // for the last notices
	noticePoll    = 5 * time.Millisecond    // how often the end of the notices is checked
)

// Time limits for clients.
const (
	requestTimeout = 2 * time.Second  // for one request; for the first, from the start of the connection
	idleTimeout    = 20 * time.Second // between two requests
)

// service is the sender as a whole.
type service struct {
	cfg          *config
	log          *slog.Logger
	phase        atomic.Int32
	ledger       *ledger.Ledger
	exchange     *exchange.Exchange
	pool         *outbound.Pool
	intake       *intake.Server
	discovery    *registry.Address
	registry     *registry.Registry
	notices      *registry.Notices
	listStore    *snapshot.Store
	previousList exchange.Listing // of an earlier process, if it is resumed
	listener     net.Listener
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// platformAdapter joins both clients of discovery to an [exchange.Platform].
type platformAdapter struct {
	*registry.Notices
	watch func()
}

func (p platformAdapter) Watch() { p.watch() }

// newService builds the parts and reads the ledger.
func newService(cfg *config, log *slog.Logger) (*service, error) {
	s := &service{cfg: cfg, log: log}
	for _, setting := range cfg.unsupported {
		log.Warn("a setting has no effect", "which", setting)
	}
	led, err := ledger.Open(cfg.state, cfg.disk, exchange.IDRetention(cfg.settings.Classes), log)
	if err != nil {
		return nil, err
	}
	s.ledger = led
	s.discovery = registry.NewAddress(cfg.discovery)
	s.registry = registry.New(s.discovery, cfg.names, log)
	s.registry.MaxListBytes = cfg.maxListBytes()
	s.notices = registry.NewNotices(s.discovery, log)
	s.notices.MaxRequests = noticeRequests(cfg.sockets)
	known := s.initialList()
	clientConns, callConns := splitSockets(cfg.sockets, cfg.settings.Slots)
	s.pool = outbound.New(outbound.Config{
		ConnectTimeout: cfg.settings.ConnectTimeout,
		KeepAlive:      cfg.settings.KeepAlive,
		MaxConns:       callConns,
		Finish:         func(c *exchange.Call, r exchange.Result) { s.exchange.Finish(c, r) },
		WatchFirst:     cfg.settings.Senders <= rules.SmallFleet,
		Confirm: func(c *exchange.Call, confirmed bool, retryAfter time.Duration) {
			s.exchange.Confirm(c, confirmed, retryAfter)
		},
		Log: log,
	})
	s.exchange = exchange.New(exchange.Config{
		Settings:       cfg.settings,
		Classes:        cfg.names.Classes,
		Tenants:        cfg.names.Tenants,
		InitialListing: known,
		Ledger:         led,
		Caller:         s.pool,
		Platform:       platformAdapter{s.notices, s.registry.RetryNow},
		Log:            log,
	})
	cfg.known = exchange.Listing{} // the exchange holds it from here on, and releases it as soon as it can
	s.intake = intake.New(intake.Config{
		Exchange:       s.exchange,
		Ready:          s.isReady,
		Classes:        cfg.names.Classes,
		MaxConns:       clientConns,
		RequestTimeout: requestTimeout,
		IdleTimeout:    idleTimeout,
		Log:            log,
	})
	return s, nil
}

// initialList returns the list that the decision module starts with, in force until discovery has answered. It is the
// list in the configuration, or the one that an earlier process left in the state directory if that is not older and
// came from the present address of discovery. In the second case, destinations that only the configuration names are
// listed first, so that they are known, and the whole list of the earlier process, in previousList, replaces that.
func (s *service) initialList() exchange.Listing {
	reserve := func(bytes int64) bool { return s.exchange.ReserveListSpace(bytes) }
	store, previous := snapshot.Open(s.cfg.state, s.cfg.names.Kinds, s.cfg.names.Zones, reserve, s.log)
	s.listStore, s.registry.ListStore = store, store
	if previous == nil || previous.DiscoveryAddress != s.cfg.discovery || previous.Seq < s.cfg.knownSeq {
		return s.cfg.known
	}
	list := exchange.Listing{Whole: true, Hosts: previous.Hosts}
	if !s.registry.Fits(list) {
		return s.cfg.known
	}
	s.registry.Resume(previous.Seq, previous.PrevSeq, previous.LastChange)
	s.log.Info("resuming from the endpoint list of an earlier process",
		"endpoints", len(list.Hosts), "version", previous.Seq)
	listed := map[int]bool{}
	for _, h := range list.Hosts {
		listed[h.Dest] = true
	}
	first := exchange.Listing{Whole: true}
	for _, h := range s.cfg.known.Hosts {
		if !listed[h.Dest] {
			first.Hosts = append(first.Hosts, h)
		}
	}
	s.previousList = list
	return first
}

const (
	// fixedDescriptors is how many file descriptors a sender opens apart from connections to clients and endpoints and
	// those for notices: 3 standard streams, 2 of the runtime's poller, the listener, an accepted connection that waits
	// to be served, 2 ledger segments while one replaces the other, the connection for the list, and the file of the
	// endpoint list while it is written.
	fixedDescriptors = 11

	minNoticeRequests       = 2  // one may hang
	socketsPerNoticeRequest = 64 // beyond the least number: a sixty-fourth of the descriptors
)

// noticeRequests returns how many requests for notices, each with a connection, may be under way at once.
func noticeRequests(sockets int) int {
	return max(minNoticeRequests, min(sockets/socketsPerNoticeRequest, registry.DefaultNoticeRequests))
}

// reservedDescriptors returns how many descriptors clients and calls never get.
func reservedDescriptors(sockets int) int { return fixedDescriptors + noticeRequests(sockets) }

// splitSockets divides the descriptors that are not reserved. Half of them are for clients. A third is for calls to
// endpoints, or as many as slots allow if that is more, as far as the other half has them. So connections of clients,
// busy or idle, never use up what discovery, notices and the ledger need.
func splitSockets(sockets, slots int) (clientConns, callConns int) {
	rest := sockets - reservedDescriptors(sockets)
	clientConns = rest / 2
	callConns = max(rest/3, min(slots, rest-clientConns))
	return clientConns, callConns
}

func (s *service) enterPhase(p phase) {
	s.phase.Store(int32(p))
	s.log.Info("phase", "is", p)
}

func (s *service) isReady() bool {
	p := phase(s.phase.Load())
	return p == ready || p == draining
}

// run takes the service through its phases.
func (s *service) run(signals, hangups <-chan os.Signal) error {
	s.enterPhase(recovering)
	if err := s.recover(hangups); err != nil {
		return err
	}
	s.enterPhase(ready)
	s.awaitStopSignal(signals)
	ctx, cancel := context.WithTimeout(context.Background(), exitDeadline)
	defer cancel()
	s.enterPhase(draining)
	s.drain(signals)
	err := s.stop(ctx)
	s.enterPhase(stopped)
	s.logCounters()
	return err
}

// recover starts the parts and gives the decision module the unfinished messages. It waits for the first list, but not
// for long: calls to endpoints that have left the list meanwhile fail, but a sender that starts late fails everything.
func (s *service) recover(hangups <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.previousList.Whole { // before the first update from discovery
		s.exchange.ApplyListing(s.previousList)
		s.previousList = exchange.Listing{}
	}
	s.wg.Go(func() { s.reloadOnHangup(ctx, hangups) })
	s.wg.Go(func() { s.registry.Run(ctx, s.exchange) })
	s.exchange.RecoverNotices() // they need the ledger alone, so they do not wait for the list
	s.wg.Go(func() { s.notices.Run(ctx, s.exchange) })
	s.wg.Go(func() { s.listStore.Run(ctx) })
	select {
	case <-s.registry.FirstList():
	case <-time.After(firstListWait):
	}
	s.exchange.Recover()
	debug.FreeOSMemory() // reading a long list takes many times the memory that the list needs afterwards
	go s.exchange.Run()
	ln, err := net.Listen("tcp", s.cfg.listen)
	if err != nil {
		return fmt.Errorf("cannot listen for clients: %w", err)
	}
	s.listener = ln
	s.wg.Go(func() { s.intake.Serve(ln) })
	return nil
}

// reloadOnHangup reloads the configuration on each SIGHUP, in any phase, until the context ends.
func (s *service) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			s.reload()
		}
	}
}

// reload applies the address of discovery in the configuration file; everything else in it applies from the next start.
// An invalid file changes nothing.
func (s *service) reload() {
	next, err := reloadConfig(os.Getenv)
	if err != nil {
		s.log.Error("the new configuration cannot be used; the old one stays", "err", err)
		return
	}
	s.log.Info("configuration reloaded", "discovery", next.discovery, "moved", s.discovery.Move(next.discovery))
}

// awaitStopSignal logs the counters on each SIGUSR1 and returns on any other signal: the service is to stop.
func (s *service) awaitStopSignal(signals <-chan os.Signal) {
	for sig := range signals {
		if sig != syscall.SIGUSR1 {
			return
		}
		s.logCounters()
	}
}

// drain continues serving until drainTime is over, or no client is connected and nothing is unfinished.
func (s *service) drain(signals <-chan os.Signal) {
	begun := time.Now()
	s.exchange.AnnounceShutdown(drainTime)
	end := time.NewTimer(drainTime)
	defer end.Stop()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for {
		select {
		case <-end.C:
			return
		case sig := <-signals:
			if sig == syscall.SIGUSR1 {
				s.logCounters()
			}
		case <-poll.C:
			if time.Since(begun) > minDrainTime && s.intake.OpenConns() == 0 && s.exchange.Counts().Held == 0 &&
				s.notices.Pending() == 0 {
				return
			}
		}
	}
}

// stop ends the parts, beginning with those that accept work, each within its share of the time that the context
// leaves. Unfinished messages stay in the ledger.
func (s *service) stop(ctx context.Context) error {
	s.listener.Close()
	closing, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	s.intake.Close(closing)
	notices, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	for s.notices.Pending() > 0 && notices.Err() == nil {
		time.Sleep(noticePoll)
	}
	s.cancel()
	s.wg.Wait()
	s.exchange.Stop()
	return s.ledger.Close()
}

// logCounters logs the counters of all parts.
func (s *service) logCounters() {
	in := &s.intake.Counts
	s.log.Info("counters", "exchange", s.exchange.Counts(), "lifecycle", s.exchange.Lifecycles(), "connections", &s.pool.Counts,
		slog.Group("intake", "requests", in.Requests.Load(), "health", in.HealthChecks.Load(),
			"submitted", in.Submitted.Load(), "rejected", in.Rejected.Load(), "gone", in.ClientsGone.Load()),
		slog.Group("discovery", "lists", s.registry.Lists.Load(), "failed", s.registry.Failed.Load(), "unasked", s.registry.Unasked.Load(),
			"list_bytes_written", s.listStore.BytesWritten.Load(), "lists_unwritten", s.listStore.Unwritten.Load(),
			"notices_pending", s.notices.Pending(), "notices_failed", s.notices.Failed.Load(),
			"notices_abandoned", s.notices.Abandoned.Load(), "notices_late", s.notices.Late.Load()),
		slog.Group("ledger", "broken", s.ledger.Stats().BrokenRecords),
		slog.Group("process", append([]any{"goroutines", runtime.NumGoroutine()}, heapMetrics()...)...))
}

// heapMetrics returns the log attributes heap, the bytes in heap objects including garbage, and heap_live, the bytes of
// those that the latest collection found in use.
func heapMetrics() []any {
	s := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/live:bytes"}}
	metrics.Read(s)
	return []any{"heap", s[0].Value.Uint64(), "heap_live", s[1].Value.Uint64()}
}

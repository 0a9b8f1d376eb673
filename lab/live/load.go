// This file owns the clients' side: an open-loop schedule on sockets. A late response must never delay a later request,
// and a request's latency counts from its planned time, so that a stalled sender cannot hide its delays (coordinated
// omission).

package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/client"
	"eiderhaven/lab/clock"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/trouble"
)

// LoadOptions configure a load beside its scenario.
type LoadOptions struct {
	Targets       []string // addresses of senders; sender i of the scenario is target i modulo their number
	Seed          uint64
	IDPrefix      string        // of message IDs, to tell loads apart; empty: taken from the current time
	BodyBytes     int           // size of a message's body
	MaxConns      int           // connections to one target; 0: 256
	AnswerTimeout time.Duration // from a request's planned time; 0: 400 ms, as the platform's clients wait
	Log           func(string)
	OnRequestEnd  func(RequestRecord) // called once for each finished request, concurrently; may be nil
}

// RequestRecord is one request and its result.
type RequestRecord struct {
	Sender   int
	ID       string
	Class    int
	Dest     int
	Deadline time.Time // of the message
	Begun    time.Time
	Over     time.Time
	Status   int  // 0: no response
	TimedOut bool // the client stopped waiting
	Written  bool // the whole request was written
}

// LoadWindow holds the requests that were due in one second of a load.
type LoadWindow struct {
	Planned  int     `json:"planned"`
	Accepted int     `json:"taken"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`  // any other response
	NoAnswer int     `json:"unheard"` // no response in time, or a broken connection
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// LoadResult holds the totals of a load. Latencies count from the planned time to the response, over all requests that
// got one, in milliseconds.
type LoadResult struct {
	Seconds           float64        `json:"seconds"`
	FirstTries        int            `json:"first_tries"`
	LaterTries        int            `json:"later_tries"`
	Accepted          int            `json:"taken"`
	Refused           int            `json:"refused"`
	Failed            int            `json:"failed"`
	NoAnswer          int            `json:"unheard"`
	ByStatus          map[string]int `json:"by_status"`
	ConnectionsOpened int            `json:"connections_opened"`
	P50               float64        `json:"p50_ms"`
	P90               float64        `json:"p90_ms"`
	P99               float64        `json:"p99_ms"`
	P999              float64        `json:"p999_ms"`
	Max               float64        `json:"max_ms"`
	StartDelayP99     float64        `json:"start_p99_ms"` // from planned to started: caused by this program, in ms
	Series            []LoadWindow   `json:"series"`
	AcceptedIDs       []string       `json:"-"` // of messages
}

const (
	defaultMaxConns      = 256
	defaultAnswerTimeout = 400 * time.Millisecond
	answerGrace          = 2 * time.Second // for responses after the last request
	maxRetryAfterSeconds = 3600
	maxResponseBody      = 64 << 10 // bytes
	stopEventActor       = 1000     // above the actor number of troubles, so that the stop comes after them

	// Histograms: the largest latency, and the significant digits kept for a whole load and for one second of it.
	maxLatencyMicros    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits       = 3
	windowLatencyDigits = 2
)

// Load submits a scenario's messages.
type Load struct {
	scenario *scenario.Scenario
	opts     LoadOptions
	loop     *Loop
	clients  *client.LoadGenerator
	targets  []*target
	wg       sync.WaitGroup

	mu              sync.Mutex
	result          LoadResult
	latency         *hdrhistogram.Histogram
	startDelay      *hdrhistogram.Histogram
	latencyBySecond []*hdrhistogram.Histogram
}

// target is a sender with the connections to it.
type target struct {
	addr      string
	idle      chan net.Conn
	connSlots chan struct{} // a semaphore: one element for each open connection
}

// NewLoad prepares a load.
func NewLoad(s *scenario.Scenario, o LoadOptions) (*Load, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("a load needs the address of at least one sender")
	}
	if o.MaxConns <= 0 {
		o.MaxConns = defaultMaxConns
	}
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = defaultAnswerTimeout
	}
	if o.IDPrefix == "" {
		o.IDPrefix = strconv.FormatInt(time.Now().UnixMilli()%1e9, 36)
	}
	l := &Load{
		scenario:   s,
		opts:       o,
		loop:       NewLoop(),
		latency:    hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		startDelay: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
	}
	l.result.ByStatus = map[string]int{}
	for _, addr := range o.Targets {
		if err := checkLoopback(addr); err != nil {
			return nil, err
		}
		l.targets = append(l.targets, &target{
			addr:      addr,
			idle:      make(chan net.Conn, o.MaxConns),
			connSlots: make(chan struct{}, o.MaxConns),
		})
	}
	l.clients = client.New(s, o.Seed, &l.loop.Queue, (*submitter)(l), (*tryCounter)(l))
	env := &trouble.Environment{
		Scenario: withClientTroubles(s),
		Queue:    &l.loop.Queue,
		Clients:  l.clients,
		Weights:  s.DestinationWeights(),
		Units:    placeholderUnits(s),
		Log: func(format string, args ...any) {
			if o.Log != nil {
				o.Log(fmt.Sprintf("%8.3fs ", l.loop.Queue.Now().Seconds()) + fmt.Sprintf(format, args...))
			}
		},
	}
	env.Schedule(o.Seed)
	return l, nil
}

// checkLoopback refuses a target on another machine: an open-loop load does not slow down when a server is overloaded.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("target %q: expected ADDRESS:PORT: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("target %q: expected a loopback address such as 127.0.0.1:9000", addr)
	}
	return nil
}

// withClientTroubles returns the scenario with only the troubles that clients play.
func withClientTroubles(s *scenario.Scenario) *scenario.Scenario {
	out := *s
	out.Troubles = nil
	for _, t := range s.Troubles {
		if !playedByReceivers(t) && t.Kind != "restart" {
			out.Troubles = append(out.Troubles, t)
		}
	}
	return &out
}

// placeholderUnits returns a unit with one endpoint for each destination. Troubles of clients choose destinations among
// units; nothing is sent to these.
func placeholderUnits(s *scenario.Scenario) func() []*receiver.Unit {
	var units []*receiver.Unit
	dest := 0
	for k, kind := range s.Kinds {
		for range kind.Destinations {
			u := receiver.NewUnit(dest, dest, k, &receiver.Spec{}, nil, nil)
			u.Endpoints = []*receiver.Endpoint{{Unit: u, Number: dest}}
			units = append(units, u)
			dest++
		}
	}
	return func() []*receiver.Unit { return units }
}

// Run submits all messages, waits for the responses and returns the totals.
func (l *Load) Run(ctx context.Context) *LoadResult {
	length := l.scenario.Run.Length.D()
	ctx, stop := context.WithTimeout(ctx, length+answerGrace)
	defer stop()
	started := time.Now()
	l.loop.Queue.NewScheduler(clock.Trouble, stopEventActor).At(length+answerGrace/2, stop)
	l.clients.Start()
	l.loop.Run(ctx)
	l.wg.Wait()
	for _, t := range l.targets {
		t.closeIdle()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Seconds = min(time.Since(started), length).Seconds()
	l.result.P50 = quantileMillis(l.latency, 50)
	l.result.P90 = quantileMillis(l.latency, 90)
	l.result.P99 = quantileMillis(l.latency, 99)
	l.result.P999 = quantileMillis(l.latency, 99.9)
	l.result.Max = millis(l.latency.Max())
	l.result.StartDelayP99 = quantileMillis(l.startDelay, 99)
	for i, h := range l.latencyBySecond {
		l.result.Series[i].P50 = quantileMillis(h, 50)
		l.result.Series[i].P99 = quantileMillis(h, 99)
	}
	return &l.result
}

func quantileMillis(h *hdrhistogram.Histogram, percent float64) float64 {
	return millis(h.ValueAtQuantile(percent))
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

func (t *target) closeIdle() {
	for {
		select {
		case nc := <-t.idle:
			nc.Close()
		default:
			return
		}
	}
}

// submitter implements client.Senders: the senders as the model's clients see them.
type submitter Load

// Submit starts a request for the message. Its result is reported to the clients later.
func (s *submitter) Submit(sender int, m *model.Message) (accepted, up bool) {
	l := (*Load)(s)
	planned := l.loop.RealTime(l.loop.Queue.Now())
	l.mu.Lock()
	l.windowAt(l.loop.Queue.Now()).Planned++
	l.mu.Unlock()
	l.wg.Go(func() { l.runRequest(sender, m, planned) })
	return true, true
}

func (s *submitter) FindLive(sender int) (int, bool) { return sender, true }

// tryCounter implements client.Recorder: it counts first and later tries.
type tryCounter Load

func (c *tryCounter) MessageSubmitted(time.Duration, *model.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.FirstTries++
}

func (c *tryCounter) MessageTurnedAway(time.Duration, *model.Message) {}

func (c *tryCounter) MessageResubmitted(time.Duration, *model.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.LaterTries++
}

// windowAt returns the window of a model time. The caller holds the lock.
func (l *Load) windowAt(at time.Duration) *LoadWindow {
	i := int(at / time.Second)
	for len(l.result.Series) <= i {
		l.result.Series = append(l.result.Series, LoadWindow{})
		l.latencyBySecond = append(l.latencyBySecond, hdrhistogram.New(1, maxLatencyMicros, windowLatencyDigits))
	}
	return &l.result.Series[i]
}

// runRequest makes one request and records its result.
func (l *Load) runRequest(sender int, m *model.Message, planned time.Time) {
	t := l.targets[sender%len(l.targets)]
	id := fmt.Sprintf("%s-c%d-%s", l.opts.IDPrefix, m.Class, m.ID)
	resp, begun, err := l.request(t, id, m, planned)
	latency := time.Since(planned)
	at := planned.Sub(l.loop.RealTime(0))
	l.reportRequest(sender, id, m, resp, begun, err)
	l.mu.Lock()
	w := l.windowAt(at)
	_ = l.startDelay.RecordValue(clampedMicros(begun.Sub(planned)))
	retryAfter, refused := time.Duration(0), false
	switch {
	case err != nil:
		l.result.NoAnswer++
		w.NoAnswer++
		l.result.ByStatus["none"]++
	default:
		l.result.ByStatus[strconv.Itoa(resp.Status)]++
		_ = l.latency.RecordValue(clampedMicros(latency)) // cannot fail: within the histogram's range
		_ = l.latencyBySecond[int(at/time.Second)].RecordValue(clampedMicros(latency))
		switch resp.Status {
		case http.StatusOK, http.StatusAccepted:
			l.result.Accepted++
			w.Accepted++
			l.result.AcceptedIDs = append(l.result.AcceptedIDs, id)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			l.result.Refused++
			w.Refused++
			refused = true
			retryAfter = parseRetryAfter(resp.Header)
		default:
			l.result.Failed++
			w.Failed++
		}
	}
	l.mu.Unlock()
	if refused {
		l.loop.Do(func() { l.clients.MessageEnded(sender, m, model.Refused, retryAfter) })
	}
}

// reportRequest passes a finished request to OnRequestEnd.
func (l *Load) reportRequest(sender int, id string, m *model.Message, resp *http1.Response,
	begun time.Time, err error) {
	if l.opts.OnRequestEnd == nil {
		return
	}
	record := RequestRecord{
		Sender:   sender % len(l.targets),
		ID:       id,
		Class:    m.Class,
		Dest:     m.Dest,
		Deadline: l.loop.RealTime(m.Deadline),
		Begun:    begun,
		Over:     time.Now(),
	}
	if err == nil {
		record.Status = resp.Status
	}
	var failure *exchangeError
	if errors.As(err, &failure) {
		record.Written = failure.written
	}
	record.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	l.opts.OnRequestEnd(record)
}

// exchangeError is the failure of a request that got no response.
type exchangeError struct {
	err     error
	written bool // the whole request was written
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

// clampedMicros returns a duration in microseconds, within the range of the histograms.
func clampedMicros(d time.Duration) int64 { return min(max(d.Microseconds(), 1), maxLatencyMicros) }

// parseRetryAfter returns the wait in a Retry-After field, 0 if there is none.
func parseRetryAfter(h http1.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second))
}

// request makes one request on an idle connection or else on a new one. It returns when the request was begun.
func (l *Load) request(t *target, id string, m *model.Message, planned time.Time) (
	resp *http1.Response, begun time.Time, err error) {
	deadline := planned.Add(l.opts.AnswerTimeout)
	var nc net.Conn
	select {
	case nc = <-t.idle:
		resp, begun, err = l.requestOn(nc, t, id, m, deadline)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return resp, begun, err
		}
		// The sender may have closed the idle connection while the request was on its way. As the protocol says, the
		// request is sent once more on another connection.
	default:
	}
	return l.requestOnNewConn(t, id, m, deadline)
}

// requestOnNewConn makes a request on a new connection. At the limit of connections it waits for a slot or for the
// first connection that becomes idle.
func (l *Load) requestOnNewConn(t *target, id string, m *model.Message, deadline time.Time) (
	*http1.Response, time.Time, error) {
	select {
	case t.connSlots <- struct{}{}:
	default:
		select {
		case t.connSlots <- struct{}{}:
		case nc := <-t.idle:
			return l.requestOn(nc, t, id, m, deadline)
		case <-time.After(time.Until(deadline)):
			return nil, time.Now(), errors.New("every connection is busy")
		}
	}
	l.mu.Lock()
	l.result.ConnectionsOpened++
	l.mu.Unlock()
	nc, err := net.DialTimeout("tcp", t.addr, max(time.Until(deadline), time.Millisecond))
	if err != nil {
		<-t.connSlots
		return nil, time.Now(), err
	}
	return l.requestOn(nc, t, id, m, deadline)
}

// requestOn makes a request on a connection, and keeps the connection for later requests if it can be reused.
func (l *Load) requestOn(nc net.Conn, t *target, id string, m *model.Message, deadline time.Time) (
	resp *http1.Response, begun time.Time, err error) {
	begun = time.Now()
	resp, err = l.roundTrip(nc, t, id, m, deadline)
	if err != nil || resp.Close {
		nc.Close()
		<-t.connSlots
		return resp, begun, err
	}
	t.idle <- nc
	return resp, begun, nil
}

func (l *Load) roundTrip(nc net.Conn, t *target, id string, m *model.Message, deadline time.Time) (
	*http1.Response, error) {
	if err := nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	class := &l.scenario.Classes[m.Class]
	left := (m.Deadline - l.loop.Elapsed()).Milliseconds()
	fields := http1.Header{
		{Name: "Host", Value: t.addr},
		{Name: "Req-Id", Value: id},
		{Name: "Req-Kind", Value: class.Name},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(max(left, 1), 10)},
		{Name: "Envelope", Value: "dest=" + strconv.Itoa(m.Dest)},
	}
	if class.Effect == "keyed" {
		key := l.opts.IDPrefix + "-" + strconv.Itoa(m.FirstTry)
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: key})
	}
	body := make([]byte, l.opts.BodyBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	if _, err := nc.Write(http1.AppendRequest(nil, "POST", "/"+class.Name, fields, body)); err != nil {
		return nil, &exchangeError{err: err}
	}
	resp, err := http1.ReadResponse(bufio.NewReader(nc), maxResponseBody)
	if err != nil {
		return nil, &exchangeError{err: err, written: true}
	}
	return resp, nil
}

// parseMessageID reads what Load encodes in a message's ID (runRequest): a hash that is the same for all tries of one
// message, and its class. It returns zeros for IDs of another form.
func parseMessageID(id string) (firstTry, class int) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 {
		return 0, 0
	}
	class, _ = strconv.Atoi(strings.TrimPrefix(parts[1], "c")) // 0 if another program made the ID
	number, _, _ := strings.Cut(parts[2], ".")
	h := fnv.New32a()
	h.Write([]byte(parts[0] + number)) // hash.Hash never returns an error
	return int(h.Sum32()), class
}

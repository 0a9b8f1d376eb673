// This file owns the clients' side: an open-loop schedule on sockets. A late answer delays no later request, and a request's
// time counts from when it was planned, so that a sender that stalls cannot hide it.

package live

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/client"
	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
	"eiderhaven/lab/scenario"
	"eiderhaven/lab/trouble"
)

// LoadOptions are what a load is given beside its scenario.
type LoadOptions struct {
	Targets       []string // addresses of senders; sender i of the scenario is target i modulo their number
	Seed          uint64
	IDPrefix      string        // part of the messages' names, so that two loads do not share any
	BodyBytes     int           // bytes of a message
	MaxConns      int           // connections to one target at most; 0: 256
	AnswerTimeout time.Duration // for an answer; 0: 400 ms, as the platform's clients wait
	Log           func(string)
	OnRequestEnd  func(RequestRecord) // told of each request once it is over; may be called by several at once
}

// Handed is one request and what came of it.
type RequestRecord struct {
	Sender   int
	ID       string
	Class    int
	Deadline time.Time // of the message
	Begun    time.Time
	Over     time.Time
	Status   int  // 0: no answer
	TimedOut bool // the client stopped waiting
	Written  bool // the whole request was written
}

// LoadWindow is a second of a load.
type LoadWindow struct {
	Planned  int     `json:"planned"` // requests that fell due
	Accepted int     `json:"taken"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`  // any other answer
	NoAnswer int     `json:"unheard"` // none in time, or a broken connection
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// LoadResult is what came of a load.
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
	P50               float64        `json:"p50_ms"` // from the planned time to the answer, of all that were answered
	P90               float64        `json:"p90_ms"`
	P99               float64        `json:"p99_ms"`
	P999              float64        `json:"p999_ms"`
	Max               float64        `json:"max_ms"`
	StartDelayP99     float64        `json:"start_p99_ms"` // how late requests were begun: this program's own doing
	Series            []LoadWindow   `json:"series"`
	AcceptedIDs       []string       `json:"-"` // names of what was taken
}

const (
	defaultConns  = 256
	defaultAnswer = 400 * time.Millisecond
	longestMicros = int64(10 * time.Minute / time.Microsecond)
	lingerAfter   = 2 * time.Second // for answers after the last request
)

// Load hands a scenario's messages in.
type Load struct {
	s       *scenario.Scenario
	o       LoadOptions
	loop    *Loop
	crowd   *client.LoadGenerator
	targets []*target
	wg      sync.WaitGroup

	mu     sync.Mutex
	r      LoadResult
	all    *hdrhistogram.Histogram
	late   *hdrhistogram.Histogram
	second []*hdrhistogram.Histogram
}

// target is a sender: its idle connections, and leave for more.
type target struct {
	addr string
	idle chan net.Conn
	room chan struct{}
}

// NewLoad prepares a load.
func NewLoad(s *scenario.Scenario, o LoadOptions) (*Load, error) {
	if len(o.Targets) == 0 {
		return nil, errors.New("a load needs the address of a sender at least")
	}
	if o.MaxConns <= 0 {
		o.MaxConns = defaultConns
	}
	if o.AnswerTimeout <= 0 {
		o.AnswerTimeout = defaultAnswer
	}
	if o.IDPrefix == "" {
		o.IDPrefix = strconv.FormatInt(time.Now().UnixMilli()%1e9, 36)
	}
	l := &Load{s: s, o: o, loop: NewLoop(), all: hdrhistogram.New(1, longestMicros, 3), late: hdrhistogram.New(1, longestMicros, 3)}
	l.r.ByStatus = map[string]int{}
	for _, addr := range o.Targets {
		if err := loopback(addr); err != nil {
			return nil, err
		}
		l.targets = append(l.targets, &target{addr: addr, idle: make(chan net.Conn, o.MaxConns), room: make(chan struct{}, o.MaxConns)})
	}
	l.crowd = client.New(s, o.Seed, &l.loop.Queue, (*door)(l), (*books)(l))
	st := &trouble.Environment{Scenario: playableByClients(s), Queue: &l.loop.Queue, Clients: l.crowd, Weights: s.DestinationWeights(),
		Units: unitsOf(s), Log: func(format string, args ...any) {
			if o.Log != nil {
				o.Log(fmt.Sprintf("%8.3fs ", l.loop.Queue.Now().Seconds()) + fmt.Sprintf(format, args...))
			}
		}}
	st.Schedule(o.Seed)
	return l, nil
}

// loopback refuses a target that is not on this machine: an open-loop load is no guest elsewhere.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("target %q: expected ADDRESS:PORT: %w", addr, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("target %q: expected a loopback address such as 127.0.0.1:9000", addr)
	}
	return nil
}

// playableByClients keeps the troubles that clients play.
func playableByClients(s *scenario.Scenario) *scenario.Scenario {
	out := *s
	out.Troubles = nil
	for _, t := range s.Troubles {
		if !onReceivers(t) && t.Kind != "restart" {
			out.Troubles = append(out.Troubles, t)
		}
	}
	return &out
}

// unitsOf lists destinations as troubles choose among them; nothing is behind these.
func unitsOf(s *scenario.Scenario) func() []*receiver.Unit {
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

// Run hands everything in, waits for the answers, and reckons up.
func (l *Load) Run(ctx context.Context) *LoadResult {
	length := l.s.Run.Length.D()
	ctx, stop := context.WithTimeout(ctx, length+lingerAfter)
	defer stop()
	began := time.Now()
	l.loop.Queue.NewScheduler(0, 1000).At(length+lingerAfter/2, stop)
	l.crowd.Start()
	l.loop.Run(ctx)
	l.wg.Wait()
	for _, t := range l.targets {
		t.close()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.r.Seconds = min(time.Since(began), length).Seconds()
	q := func(p float64) float64 { return float64(l.all.ValueAtQuantile(p)) / 1000 }
	l.r.P50, l.r.P90, l.r.P99, l.r.P999, l.r.Max = q(50), q(90), q(99), q(99.9), float64(l.all.Max())/1000
	l.r.StartDelayP99 = float64(l.late.ValueAtQuantile(99)) / 1000
	for i, h := range l.second {
		l.r.Series[i].P50, l.r.Series[i].P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	}
	return &l.r
}

func (t *target) close() {
	for {
		select {
		case nc := <-t.idle:
			nc.Close()
		default:
			return
		}
	}
}

// door is the senders as the model's clients see them.
type door Load

// Hand sends a message on its way; how it ends is told later.
func (d *door) Submit(n int, m *model.Message) (taken, up bool) {
	l := (*Load)(d)
	planned := l.loop.RealTime(l.loop.Queue.Now())
	l.mu.Lock()
	l.window(l.loop.Queue.Now()).Planned++
	l.mu.Unlock()
	l.wg.Go(func() { l.hand(n, m, planned) })
	return true, true
}

func (d *door) FindLive(n int) (int, bool) { return n, true }

// books counts first and later tries.
type books Load

func (b *books) MessageSubmitted(time.Duration, *model.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.r.FirstTries++
}

func (b *books) MessageTurnedAway(time.Duration, *model.Message) {}

func (b *books) MessageResubmitted(time.Duration, *model.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.r.LaterTries++
}

// window returns the second of a model instant; the caller holds the lock.
func (l *Load) window(at time.Duration) *LoadWindow {
	i := int(at / time.Second)
	for len(l.r.Series) <= i {
		l.r.Series = append(l.r.Series, LoadWindow{})
		l.second = append(l.second, hdrhistogram.New(1, longestMicros, 2))
	}
	return &l.r.Series[i]
}

// hand makes one request and books its answer.
func (l *Load) hand(n int, m *model.Message, planned time.Time) {
	t := l.targets[n%len(l.targets)]
	id := fmt.Sprintf("%s-c%d-%s", l.o.IDPrefix, m.Class, m.ID)
	resp, begun, err := l.ask(t, id, m, planned)
	took := time.Since(planned)
	at := planned.Sub(l.loop.RealTime(0))
	l.tell(n, id, m, resp, begun, err)
	l.mu.Lock()
	w := l.window(at)
	_ = l.late.RecordValue(micros(begun.Sub(planned)))
	advice, refused := time.Duration(0), false
	switch {
	case err != nil:
		l.r.NoAnswer++
		w.NoAnswer++
		l.r.ByStatus["none"]++
	default:
		l.r.ByStatus[strconv.Itoa(resp.Status)]++
		_ = l.all.RecordValue(micros(took)) // clipped to the histogram's range
		_ = l.second[int(at/time.Second)].RecordValue(micros(took))
		switch resp.Status {
		case 200, 202:
			l.r.Accepted++
			w.Accepted++
			l.r.AcceptedIDs = append(l.r.AcceptedIDs, id)
		case 429, 503:
			l.r.Refused++
			w.Refused++
			refused, advice = true, retryAfter(resp.Header)
		default:
			l.r.Failed++
			w.Failed++
		}
	}
	l.mu.Unlock()
	if refused {
		l.loop.Do(func() { l.crowd.MessageEnded(n, m, model.Refused, advice) })
	}
}

// tell passes a request on to who wants to know of it.
func (l *Load) tell(n int, id string, m *model.Message, resp *http1.Response, begun time.Time, err error) {
	if l.o.OnRequestEnd == nil {
		return
	}
	h := RequestRecord{Sender: n % len(l.targets), ID: id, Class: m.Class, Deadline: l.loop.RealTime(m.Deadline), Begun: begun, Over: time.Now()}
	if err == nil {
		h.Status = resp.Status
	}
	var failure *exchangeError
	if errors.As(err, &failure) {
		h.Written = failure.written
	}
	h.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	l.o.OnRequestEnd(h)
}

// exchangeError is a request that got no answer.
type exchangeError struct {
	err     error
	written bool // the whole request was written
}

func (e *exchangeError) Error() string { return e.err.Error() }
func (e *exchangeError) Unwrap() error { return e.err }

func micros(d time.Duration) int64 { return min(max(d.Microseconds(), 1), longestMicros) }

func retryAfter(h http1.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// ask makes one request on an idle connection, or on a new one. It waits for leave where all are busy.
func (l *Load) ask(t *target, id string, m *model.Message, planned time.Time) (resp *http1.Response, begun time.Time, err error) {
	deadline := planned.Add(l.o.AnswerTimeout)
	var nc net.Conn
	select {
	case nc = <-t.idle:
		// A close of a resting connection may have crossed the request: it goes out once more on another, as the protocol has it.
		if resp, begun, err = l.askOn(nc, t, id, m, deadline); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return resp, begun, err
		}
	default:
	}
	return l.askFresh(t, id, m, deadline)
}

// askFresh makes a request on a new connection; where there is no room for one, on the first that falls idle.
func (l *Load) askFresh(t *target, id string, m *model.Message, deadline time.Time) (*http1.Response, time.Time, error) {
	select {
	case t.room <- struct{}{}:
	default:
		select {
		case t.room <- struct{}{}:
		case nc := <-t.idle:
			return l.askOn(nc, t, id, m, deadline)
		case <-time.After(time.Until(deadline)):
			return nil, time.Now(), errors.New("every connection is busy")
		}
	}
	l.mu.Lock()
	l.r.ConnectionsOpened++
	l.mu.Unlock()
	nc, err := net.DialTimeout("tcp", t.addr, max(time.Until(deadline), time.Millisecond))
	if err != nil {
		<-t.room
		return nil, time.Now(), err
	}
	return l.askOn(nc, t, id, m, deadline)
}

// askOn makes a request on a connection and keeps that if it can.
func (l *Load) askOn(nc net.Conn, t *target, id string, m *model.Message, deadline time.Time) (resp *http1.Response, begun time.Time, err error) {
	begun = time.Now()
	resp, err = l.exchange(nc, t, id, m, deadline)
	if err != nil || resp.Close {
		nc.Close()
		<-t.room
		return resp, begun, err
	}
	t.idle <- nc
	return resp, begun, nil
}

func (l *Load) exchange(nc net.Conn, t *target, id string, m *model.Message, deadline time.Time) (*http1.Response, error) {
	if err := nc.SetDeadline(deadline); err != nil {
		return nil, err
	}
	class := &l.s.Classes[m.Class]
	left := (m.Deadline - l.loop.Elapsed()).Milliseconds()
	fields := http1.Header{{Name: "Host", Value: t.addr}, {Name: "Req-Id", Value: id}, {Name: "Req-Kind", Value: class.Name},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(max(left, 1), 10)}, {Name: "Envelope", Value: "dest=" + strconv.Itoa(m.Dest)}}
	if class.Effect == "keyed" {
		fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: l.o.IDPrefix + "-" + strconv.Itoa(m.FirstTry)})
	}
	body := make([]byte, l.o.BodyBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	if _, err := nc.Write(http1.AppendRequest(nil, "POST", "/"+class.Name, fields, body)); err != nil {
		return nil, &exchangeError{err: err}
	}
	resp, err := http1.ReadResponse(bufio.NewReader(nc), 64<<10)
	if err != nil {
		return nil, &exchangeError{err: err, written: true}
	}
	return resp, nil
}

// identity reads what load put into a message's name: which first try it belongs to, and its class.
func identity(id string) (first, class int) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 {
		return 0, 0
	}
	class, _ = strconv.Atoi(strings.TrimPrefix(parts[1], "c")) // 0 for names that others made
	number, _, _ := strings.Cut(parts[2], ".")
	h := fnv.New32a()
	h.Write([]byte(parts[0] + number)) // never fails, by its contract
	return int(h.Sum32()), class
}

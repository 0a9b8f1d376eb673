// This file plays case 8: destinations that hang and come back cold.

package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

func init() { cases[8] = playColdReturn }

// Figures of case 8.
const (
	coldSenders   = 2
	coldSlots     = 24 // of each sender
	coldMaxOpen   = 250
	coldRate      = 47.0 // messages a second, over all senders
	coldLead      = 20 * time.Second
	coldHang      = 8 * time.Second
	coldTail      = 14 * time.Second
	bigSystems    = 4
	smallSystems  = 8
	hungSystems   = 5 // of the small ones
	bigWeight     = 4 // messages for a big one, for each one for a small one
	bigCores      = 9
	smallCores    = 2
	bigService    = 300 * time.Millisecond // mean
	smallService  = 700 * time.Millisecond // mean
	serviceSpread = 0.6                    // coefficient of variation
	coldTries     = 3                      // "hand a message in again up to 2 times, after a wait"
	coldBackoff   = 400 * time.Millisecond // to twice that

	coldShare      = 0.18
	coldWarmUp     = 12 * time.Second
	overloadFactor = 2.0
	fallWindow     = 2 * time.Second
	slack          = 50 * time.Millisecond // of every time limit; it counts for the sender here
)

// coldSettings are the settings of case 8.
func coldSettings() map[string]any {
	set := depotSettings(coldSenders)
	set["weights"] = "silent"
	set["flavors"] = []string{"chandlers", "makers"}
	set["extra"] = map[string]any{"batch_by_kind": []int{1, 1}, "late": "halving", "routes_apart": []bool{false, false}, "slots": coldSlots}
	set["allowed"].(map[string]any)["max_open"] = coldMaxOpen
	set["allowed"].(map[string]any)["max_attempts"] = 6
	set["allowed"].(map[string]any)["connect_timeout_us"] = 1500000
	set["request_classes"] = []any{
		map[string]any{"name": "order-confirm", "effect": "deduplicated", "dedup_scope": "all", "window_us": 6000000,
			"goal_time_us": 3000000, "deadline_us": 24000000, "late_worth": 0.3, "worth": 1},
		map[string]any{"name": "stock-level", "effect": "idempotent", "goal_time_us": 800000, "deadline_us": 6000000,
			"late_worth": 0.0, "worth": 1},
	}
	set["safety"] = map[string]any{"cold_share": coldShare, "drain_grace_us": 1000000, "fall_us": fallWindow.Microseconds(),
		"grace_to_answer_us": 20000, "overload_factor": overloadFactor, "warm_up_us": coldWarmUp.Microseconds()}
	return set
}

// arrival is a call that reached a cold destination.
type arrival struct {
	at     time.Time
	sender int
}

// system is one destination with one endpoint. It has an address for each sender, so that it can tell them apart.
type system struct {
	h       *harness
	number  int
	cores   int
	service time.Duration
	mu      sync.Mutex
	hanging chan struct{} // closed at the end of a hang; nil while there is none
	conns   map[net.Conn]bool
	busy    int
	waiting []chan struct{} // calls that wait for a core

	coldSince time.Time       // zero before the outage
	informed  map[int]bool    // senders of which a call failed during the outage
	window    []arrival       // since the return, within fallWindow
	worst     float64         // calls in a window over what the system bears
	fallen    string          // what made it fall
	after     map[int]int     // calls by sender since the return
	taken     map[string]bool // messages for it that a sender has taken on
	delivered map[string]bool
	stopped   chan struct{} // closed when it falls
}

func newSystem(h *harness, number, cores int, service time.Duration) *system {
	return &system{
		h: h, number: number, cores: cores, service: service, conns: map[net.Conn]bool{}, informed: map[int]bool{},
		after: map[int]int{}, stopped: make(chan struct{}), taken: map[string]bool{}, delivered: map[string]bool{},
	}
}

// capacity returns the calls a second that the system serves when warm.
func (y *system) capacity() float64 { return float64(y.cores) / y.service.Seconds() }

// share returns the part of its capacity that the system has now. It must be called with the lock held.
func (y *system) share(now time.Time) float64 {
	if y.coldSince.IsZero() {
		return 1
	}
	return min(1, coldShare+(1-coldShare)*now.Sub(y.coldSince).Seconds()/coldWarmUp.Seconds())
}

// listen starts the system's address for a sender.
func (y *system) listen(sender int) (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { y.receive(w, r, sender) }),
		ConnState: func(c net.Conn, state http.ConnState) {
			y.mu.Lock()
			defer y.mu.Unlock()
			if state == http.StateNew && y.fallen == "" {
				y.conns[c] = true
			} else if state == http.StateNew {
				c.Close()
			} else if state == http.StateClosed {
				delete(y.conns, c)
			}
		},
	}
	go server.Serve(ln) // ends with Close
	y.h.onClose(func() { server.Close() })
	return ln.Addr().String(), nil
}

// receive takes one call.
func (y *system) receive(w http.ResponseWriter, r *http.Request, sender int) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Req-Id")
	y.mu.Lock()
	y.h.note("system %d: %s from sender %d", y.number, id, sender)
	hanging := y.hanging
	if hanging == nil {
		y.countCold(sender)
	}
	y.mu.Unlock()
	if hanging == nil {
		if !y.serve(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		y.mu.Lock()
		hanging = y.hanging // it has begun meanwhile
		y.mu.Unlock()
	}
	if hanging != nil { // no answer: until the sender gives up, or the process is restarted
		select {
		case <-r.Context().Done():
			y.noteGivenUp(sender, id)
		case <-hanging:
		}
		panic(http.ErrAbortHandler)
	}
	y.mu.Lock()
	y.delivered[id] = true
	y.mu.Unlock()
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusOK)
}

// undelivered returns how many messages that were taken on have not been delivered. It must be called with the lock held.
func (y *system) undelivered() (n int) {
	for id := range y.taken {
		if !y.delivered[id] {
			n++
		}
	}
	return n
}

// take notes that a message for the system was taken on.
func (y *system) take(id string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.taken[id] = true
}

// noteGivenUp notes that a sender gave up a call while the system hung: it timed out there.
func (y *system) noteGivenUp(sender int, id string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.hanging == nil { // the connection was reset by the restart
		return
	}
	y.h.note("system %d: sender %d gave up %s", y.number, sender, id)
	y.informed[sender] = true
}

// countCold counts a call that came after the return, and makes the system fall if that is too many. It must be called
// with the lock held.
func (y *system) countCold(sender int) {
	now := time.Now()
	share := y.share(now)
	if y.coldSince.IsZero() || share == 1 || y.fallen != "" {
		return
	}
	y.after[sender]++
	y.window = append(y.window, arrival{now, sender})
	y.window = slices.DeleteFunc(y.window, func(a arrival) bool { return now.Sub(a.at) > fallWindow })
	allowed := bearable(overloadFactor * y.capacity() * share * (fallWindow + slack).Seconds())
	count := float64(len(y.window))
	y.worst = max(y.worst, count/allowed)
	if count <= allowed {
		return
	}
	informed := 0
	bySender := map[int]int{}
	for _, a := range y.window {
		bySender[a.sender]++
		if y.informed[a.sender] {
			informed++
		}
	}
	y.fallen = fmt.Sprintf("system %d, %.2f s after its return, got %d calls within %v and bears %.1f; by sender %v, "+
		"%d of them from senders that had seen calls time out there during the outage (%v)",
		y.number, now.Sub(y.coldSince).Seconds(), len(y.window), fallWindow, allowed, bySender, informed, y.informed)
	if 3*informed <= 2*len(y.window) {
		y.fallen += "; not counted: two thirds or less"
	}
	y.h.note("FALLS: %s", y.fallen)
	close(y.stopped)
	y.resetAll()
}

// breaksRule reports whether the system fell by calls of which over two thirds came from informed senders.
func (y *system) breaksRule() bool {
	informed := 0
	for _, a := range y.window {
		if y.informed[a.sender] {
			informed++
		}
	}
	return y.fallen != "" && 3*informed > 2*len(y.window)
}

// bearable returns how many calls a cold destination bears within the window if the settings allow it n.
func bearable(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// serve waits for a core and serves a call on it. It returns false if the connection ends meanwhile.
func (y *system) serve(ctx context.Context) bool {
	y.mu.Lock()
	for y.busy >= y.cores {
		turn := make(chan struct{})
		y.waiting = append(y.waiting, turn)
		y.mu.Unlock()
		select {
		case <-turn:
		case <-y.stopped:
			return false
		}
		y.mu.Lock()
	}
	y.busy++
	took := time.Duration(float64(drawService(y.service)) / y.share(time.Now()))
	y.mu.Unlock()
	time.Sleep(took)
	y.mu.Lock()
	defer y.mu.Unlock()
	y.busy--
	if len(y.waiting) > 0 {
		close(y.waiting[0])
		y.waiting = y.waiting[1:]
	}
	return ctx.Err() == nil
}

// drawService draws a service time from a lognormal distribution.
func drawService(mean time.Duration) time.Duration {
	variance := math.Log(1 + serviceSpread*serviceSpread)
	return time.Duration(float64(mean) * math.Exp(math.Sqrt(variance)*chance.normal()-variance/2))
}

// hang makes the system take calls and answer none.
func (y *system) hang() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.hanging = make(chan struct{})
	y.h.note("system %d hangs", y.number)
}

// restart ends the hang: the system's process is started anew, which resets its connections, and it is cold.
func (y *system) restart() {
	y.mu.Lock()
	defer y.mu.Unlock()
	close(y.hanging)
	y.hanging, y.coldSince = nil, time.Now()
	y.resetAll()
	y.h.note("system %d is back, cold; senders that had seen calls time out: %v", y.number, y.informed)
}

// resetAll resets all connections. It must be called with the lock held.
func (y *system) resetAll() {
	for c := range y.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // fails on a closed connection
		}
		c.Close()
	}
}

// coldFleet is the systems and senders of case 8.
type coldFleet struct {
	systems   []*system
	platforms []*platform // of each sender
	senders   []*sender
}

// startColdFleet starts the systems, and the senders with a platform each.
func startColdFleet(h *harness) (f *coldFleet, err error) {
	f = &coldFleet{}
	for n := range bigSystems + smallSystems {
		if n < bigSystems {
			f.systems = append(f.systems, newSystem(h, n, bigCores, bigService))
		} else {
			f.systems = append(f.systems, newSystem(h, n, smallCores, smallService))
		}
	}
	for n := range coldSenders {
		var entries []entry
		for _, y := range f.systems {
			address, err := y.listen(n)
			if err != nil {
				return nil, err
			}
			kind := "makers"
			if y.number < bigSystems {
				kind = "chandlers"
			}
			entries = append(entries, entry{Host: "s-" + strconv.Itoa(y.number), Dial: address, Site: "here", Class: kind, Block: y.number, Health: "Ready"})
		}
		p, err := h.newPlatform(false, entries...)
		if err != nil {
			return nil, err
		}
		s, err := h.newSender("n"+strconv.Itoa(n), p.address, p.whole(), coldSettings())
		if err != nil {
			return nil, err
		}
		if err := s.start(nil); err != nil {
			return nil, err
		}
		f.platforms, f.senders = append(f.platforms, p), append(f.senders, s)
	}
	return f, nil
}

// playColdReturn plays a hang of five small systems before two senders.
func playColdReturn(h *harness, trouble bool) (broken []string, err error) {
	f, err := startColdFleet(h)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for n, s := range f.senders {
		clients.Go(func() { handInAtRandom(ctx, h.newClient(), s, n, f) })
	}
	time.Sleep(coldLead)
	hung := f.systems[bigSystems : bigSystems+hungSystems]
	if trouble {
		for _, y := range hung {
			y.hang()
		}
	}
	time.Sleep(coldHang)
	if trouble {
		for _, y := range hung {
			y.restart()
		}
	}
	time.Sleep(coldTail)
	cancel()
	clients.Wait()
	for _, y := range f.systems {
		y.mu.Lock()
		if !y.coldSince.IsZero() {
			h.note("system %d: at most %.2f of what it bears within %v; calls since its return, by sender: %v", y.number, y.worst, fallWindow, y.after)
		}
		if y.breaksRule() {
			broken = append(broken, fmt.Sprintf("%s; it stays down, and %d messages taken on for it are not delivered", y.fallen, y.undelivered()))
		}
		y.mu.Unlock()
	}
	return broken, nil
}

// handInAtRandom hands in messages at a sender's part of the rate until the context ends.
func handInAtRandom(ctx context.Context, c *client, s *sender, number int, f *coldFleet) {
	var under sync.WaitGroup
	defer under.Wait()
	for n := 0; ; n++ {
		pause := time.Duration(chance.exponential() * float64(time.Second) * coldSenders / coldRate)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		name := fmt.Sprintf("n%d-%d", number, n)
		under.Go(func() { f.handIn(ctx, c, s, f.platforms[number], name) })
	}
}

// handIn hands in one message, and again up to two times when it is refused, at the door or with a notice.
func (f *coldFleet) handIn(ctx context.Context, c *client, s *sender, p *platform, name string) {
	y := f.systems[drawSystem()]
	class, deadline := "order-confirm", 24*time.Second
	if chance.share() < 0.16 {
		class, deadline = "stock-level", 6*time.Second
	}
	for try := range coldTries {
		id := name + "-" + strconv.Itoa(try)
		wait := coldBackoff + time.Duration(chance.below(int(coldBackoff)))
		switch c.submit(s, class, id, y.number, deadline, []byte("order")) {
		case http.StatusAccepted:
			y.take(id)
			for p.noticeOf(id) == "" && !y.has(id) && ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			if p.noticeOf(id) != "bounced" {
				return
			}
			wait = max(wait, p.waitOf(id))
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// has reports whether a message has been delivered.
func (y *system) has(id string) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.delivered[id]
}

// drawSystem draws the destination of a message.
func drawSystem() int {
	at := chance.below(bigSystems*bigWeight + smallSystems)
	if at < bigSystems*bigWeight {
		return at / bigWeight
	}
	return bigSystems + at - bigSystems*bigWeight
}

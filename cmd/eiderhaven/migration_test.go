package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/standin/platform"
)

// The limit and the outage of the shared destination, and the tolerances of its checks: a call may have been under way
// when its sender got a retry-after or learned of a change of the list.
const (
	destinationLimit       = 40 // calls in each second, from all senders together
	destinationRetryAfter  = 600 * time.Millisecond
	destinationServiceTime = 30 * time.Millisecond
	inFlightTolerance      = 300 * time.Millisecond
	drainTolerance         = 2 * time.Second // well above the drain grace of both kinds of senders
	minShare               = 0.3             // of the served messages, for each kind of sender; an even share would be 0.5
	minServed              = 100
)

// sharedDestination is the common state of two endpoints of one destination. It records violations of the rules that
// endpoints can see.
type sharedDestination struct {
	mu           sync.Mutex
	begun        time.Time
	window       int64
	used         int
	down         bool
	drained      time.Time
	retryAfterAt map[string]time.Time // by sender: time of the latest retry-after
	inFlight     map[string]bool
	mayHaveRun   map[string]bool
	served       map[string]int // by kind of sender
	refused      int
	errors       int
	violations   []string
}

// answer returns how one of the endpoints, 0 or 1, answers a call. The ID of a message consists of sender, class and
// number: new0-payment-17.
func (p *sharedDestination) answer(endpoint int) func(id string, call int) *http1.Response {
	return func(id string, _ int) *http1.Response {
		sender, class, _ := strings.Cut(id, "-")
		p.mu.Lock()
		now := time.Now()
		refusedAt, wasRefused := p.retryAfterAt[sender]
		sinceRefusal := now.Sub(refusedAt)
		if wasRefused && sinceRefusal > inFlightTolerance && sinceRefusal < destinationRetryAfter-destinationServiceTime {
			p.violations = append(p.violations,
				fmt.Sprintf("%s called %v after it got a retry-after of %v", sender, sinceRefusal, destinationRetryAfter))
		}
		if p.inFlight[id] {
			p.violations = append(p.violations, id+" is in flight twice")
		}
		if strings.HasPrefix(class, "payment") && p.mayHaveRun[id] {
			p.violations = append(p.violations, id+" may take effect twice")
		}
		if endpoint == 1 && !p.drained.IsZero() && now.Sub(p.drained) > drainTolerance {
			p.violations = append(p.violations,
				fmt.Sprintf("%s was sent %v after its endpoint began to drain", id, now.Sub(p.drained)))
		}
		if w := int64(now.Sub(p.begun) / time.Second); w != p.window {
			p.window, p.used = w, 0
		}
		p.used++
		full, down := p.used > destinationLimit, p.down
		if full {
			p.retryAfterAt[sender] = now
			p.refused++
			p.mu.Unlock()
			wait := fmt.Sprint(destinationRetryAfter.Milliseconds())
			return &http1.Response{Status: 429, Header: http1.Header{{Name: "Wait-Ms", Value: wait}}}
		}
		p.inFlight[id], p.mayHaveRun[id] = true, true
		p.mu.Unlock()
		time.Sleep(destinationServiceTime)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.inFlight, id)
		if down {
			p.errors++
			return &http1.Response{Status: 500}
		}
		p.served[sender[:3]]++
		return &http1.Response{Status: 200}
	}
}

// settingsIn returns the settings in a configuration, and two of their sections.
func settingsIn(c map[string]any) (set, allowed, safety map[string]any) {
	set = c["settings"].(map[string]any)
	return set, set["allowed"].(map[string]any), set["safety"].(map[string]any)
}

// useNewSettings changes the settings of the example to the new ones, useOldSettings changes them back.
func useNewSettings(c map[string]any) {
	set, allowed, safety := settingsIn(c)
	set["weights"], set["registry_mode"], allowed["peers"], allowed["second_copies"] = "nominal", "ask", true, false
	safety["drain_grace_us"], safety["order_pause_us"], safety["ask_every_us"] = 250_000, 300_000, 10_000_000
	safety["overload_factor"], safety["fall_us"] = 1.5, 3_000_000
	for _, class := range set["request_classes"].([]any) {
		class.(map[string]any)["keep_order"] = true
	}
}

func useOldSettings(c map[string]any) {
	set, allowed, safety := settingsIn(c)
	set["weights"], set["registry_mode"], allowed["peers"], allowed["second_copies"] = "rough", "push", false, true
	safety["drain_grace_us"], safety["overload_factor"], safety["fall_us"] = 500_000, 2, 2_000_000
	for _, class := range set["request_classes"].([]any) {
		delete(class.(map[string]any), "keep_order")
	}
}

// startSenders starts two senders of each kind, with old and with new settings, for the same endpoints and discovery.
func startSenders(t *testing.T, disc *platform.Discovery) (
	fixtures map[string]*platformFixture, procs map[string]*process) {
	t.Helper()
	fixtures, procs = map[string]*platformFixture{}, map[string]*process{}
	for _, name := range []string{"old0", "old1", "new0", "new1"} {
		p := fixtureFor(t, disc)
		p.configure(func(c map[string]any) {
			if strings.HasPrefix(name, "new") {
				useNewSettings(c)
			}
			set, _, safety := settingsIn(c)
			c["name"], set["balancers"] = name, 4
			safety["warm_up_us"] = 1_500_000 // short, else slow start would last for most of the test
		})
		fixtures[name], procs[name] = p, p.launch()
	}
	return fixtures, procs
}

// During a migration, senders with old and new settings use the same endpoints, through a shared rate limit, an outage
// and a drain. As seen from the endpoints every rule holds, and neither kind of sender starves the other.
func TestOldAndNewSettingsShareEndpoints(t *testing.T) {
	p := &sharedDestination{
		begun:        time.Now(),
		retryAfterAt: map[string]time.Time{},
		inFlight:     map[string]bool{},
		mayHaveRun:   map[string]bool{},
		served:       map[string]int{},
	}
	var entries []platform.Entry
	for n := range 2 {
		ep, err := platform.NewEndpoint("127.0.0.1:0", p.answer(n))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(ep.Close)
		entries = append(entries, platform.Entry{
			Host:   fmt.Sprintf("s-%d", n),
			Dial:   ep.Addr(),
			Site:   "here",
			Class:  "any",
			Block:  7,
			Health: "Ready",
			Share:  destinationLimit,
		})
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", entries...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disc.Close)
	fixtures, procs := startSenders(t, disc)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for name, fixture := range fixtures {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(60 * time.Millisecond): // 16 per second each, together 1.6 times the limit
				}
				class := []string{"stock", "stock", "payment"}[i%3]
				if _, err := fixture.request(submitRequest(fmt.Sprintf("%s-%s-%d", name, class, i), class, 16000)); err != nil {
					t.Errorf("%s: %v", name, err)
					return
				}
			}
		})
	}
	begun := time.Now()
	p.mu.Lock()
	p.begun = begun
	p.mu.Unlock()
	after := func(d time.Duration, do func()) {
		time.Sleep(time.Until(begun.Add(d)))
		p.mu.Lock()
		do()
		p.mu.Unlock()
	}
	after(3*time.Second, func() { p.down = true })
	after(3800*time.Millisecond, func() { p.down = false })
	after(7*time.Second, func() { p.drained = time.Now() })
	entries[1].Health = "Terminating"
	disc.SetList(entries...)
	after(11*time.Second, func() {})
	close(stop)
	wg.Wait()
	p.mu.Lock()
	// Copied, as calls still arrive.
	violations, served, refused, failed := slices.Clone(p.violations), maps.Clone(p.served), p.refused, p.errors
	p.mu.Unlock()
	for _, b := range violations[:min(len(violations), 5)] {
		t.Error(b)
	}
	if len(violations) > 5 {
		t.Errorf("and %d more", len(violations)-5)
	}
	total := served["old"] + served["new"]
	if total < minServed || refused == 0 || failed == 0 {
		t.Errorf("%d served, %d refused, %d failed in the outage: the test covers too little", total, refused, failed)
	}
	for _, kind := range []string{"old", "new"} {
		if share := float64(served[kind]) / float64(max(total, 1)); share < minShare {
			t.Errorf("senders with %s settings got a share of %.2f of the served messages, want %.2f", kind, share, minShare)
		}
	}
	t.Logf("served %v, refused %d times, %d failed in the outage", served, refused, failed)
	for name, proc := range procs {
		for _, key := range []string{"allowed.peers", "keep_order"} {
			if without := strings.Contains(proc.logged(), key); without != strings.HasPrefix(name, "new") {
				t.Errorf("%s: log entry that %s has no effect: %v\n%s", name, key, without, proc.logged())
			}
		}
	}
}

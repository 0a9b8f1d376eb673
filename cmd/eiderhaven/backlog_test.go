package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/testkit"
)

// Flags to measure the figures of docs/idle.md on a real process:
//
//	go test ./cmd/eiderhaven -run Backlog -v -held 100000 -room 20000 -for 8s [-program bin/eiderhaven]
var (
	heldMessages = flag.Int("held", 10_000, "number of messages held for a destination that is down")
	heldLimit    = flag.Int("room", 2_000, "limit of held messages in the tests of a full sender")
	measureFor   = flag.Duration("for", time.Second, "how long to measure each state")
	program      = flag.String("program", "", "sender program to test; default: this source")
)

// fixtureForBacklog returns an environment for a sender that holds up to maxHeld messages, with deadlines of an hour.
func fixtureForBacklog(t *testing.T, maxHeld int, answer func(string, int) *http1.Response) *platformFixture {
	p := newPlatformFixture(t, answer)
	p.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 4, "memory_mb": 2000, "sockets": 2048, "disk_mb": 400}
		set := c["settings"].(map[string]any)
		set["allowed"].(map[string]any)["max_open"] = maxHeld
		set["extra"].(map[string]any)["slots"] = 400
		for _, class := range set["request_classes"].([]any) {
			class.(map[string]any)["deadline_us"] = 3_600_000_000
		}
	})
	return p
}

func (p *platformFixture) launchTestedProgram() *process {
	if *program != "" {
		return p.launchCommand(*program)
	}
	return p.launch()
}

const noLimit = 1 << 40 // messages; more than any test sends

// clientGroup is a group of clients, each of which submits one message after the other on its own connection.
type clientGroup struct {
	nextID, accepted, refused atomic.Int64
	mu                        sync.Mutex
	latencies                 []time.Duration
	pause                     time.Duration // of a client after a refusal
}

// run runs a number of clients until the time is over or maxMessages were sent. It returns how long that took.
func (c *clientGroup) run(t *testing.T, p *platformFixture, clients, maxMessages int,
	length time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	var remaining atomic.Int64
	remaining.Store(int64(maxMessages))
	var clientsDone sync.WaitGroup
	for range clients {
		clientsDone.Add(1)
		go func() {
			defer clientsDone.Done()
			nc, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			br := bufio.NewReader(nc)
			var took []time.Duration
			for remaining.Add(-1) >= 0 && time.Since(began) < length {
				at := time.Now()
				if _, err := io.WriteString(nc, submitRequest(fmt.Sprint("m", c.nextID.Add(1)), "stock", 3_600_000)); err != nil {
					t.Error(err)
					return
				}
				r, err := http1.ReadResponse(br, 1<<16)
				switch {
				case err != nil:
					t.Error(err)
					return
				case r.Status == 202:
					c.accepted.Add(1)
				default:
					c.refused.Add(1)
				}
				took = append(took, time.Since(at))
				if r.Status != 202 {
					time.Sleep(c.pause)
				}
			}
			c.mu.Lock()
			c.latencies = append(c.latencies, took...)
			c.mu.Unlock()
		}()
	}
	clientsDone.Wait()
	return time.Since(began)
}

// acceptedRate returns the accepted messages per second since the last call, given the time since then.
func (c *clientGroup) acceptedRate(elapsed time.Duration) float64 {
	return float64(c.accepted.Swap(0)) / elapsed.Seconds()
}

func (c *clientGroup) medianLatency() time.Duration {
	slices.Sort(c.latencies)
	return c.latencies[len(c.latencies)/2]
}

// processUsage returns the processor time of a process so far, and its resident memory in MB.
func processUsage(t *testing.T, pid int) (time.Duration, int) {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system int
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		t.Fatal(err)
	}
	return time.Duration(user+system) * 10 * time.Millisecond, numberIn(t, string(status), `VmRSS:\s+(\d+) kB`) / 1000
}

// A sender that holds many messages for a destination that refuses connections needs next to no processor time while no
// message comes. The test also logs the acceptance rate while it fills, which should stay that of an empty sender.
// Guards against decisions that scan all held messages.
func TestBacklogCostsNothing(t *testing.T) {
	p := fixtureForBacklog(t, 2**heldMessages, nil)
	p.ep.Close()
	proc := p.launchTestedProgram()
	var c clientGroup
	tenth := *heldMessages / 10
	var rates []float64
	for range 10 {
		rates = append(rates, c.acceptedRate(c.run(t, p, 64, tenth, time.Minute)))
	}
	time.Sleep(*measureFor / 4) // until the latest attempts have ended
	before, _ := processUsage(t, proc.Process.Pid)
	time.Sleep(*measureFor)
	after, mb := processUsage(t, proc.Process.Pid)
	share := float64(after-before) / float64(*measureFor)
	t.Logf("%d held, accepted per second in each tenth: %.0f; idle: %.1f%% of a core, %d MB resident",
		*heldMessages, rates, 100*share, mb)
	proc.Process.Signal(syscall.SIGUSR1)
	testkit.Eventually(t, "logged the counters", func() bool { return strings.Contains(proc.logged(), "held=") })
	if held := numberIn(t, proc.logged(), `held=(\d+)`); held < *heldMessages*9/10 {
		t.Errorf("only %d messages held, want %d: the test covers too little", held, *heldMessages)
	}
	if share > 0.1 {
		t.Errorf("an idle sender that holds %d messages uses %.0f%% of a core", *heldMessages, 100*share)
	}
}

// A full sender answers as fast as an empty one. Each arrival evicts a message, among equal ones the newest, which is
// the arrival itself.
func TestBacklogOfFullSenderCostsNothing(t *testing.T) {
	p := fixtureForBacklog(t, *heldLimit, nil)
	p.ep.Close()
	proc := p.launchTestedProgram()
	var c clientGroup
	empty := c.acceptedRate(c.run(t, p, 64, *heldLimit*9/10, time.Minute))
	c.run(t, p, 64, *heldLimit/5, time.Minute)
	c.acceptedRate(time.Second)
	c.refused.Store(0)
	before, _ := processUsage(t, proc.Process.Pid)
	elapsed := c.run(t, p, 64, noLimit, *measureFor)
	after, _ := processUsage(t, proc.Process.Pid)
	accepted, refused := c.acceptedRate(elapsed), float64(c.refused.Load())/elapsed.Seconds()
	t.Logf("limit of %d: accepted per second while it fills %.0f; full: %.0f accepted and %.0f refused, %.0f%% of a core",
		*heldLimit, empty, accepted, refused, 100*float64(after-before)/float64(elapsed))
	if refused == 0 {
		t.Error("no message was refused: the sender was not full")
	}
	if accepted+refused < empty/4 {
		t.Errorf("a full sender answers %.0f requests per second, an empty one %.0f", accepted+refused, empty)
	}
}

// More clients of a full sender do not reduce what is delivered, with an endpoint that serves four messages in a
// millisecond. A refused client pauses before its next message; else the clients would use up the processor, and more
// so the faster they are refused.
func TestBacklogWithManyClients(t *testing.T) {
	rates := map[int]float64{}
	for _, clients := range []int{64, 256} {
		servers := make(chan struct{}, 4)
		p := fixtureForBacklog(t, *heldLimit, func(string, int) *http1.Response {
			servers <- struct{}{}
			time.Sleep(time.Millisecond)
			<-servers
			return &http1.Response{Status: 200}
		})
		p.launchTestedProgram()
		c := clientGroup{pause: 50 * time.Millisecond}
		c.run(t, p, clients, noLimit, *measureFor)
		for c.refused.Load() == 0 {
			c.run(t, p, clients, noLimit, *measureFor)
		}
		c.latencies = nil
		c.acceptedRate(time.Second)
		served := len(p.ep.ReceivedIDs())
		elapsed := c.run(t, p, clients, noLimit, *measureFor)
		rates[clients] = float64(len(p.ep.ReceivedIDs())-served) / elapsed.Seconds()
		t.Logf("%d clients, full limit of %d: %.0f accepted and %.0f served per second, median answer after %v",
			clients, *heldLimit, c.acceptedRate(elapsed), rates[clients], c.medianLatency().Round(100*time.Microsecond))
	}
	if rates[256] < rates[64]/2 {
		t.Errorf("256 clients have %.0f messages per second served, 64 clients %.0f", rates[256], rates[64])
	}
}

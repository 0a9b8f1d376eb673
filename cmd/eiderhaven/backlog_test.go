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

// The figures of docs/idle.md on a real process:
//
//	go test ./cmd/eiderhaven -run Backlog -v -held 100000 -room 20000 -for 8s [-program bin/eiderhaven]
var (
	heldFor    = flag.Int("held", 10_000, "messages held for a destination that is down")
	roomFor    = flag.Int("room", 2_000, "room of a sender that is full, or serves")
	measureFor = flag.Duration("for", time.Second, "time measured in each state")
	program    = flag.String("program", "", "the sender's program; default: this source")
)

// bigPlace is a place with room for so many messages that live for an hour.
func bigPlace(t *testing.T, room int, answer func(string, int) *http1.Response) *place {
	p := newPlace(t, answer)
	p.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"cores": 4, "memory_mb": 2000, "sockets": 2048, "disk_mb": 400}
		set := c["settings"].(map[string]any)
		set["allowed"].(map[string]any)["max_open"] = room
		set["extra"].(map[string]any)["slots"] = 400
		for _, class := range set["request_classes"].([]any) {
			class.(map[string]any)["deadline_us"] = 3_600_000_000
		}
	})
	return p
}

func (p *place) launchProgram() *process {
	if *program != "" {
		return p.launchBy(*program)
	}
	return p.launch()
}

// crowd is clients that hand in one message after the other, each on a connection of its own.
type crowd struct {
	next, taken, refused atomic.Int64
	mu                   sync.Mutex
	took                 []time.Duration
	pause                time.Duration // of a client that was refused
}

// handIn runs so many clients until the time is over or so many messages have been answered.
func (c *crowd) handIn(t *testing.T, p *place, clients, most int, length time.Duration) time.Duration {
	t.Helper()
	began := time.Now()
	var left atomic.Int64
	left.Store(int64(most))
	var all sync.WaitGroup
	for range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			nc, err := net.Dial("tcp", p.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			br := bufio.NewReader(nc)
			var took []time.Duration
			for left.Add(-1) >= 0 && time.Since(began) < length {
				at := time.Now()
				if _, err := io.WriteString(nc, handIn(fmt.Sprint("m", c.next.Add(1)), "stock", 3_600_000)); err != nil {
					t.Error(err)
					return
				}
				r, err := http1.ReadResponse(br, 1<<16)
				switch {
				case err != nil:
					t.Error(err)
					return
				case r.Status == 202:
					c.taken.Add(1)
				default:
					c.refused.Add(1)
				}
				took = append(took, time.Since(at))
				if r.Status != 202 {
					time.Sleep(c.pause)
				}
			}
			c.mu.Lock()
			c.took = append(c.took, took...)
			c.mu.Unlock()
		}()
	}
	all.Wait()
	return time.Since(began)
}

// rate is what was taken a second since the last time.
func (c *crowd) rate(over time.Duration) float64 { return float64(c.taken.Swap(0)) / over.Seconds() }

func (c *crowd) median() time.Duration {
	slices.Sort(c.took)
	return c.took[len(c.took)/2]
}

// used is the processor time of a process so far, and its resident memory in MB.
func used(t *testing.T, pid int) (time.Duration, int) {
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
	return time.Duration(user+system) * 10 * time.Millisecond, field(t, string(status), `VmRSS:\s+(\d+) kB`) / 1000
}

// A sender that holds much for a destination that refuses connections takes on as much as an empty one while it fills, and needs next
// to no processor time while nothing comes. Guards against choices that look at all that is held.
func TestABacklogCostsNothing(t *testing.T) {
	p := bigPlace(t, 2**heldFor, nil)
	p.ep.Close()
	proc := p.launchProgram()
	var c crowd
	tenth := *heldFor / 10
	var rates []float64
	for range 10 {
		rates = append(rates, c.rate(c.handIn(t, p, 64, tenth, time.Minute)))
	}
	time.Sleep(*measureFor / 4) // what is just under way
	before, _ := used(t, proc.Process.Pid)
	time.Sleep(*measureFor)
	after, mb := used(t, proc.Process.Pid)
	share := float64(after-before) / float64(*measureFor)
	t.Logf("%d held, taken a second by tenths: %.0f; idle: %.1f%% of a core, %d MB resident", *heldFor, rates, 100*share, mb)
	proc.Process.Signal(syscall.SIGUSR1)
	testkit.Eventually(t, "counters", func() bool { return strings.Contains(proc.said(), "held=") })
	if held := field(t, proc.said(), `held=(\d+)`); held < *heldFor*9/10 {
		t.Errorf("%d held, want %d: there was less to look at", held, *heldFor)
	}
	if share > 0.1 {
		t.Errorf("an idle sender that holds %d uses %.0f%% of a core", *heldFor, 100*share)
	}
}

// A full room answers as an empty one does, whichever message each arrival puts out: of equals it is the newest, so itself.
func TestABacklogThatFillsTheRoomIsNoBrake(t *testing.T) {
	p := bigPlace(t, *roomFor, nil)
	p.ep.Close()
	proc := p.launchProgram()
	var c crowd
	empty := c.rate(c.handIn(t, p, 64, *roomFor*9/10, time.Minute))
	c.handIn(t, p, 64, *roomFor/5, time.Minute)
	c.rate(time.Second)
	c.refused.Store(0)
	before, _ := used(t, proc.Process.Pid)
	over := c.handIn(t, p, 64, 1<<40, *measureFor)
	after, _ := used(t, proc.Process.Pid)
	taken, refused := c.rate(over), float64(c.refused.Load())/over.Seconds()
	t.Logf("room for %d: taken a second while it fills %.0f; full: %.0f taken and %.0f refused, %.0f%% of a core", *roomFor, empty, taken, refused,
		100*float64(after-before)/float64(over))
	if refused == 0 {
		t.Error("none refused: the room was not full")
	}
	if taken+refused < empty/4 {
		t.Errorf("a full sender answers %.0f a second, an empty one %.0f", taken+refused, empty)
	}
}

// More clients get no less done where an endpoint can take four messages in a millisecond and the room is full of what it could not.
// Who is refused comes again after a while: else it is the clients that use up the machine, the more the sooner they are refused.
func TestABacklogOfManyClientsIsNoBrake(t *testing.T) {
	rates := map[int]float64{}
	for _, clients := range []int{64, 256} {
		desks := make(chan struct{}, 4)
		p := bigPlace(t, *roomFor, func(string, int) *http1.Response {
			desks <- struct{}{}
			time.Sleep(time.Millisecond)
			<-desks
			return &http1.Response{Status: 200}
		})
		p.launchProgram()
		c := crowd{pause: 50 * time.Millisecond}
		c.handIn(t, p, clients, 1<<40, *measureFor)
		for c.refused.Load() == 0 {
			c.handIn(t, p, clients, 1<<40, *measureFor)
		}
		c.took = nil
		c.rate(time.Second)
		served := len(p.ep.ReceivedIDs())
		over := c.handIn(t, p, clients, 1<<40, *measureFor)
		rates[clients] = float64(len(p.ep.ReceivedIDs())-served) / over.Seconds()
		t.Logf("%d clients, room for %d full: %.0f taken and %.0f served a second, answer in the median after %v", clients, *roomFor, c.rate(over),
			rates[clients], c.median().Round(100*time.Microsecond))
	}
	if rates[256] < rates[64]/2 {
		t.Errorf("256 clients get %.0f a second done, 64 %.0f", rates[256], rates[64])
	}
}

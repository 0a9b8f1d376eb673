// This file measures the daemon as a process, on sockets of this machine.

package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/standin/platform"
)

// program builds the daemon for the benchmarks that want one.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return "", err
	}
	built = dir
	out, err := exec.Command("go", "build", "-o", dir, "eiderhaven/cmd/eiderhaven").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "eiderhaven"), err
})

var built string // its folder

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// daemon is a sender that runs.
type daemon struct {
	b      *testing.B
	cmd    *exec.Cmd
	addr   string
	dir    string
	config string
	log    bytes.Buffer
	done   chan struct{}
	ready  time.Duration // from its start
}

// newDaemon prepares one that knows these entries.
func newDaemon(b *testing.B, disc string, known []byte) *daemon {
	b.Helper()
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free now
	if err != nil {
		b.Fatal(err)
	}
	d := &daemon{b: b, addr: ln.Addr().String(), dir: filepath.Join(dir, "state"), config: filepath.Join(dir, "config.json")}
	ln.Close()
	var c, set, allowed map[string]any
	text, err := os.ReadFile("../../example/config.json")
	if err = errors.Join(err, json.Unmarshal(text, &c)); err != nil {
		b.Fatal(err)
	}
	set = c["settings"].(map[string]any)
	allowed = set["allowed"].(map[string]any)
	c["listen"], c["discovery"] = d.addr, disc
	c["known"] = json.RawMessage(fmt.Sprintf(`{"seq":0,"whole":true,"hosts":%s}`, known))
	c["limits"] = map[string]any{"cores": 1, "memory_mb": 8000, "sockets": 4096, "disk_mb": 1000}
	set["balancers"] = 480
	set["extra"].(map[string]any)["slots"] = 400
	allowed["max_open"], allowed["max_attempts"] = 1_000_000, 1_000_000
	for _, class := range set["request_classes"].([]any) {
		class.(map[string]any)["deadline_us"] = 3_600_000_000
	}
	text, err = json.Marshal(c)
	if err = errors.Join(err, os.Mkdir(d.dir, 0o700), os.WriteFile(d.config, text, 0o600)); err != nil {
		b.Fatal(err)
	}
	return d
}

// start starts it and waits until it is ready.
func (d *daemon) start() {
	d.b.Helper()
	path, err := program()
	if err != nil {
		d.b.Fatal(err)
	}
	d.cmd, d.done = exec.Command(path), make(chan struct{})
	d.cmd.Env = append(os.Environ(), "LB_CONFIG="+d.config, "LB_STATE="+d.dir)
	d.cmd.Stderr = &d.log
	began := time.Now()
	if err := d.cmd.Start(); err != nil {
		d.b.Fatal(err)
	}
	go func() { d.cmd.Wait(); close(d.done) }()
	for {
		if r, err := d.ask("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n"); err == nil && r.Status == 200 {
			break
		}
		select {
		case <-d.done:
			d.b.Fatalf("the sender ended: %s", d.log.String())
		case <-time.After(2 * time.Millisecond):
		}
		if time.Since(began) > 2*time.Minute {
			d.kill()
			d.b.Fatal("the sender is not ready after two minutes")
		}
	}
	d.ready = time.Since(began)
}

func (d *daemon) kill() {
	d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.done
}

func (d *daemon) ask(text string) (*http1.Response, error) {
	nc, err := net.Dial("tcp", d.addr)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, text); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReader(nc), 1<<16)
}

// megabytes reads a line of the kernel's status of the process: VmRSS, or VmHWM for the most there was.
func (d *daemon) megabytes(what string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	m := regexp.MustCompile(what + `:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		d.b.Fatalf("no %s in the status of the process", what)
	}
	kb, _ := strconv.Atoi(string(m[1])) // digits, by the pattern
	return float64(kb) * 1024 / 1e6
}

// cpu is the processor time of the process so far.
func (d *daemon) cpu() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.cmd.Process.Pid))
	sum := 0
	for _, f := range files {
		text, _ := os.ReadFile(f)
		if words := strings.Fields(string(text)); len(words) > 0 {
			ns, _ := strconv.Atoi(words[0]) // the kernel's own number
			sum += ns
		}
	}
	return time.Duration(sum)
}

// share is the part of a core in percent that it takes over a span.
func (d *daemon) share(span time.Duration) float64 {
	before := d.cpu()
	time.Sleep(span)
	return (d.cpu() - before).Seconds() / span.Seconds() * 100
}

// clients hand in messages over connections of their own, so many a second or as fast as they are answered, and return how many
// were taken on in what time.
func (d *daemon) clients(connections, messages int, rate float64, ms int, dest func(i int) int) (taken int64, took time.Duration) {
	var next, ok atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	for range connections {
		wg.Go(func() {
			nc, err := net.Dial("tcp", d.addr)
			if err != nil {
				return
			}
			defer nc.Close()
			br := bufio.NewReader(nc)
			for {
				i := int(next.Add(1)) - 1
				if i >= messages {
					return
				}
				if rate > 0 {
					time.Sleep(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
				}
				id := "m" + strconv.FormatInt(serial.Add(1), 36)
				fmt.Fprintf(nc, "POST /stock HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: stock\r\nReq-Deadline-Ms: %d\r\nEnvelope: dest=%d\r\n"+
					"Content-Length: 5\r\n\r\nhello", id, ms, dest(i))
				r, err := http1.ReadResponse(br, 1<<16)
				if err != nil {
					return
				}
				if r.Status == 202 {
					ok.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return ok.Load(), time.Since(began)
}

var serial atomic.Int64

// closed is an address at which nobody listens.
func closed(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// BenchmarkDaemonDestinations is a sender that knows so many destinations and gets no message. The list comes with the
// configuration; discovery has nothing to add.
func BenchmarkDaemonDestinations(b *testing.B) {
	measure(b, 2, "destinations", []int{5000, 20_000, 60_000, 120_000, 210_000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		known := entries(n, "127.0.0.1:9000")
		d := newDaemon(b, partial(b, disc), known)
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		before := disc.in.Load() + disc.out.Load()
		share := d.share(3 * time.Second)
		return map[string]float64{"a: MB resident": d.megabytes("VmRSS"), "b: MB resident at most": d.megabytes("VmHWM"), "c: s to ready": d.ready.Seconds(),
			"d: % of a core, no traffic": share, "e: bytes a second to and from discovery": float64(disc.in.Load()+disc.out.Load()-before) / 3}
	})
}

// partial makes a discovery's first answer one without entries that leaves the known list as it is.
func partial(b *testing.B, d *discovery) string {
	b.Helper()
	d.partial = true
	return d.addr
}

// BenchmarkDaemonWholeLists is the same where discovery has the whole list and hands it out: what is asked of it by a sender that
// is left alone for 4 s.
func BenchmarkDaemonWholeLists(b *testing.B) {
	measure(b, 2, "destinations", []int{9000, 18_000, 36_000, 72_000}, func(n int) map[string]float64 {
		whole := entries(n, "127.0.0.1:9000")
		disc := newDiscovery(b, whole)
		defer disc.Close()
		d := newDaemon(b, disc.addr, whole)
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		calls, out := disc.wholes.Load(), disc.in.Load()+disc.out.Load()
		share := d.share(4 * time.Second)
		return map[string]float64{"a: whole lists asked for at the start": float64(calls), "b: whole lists a second from then on": float64(disc.wholes.Load()-calls) / 4,
			"c: bytes a second to and from discovery": float64(disc.in.Load()+disc.out.Load()-out) / 4, "d: % of a core, no traffic": share}
	})
}

// BenchmarkDaemonChanges is what changes cost a sender that knows 20,000 destinations, by their number in a minute.
func BenchmarkDaemonChanges(b *testing.B) {
	measure(b, 2, "changes a minute", []int{0, 100, 300, 1000, 3000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, partial(b, disc), entries(20_000, "127.0.0.1:9000"))
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		const span = 4 * time.Second
		before, calls := disc.in.Load()+disc.out.Load(), disc.calls.Load()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		if n > 0 {
			wg.Go(func() {
				tick := time.NewTicker(time.Minute / time.Duration(n))
				defer tick.Stop()
				for i := 0; ; i++ {
					select {
					case <-tick.C:
						disc.change(entry(i%20_000, "127.0.0.1:9001", "Ready"))
					case <-stop:
						return
					}
				}
			})
		}
		share := d.share(span)
		out := map[string]float64{"a: bytes a second to and from discovery": float64(disc.in.Load()+disc.out.Load()-before) / span.Seconds(),
			"b: calls a second to discovery": float64(disc.calls.Load()-calls) / span.Seconds(), "c: % of a core": share}
		close(stop)
		wg.Wait()
		return out
	})
}

// BenchmarkDaemonHeld is what messages held for one destination that refuses connections cost: memory, processor time with no
// traffic, the rate at which the last of them were taken on, disk, and a restart.
func BenchmarkDaemonHeld(b *testing.B) {
	measure(b, 2, "messages held", []int{3000, 10_000, 30_000, 60_000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, partial(b, disc), entries(1, closed(b)))
		d.start()
		before, _ := d.clients(64, n*4/5, 0, 3_600_000, func(int) int { return 0 })
		taken, took := d.clients(64, n/5, 0, 3_600_000, func(int) int { return 0 })
		if int(before+taken) < n*9/10 {
			b.Errorf("%d of %d messages taken on: there was less to do", before+taken, n)
		}
		time.Sleep(500 * time.Millisecond)
		share := d.share(3 * time.Second)
		out := map[string]float64{"a: MB resident": d.megabytes("VmRSS"), "b: % of a core, no traffic": share,
			"c: taken a second, the last fifth": float64(taken) / took.Seconds()}
		d.kill()
		files, _ := filepath.Glob(filepath.Join(d.dir, "*"))
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				out["d: bytes on disk"] += float64(info.Size())
			}
		}
		d.start()
		out["e: s to ready, restarted"] = d.ready.Seconds()
		out["f: MB resident, restarted"] = d.megabytes("VmRSS")
		d.kill()
		return out
	})
}

// BenchmarkDaemonServed is the processor time of a served message, by messages a second: to one endpoint, to which connections
// stay open, and to 20,000 in turn, where each call opens its own.
func BenchmarkDaemonServed(b *testing.B) {
	for _, destinations := range []int{1, 20_000} {
		b.Run(fmt.Sprintf("%d destinations", destinations), func(b *testing.B) {
			measure(b, 2, "messages a second", []int{100, 200, 400, 800}, func(n int) map[string]float64 {
				ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
				if err != nil {
					b.Fatal(err)
				}
				defer ep.Close()
				disc := newDiscovery(b, nil)
				defer disc.Close()
				d := newDaemon(b, partial(b, disc), entries(destinations, ep.Addr()))
				d.start()
				defer d.kill()
				time.Sleep(500 * time.Millisecond)
				before, opened := d.cpu(), ep.AcceptedConnections()
				taken, took := d.clients(64, 4*n, float64(n), 60_000, func(i int) int { return i % destinations })
				if taken < int64(4*n)*9/10 {
					b.Errorf("%d of %d messages taken on: there was less to do", taken, 4*n)
				}
				return map[string]float64{"a: % of a core": (d.cpu() - before).Seconds() / took.Seconds() * 100,
					"b: connections a message": float64(ep.AcceptedConnections()-opened) / float64(max(taken, 1)), "c: MB resident": d.megabytes("VmRSS")}
			})
		})
	}
}

// BenchmarkDaemonNotices is what discovery is sent about messages that end undelivered, by how many are handed in a second for a
// destination that is down. About half are refused at once, as it is on probation; the others end by a notice each.
func BenchmarkDaemonNotices(b *testing.B) {
	measure(b, 2, "messages handed in a second", []int{6, 54, 200, 400}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, partial(b, disc), entries(1, closed(b)))
		d.start()
		defer d.kill()
		taken, _ := d.clients(64, 4*n, float64(n), 1000, func(int) int { return 0 })
		time.Sleep(1500 * time.Millisecond)
		told, posts, calls := disc.notices.Load(), disc.posts.Load(), disc.posted.Load()
		if told == 0 || told < taken {
			b.Errorf("%d notices of %d messages taken on", told, taken)
		}
		return map[string]float64{"a: bytes a second, heads of requests not counted": float64(posts) / 4, "b: posts a second": float64(calls) / 4,
			"c: notices a second": float64(told) / 4}
	})
}

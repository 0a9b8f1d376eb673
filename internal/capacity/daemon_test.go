// This file measures the sender as a process (cmd/eiderhaven), on sockets of this machine.

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

const (
	maxResponseBytes = 1 << 16
	startLimit       = 2 * time.Minute // for a daemon to become ready
	readyPoll        = 2 * time.Millisecond
	clientCount      = 64 // connections that submit messages in parallel

	endpointAddr = "127.0.0.1:9000" // of listed endpoints that are never called
	changedAddr  = "127.0.0.1:9001" // address of an endpoint after a change

	// Deadlines of submitted messages, in milliseconds.
	secondMS = 1000
	minuteMS = 60_000
	hourMS   = 3_600_000
)

// buildDaemon builds the daemon on its first call and returns the path of the program.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return "", err
	}
	buildDir = dir
	out, err := exec.Command("go", "build", "-o", dir, "eiderhaven/cmd/eiderhaven").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "eiderhaven"), err
})

var buildDir string // directory of the built daemon; empty if it was not built

func TestMain(m *testing.M) {
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// daemon is a sender process.
type daemon struct {
	b           *testing.B
	cmd         *exec.Cmd
	addr        string // where it accepts messages
	stateDir    string
	configFile  string
	stderr      bytes.Buffer
	exited      chan struct{} // closed when the process has exited
	timeToReady time.Duration // from the start of the process
}

// newDaemon writes the configuration of a daemon that uses discovery at an address and initially knows these entries.
// It does not start the daemon.
func newDaemon(b *testing.B, discoveryAddr string, known []byte) *daemon {
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
	d := &daemon{
		b:          b,
		addr:       ln.Addr().String(),
		stateDir:   filepath.Join(dir, "state"),
		configFile: filepath.Join(dir, "config.json"),
	}
	ln.Close()
	var config, settings, allowed map[string]any
	text, err := os.ReadFile("../../example/config.json")
	if err = errors.Join(err, json.Unmarshal(text, &config)); err != nil {
		b.Fatal(err)
	}
	settings = config["settings"].(map[string]any)
	allowed = settings["allowed"].(map[string]any)
	config["listen"] = d.addr
	config["discovery"] = discoveryAddr
	config["known"] = json.RawMessage(fmt.Sprintf(`{"seq":0,"whole":true,"hosts":%s}`, known))
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 8000, "sockets": 4096, "disk_mb": 1000}
	settings["balancers"] = fleetSize
	settings["extra"].(map[string]any)["slots"] = 400
	allowed["max_open"] = 1_000_000
	allowed["max_attempts"] = 1_000_000
	for _, class := range settings["request_classes"].([]any) {
		class.(map[string]any)["deadline_us"] = deadline.Microseconds()
	}
	text, err = json.Marshal(config)
	if err = errors.Join(err, os.Mkdir(d.stateDir, 0o700), os.WriteFile(d.configFile, text, 0o600)); err != nil {
		b.Fatal(err)
	}
	return d
}

// start starts the daemon and waits until it is ready.
func (d *daemon) start() {
	d.b.Helper()
	path, err := buildDaemon()
	if err != nil {
		d.b.Fatal(err)
	}
	d.cmd = exec.Command(path)
	d.exited = make(chan struct{})
	d.cmd.Env = append(os.Environ(), "LB_CONFIG="+d.configFile, "LB_STATE="+d.stateDir)
	d.cmd.Stderr = &d.stderr
	start := time.Now()
	if err := d.cmd.Start(); err != nil {
		d.b.Fatal(err)
	}
	go func() {
		d.cmd.Wait()
		close(d.exited)
	}()
	for {
		r, err := d.request("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
		if err == nil && r.Status == 200 {
			break
		}
		select {
		case <-d.exited:
			d.b.Fatalf("the sender exited: %s", d.stderr.String())
		case <-time.After(readyPoll):
		}
		if time.Since(start) > startLimit {
			d.kill()
			d.b.Fatalf("the sender is not ready after %v", startLimit)
		}
	}
	d.timeToReady = time.Since(start)
}

// kill kills the process and waits until it has exited.
func (d *daemon) kill() {
	d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
}

// request sends a request on a connection of its own and returns the response.
func (d *daemon) request(text string) (*http1.Response, error) {
	nc, err := net.Dial("tcp", d.addr)
	if err != nil {
		return nil, err
	}
	defer nc.Close()
	if _, err := io.WriteString(nc, text); err != nil {
		return nil, err
	}
	return http1.ReadResponse(bufio.NewReader(nc), maxResponseBytes)
}

// megabytes returns a value of /proc/PID/status in megabytes: VmRSS is the resident memory, VmHWM its peak.
func (d *daemon) megabytes(key string) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	match := regexp.MustCompile(key + `:\s+(\d+) kB`).FindSubmatch(text)
	if match == nil {
		d.b.Fatalf("no %s in the status of the process", key)
	}
	kb, _ := strconv.Atoi(string(match[1])) // cannot fail: only digits match
	return float64(kb) * 1024 / 1e6
}

// cpuTime returns the CPU time that the process has used so far.
func (d *daemon) cpuTime() time.Duration {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.cmd.Process.Pid))
	sum := 0
	for _, f := range files {
		text, _ := os.ReadFile(f)
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			ns, _ := strconv.Atoi(fields[0]) // cannot fail: the kernel writes a number
			sum += ns
		}
	}
	return time.Duration(sum)
}

// cpuPercent waits for a time and returns the CPU time used meanwhile, in percent of a core.
func (d *daemon) cpuPercent(span time.Duration) float64 {
	before := d.cpuTime()
	time.Sleep(span)
	return (d.cpuTime() - before).Seconds() / span.Seconds() * 100
}

// submitMessages submits messages with this deadline over parallel connections, at this rate (messages per second) or,
// with rate 0, each as soon as the previous one of its connection is answered. dest gives the destination of message i.
// It returns the number of accepted messages and the time from start to end.
func (d *daemon) submitMessages(messages int, rate float64, deadlineMS int, dest func(i int) int) (
	accepted int64, took time.Duration,
) {
	var next, acceptedCount atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for range clientCount {
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
					due := start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				id := "m" + strconv.FormatInt(messageCount.Add(1), 36)
				fmt.Fprintf(nc, "POST /stock HTTP/1.1\r\n"+
					"Req-Id: %s\r\n"+
					"Req-Kind: stock\r\n"+
					"Req-Deadline-Ms: %d\r\n"+
					"Envelope: dest=%d\r\n"+
					"Content-Length: 5\r\n\r\nhello", id, deadlineMS, dest(i))
				r, err := http1.ReadResponse(br, maxResponseBytes)
				if err != nil {
					return
				}
				if r.Status == 202 {
					acceptedCount.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return acceptedCount.Load(), time.Since(start)
}

// messageCount is the number of messages submitted by the whole test process, so that all have different IDs.
var messageCount atomic.Int64

// firstDestination is a function for submitMessages that sends all messages to destination 0.
func firstDestination(int) int { return 0 }

// closedAddress returns a loopback address that refuses connections.
func closedAddress(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// useKnownList makes discovery answer the first request with an empty change, so that the daemon keeps the list of its
// configuration. It returns discovery's address.
func useKnownList(b *testing.B, d *discovery) string {
	b.Helper()
	d.firstAnswerEmpty = true
	return d.addr
}

// BenchmarkDaemonDestinations measures a sender that knows n destinations and gets no messages. The list comes from the
// configuration, and discovery reports no changes.
func BenchmarkDaemonDestinations(b *testing.B) {
	const span = 3 * time.Second
	measure(b, 2, "destinations", []int{5000, 20_000, 60_000, 120_000, 210_000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		known := encodeEntries(n, endpointAddr)
		d := newDaemon(b, useKnownList(b, disc), known)
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		bytesBefore := disc.totalBytes()
		cpu := d.cpuPercent(span)
		return map[string]float64{
			"a: MB resident":                          d.megabytes("VmRSS"),
			"b: MB resident at most":                  d.megabytes("VmHWM"),
			"c: s to ready":                           d.timeToReady.Seconds(),
			"d: % of a core, no traffic":              cpu,
			"e: bytes a second to and from discovery": float64(disc.totalBytes()-bytesBefore) / span.Seconds(),
		}
	})
}

// BenchmarkDaemonWholeLists measures the same where discovery sends the whole list: how often a sender without traffic
// requests it at the start and in the 4 s after.
func BenchmarkDaemonWholeLists(b *testing.B) {
	const span = 4 * time.Second
	measure(b, 2, "destinations", []int{9000, 18_000, 36_000, 72_000}, func(n int) map[string]float64 {
		entries := encodeEntries(n, endpointAddr)
		disc := newDiscovery(b, entries)
		defer disc.Close()
		d := newDaemon(b, disc.addr, entries)
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		listsBefore, bytesBefore := disc.wholeLists.Load(), disc.totalBytes()
		cpu := d.cpuPercent(span)
		return map[string]float64{
			"a: whole lists asked for at the start":   float64(listsBefore),
			"b: whole lists a second from then on":    float64(disc.wholeLists.Load()-listsBefore) / span.Seconds(),
			"c: bytes a second to and from discovery": float64(disc.totalBytes()-bytesBefore) / span.Seconds(),
			"d: % of a core, no traffic":              cpu,
		}
	})
}

// BenchmarkDaemonChanges measures what changes of the list cost a sender that knows 20,000 destinations, by the number
// of changes per minute.
func BenchmarkDaemonChanges(b *testing.B) {
	const (
		destinations = 20_000
		span         = 4 * time.Second
	)
	measure(b, 2, "changes a minute", []int{0, 100, 300, 1000, 3000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, useKnownList(b, disc), encodeEntries(destinations, endpointAddr))
		d.start()
		defer d.kill()
		time.Sleep(time.Second)
		bytesBefore, requestsBefore := disc.totalBytes(), disc.requests.Load()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		if n > 0 {
			wg.Go(func() {
				tick := time.NewTicker(time.Minute / time.Duration(n))
				defer tick.Stop()
				for i := 0; ; i++ {
					select {
					case <-tick.C:
						disc.addChange(encodeEntry(i%destinations, changedAddr, "Ready"))
					case <-stop:
						return
					}
				}
			})
		}
		cpu := d.cpuPercent(span)
		figures := map[string]float64{
			"a: bytes a second to and from discovery": float64(disc.totalBytes()-bytesBefore) / span.Seconds(),
			"b: calls a second to discovery":          float64(disc.requests.Load()-requestsBefore) / span.Seconds(),
			"c: % of a core":                          cpu,
		}
		close(stop)
		wg.Wait()
		return figures
	})
}

// BenchmarkDaemonHeld measures what messages held for one destination that refuses connections cost: memory, CPU time
// without traffic, the rate at which the last fifth of them was accepted, disk space, and a restart.
func BenchmarkDaemonHeld(b *testing.B) {
	measure(b, 2, "messages held", []int{3000, 10_000, 30_000, 60_000}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, useKnownList(b, disc), encodeEntries(1, closedAddress(b)))
		d.start()
		acceptedBefore, _ := d.submitMessages(n*4/5, 0, hourMS, firstDestination)
		accepted, took := d.submitMessages(n/5, 0, hourMS, firstDestination)
		if int(acceptedBefore+accepted) < n*9/10 {
			b.Errorf("%d of %d messages accepted: the measured load is too small", acceptedBefore+accepted, n)
		}
		time.Sleep(500 * time.Millisecond)
		cpu := d.cpuPercent(3 * time.Second)
		figures := map[string]float64{
			"a: MB resident":                    d.megabytes("VmRSS"),
			"b: % of a core, no traffic":        cpu,
			"c: taken a second, the last fifth": float64(accepted) / took.Seconds(),
		}
		d.kill()
		figures["d: bytes on disk"] = fileBytes(d.stateDir)
		d.start()
		figures["e: s to ready, restarted"] = d.timeToReady.Seconds()
		figures["f: MB resident, restarted"] = d.megabytes("VmRSS")
		d.kill()
		return figures
	})
}

// BenchmarkDaemonServed measures the CPU time of a delivered message, by messages per second: to one endpoint, to which
// connections stay open, and to 20,000 in rotation, where each call opens a connection.
func BenchmarkDaemonServed(b *testing.B) {
	const seconds = 4 // of traffic
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
				d := newDaemon(b, useKnownList(b, disc), encodeEntries(destinations, ep.Addr()))
				d.start()
				defer d.kill()
				time.Sleep(500 * time.Millisecond)
				cpuBefore, connectionsBefore := d.cpuTime(), ep.AcceptedConnections()
				inRotation := func(i int) int { return i % destinations }
				accepted, took := d.submitMessages(seconds*n, float64(n), minuteMS, inRotation)
				if accepted < int64(seconds*n)*9/10 {
					b.Errorf("%d of %d messages accepted: the measured load is too small", accepted, seconds*n)
				}
				cpu := d.cpuTime() - cpuBefore
				connections := ep.AcceptedConnections() - connectionsBefore
				return map[string]float64{
					"a: % of a core":           cpu.Seconds() / took.Seconds() * 100,
					"b: connections a message": float64(connections) / float64(max(accepted, 1)),
					"c: MB resident":           d.megabytes("VmRSS"),
				}
			})
		})
	}
}

// BenchmarkDaemonNotices measures the notices sent to discovery about messages that end undelivered, by the number of
// messages per second submitted for a destination that is down. About half are refused at once, because the destination
// is on probation; the others each end with a notice.
func BenchmarkDaemonNotices(b *testing.B) {
	const seconds = 4 // of traffic
	measure(b, 2, "messages handed in a second", []int{6, 54, 200, 400}, func(n int) map[string]float64 {
		disc := newDiscovery(b, nil)
		defer disc.Close()
		d := newDaemon(b, useKnownList(b, disc), encodeEntries(1, closedAddress(b)))
		d.start()
		defer d.kill()
		accepted, _ := d.submitMessages(seconds*n, float64(n), secondMS, firstDestination)
		time.Sleep(1500 * time.Millisecond) // until the last deadline has passed and the notices are sent
		notices, noticeBytes, requests := disc.notices.Load(), disc.noticeBytes.Load(), disc.noticeRequests.Load()
		if notices == 0 || notices < accepted {
			b.Errorf("%d notices for %d accepted messages", notices, accepted)
		}
		return map[string]float64{
			"a: bytes a second, heads of requests not counted": float64(noticeBytes) / seconds,
			"b: posts a second":   float64(requests) / seconds,
			"c: notices a second": float64(notices) / seconds,
		}
	})
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"eiderhaven/internal/http1"
	"eiderhaven/internal/ledger"
	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

const wholeListTarget = "/registry/instances"

// entryAt returns the list entry of an endpoint for a destination.
func entryAt(name string, ep *platform.Endpoint, dest int, health string) platform.Entry {
	return platform.Entry{Host: name, Dial: ep.Addr(), Site: "here", Class: "any", Block: dest, Health: health}
}

func newEndpoint(t testing.TB) *platform.Endpoint {
	t.Helper()
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ep.Close)
	return ep
}

func (p *platformFixture) listFile() string { return filepath.Join(p.state, ledger.ListFile) }

// waitForListFile waits until the list file contains a text, such as the name or address of an endpoint.
func (p *platformFixture) waitForListFile(text string) {
	p.t.Helper()
	testkit.Eventually(p.t, "saved "+text, func() bool {
		file, err := os.ReadFile(p.listFile())
		return err == nil && strings.Contains(string(file), text)
	})
}

// anyReceived reports whether any of the endpoints has received a message.
func anyReceived(eps []*platform.Endpoint) bool {
	return slices.ContainsFunc(eps, func(ep *platform.Endpoint) bool { return len(ep.ReceivedIDs()) > 0 })
}

func (p *process) kill() {
	p.t.Helper()
	p.Process.Kill()
	p.exit()
}

// A sender that was killed asks for changes since its saved list, including the last known change. It respects at once
// what changed in between: nothing is sent to an endpoint that now drains or is gone, not even messages accepted
// before. Whatever has happened to the file, the sender becomes ready with discovery's list in force.
func TestListSurvivesRestart(t *testing.T) {
	for name, c := range map[string]struct {
		whileDown  func(t *testing.T, p *platformFixture) // done while the sender is down
		wantTarget string
		wantLog    string // part of a log entry
	}{
		"unchanged file": {nil, wholeListTarget + "?after=2&wait_ms=1", "resuming from"},
		"truncated in a change": {func(t *testing.T, p *platformFixture) {
			info, err := os.Stat(p.listFile())
			if err == nil {
				err = os.Truncate(p.listFile(), info.Size()-1)
			}
			if err != nil {
				t.Fatal(err)
			}
		}, wholeListTarget + "?after=1&wait_ms=1", "resuming from"},
		"truncated in the list": {func(t *testing.T, p *platformFixture) {
			if err := os.Truncate(p.listFile(), 100); err != nil {
				t.Fatal(err)
			}
		}, wholeListTarget, "cannot be used"},
		"no file, as earlier versions leave the directory": {func(t *testing.T, p *platformFixture) {
			if err := os.Remove(p.listFile()); err != nil {
				t.Fatal(err)
			}
		}, wholeListTarget, ""},
		"with other settings": {func(t *testing.T, p *platformFixture) {
			p.configure(func(c map[string]any) { c["settings"].(map[string]any)["zones"] = []string{"there", "here"} })
		}, wholeListTarget, "before the settings changed"},
		"older than the list in the configuration": {func(t *testing.T, p *platformFixture) {
			p.configure(func(c map[string]any) {
				c["known"] = json.RawMessage(strings.Replace(string(p.disc.ListJSON()), `"seq":4`, `"seq":4000`, 1))
			})
		}, wholeListTarget, ""},
		"version later than that of discovery": {func(t *testing.T, p *platformFixture) {
			p.disc.RestartVersions(0)
		}, wholeListTarget + "?after=2&wait_ms=1", "resuming from"},
		"version too old for discovery": {func(t *testing.T, p *platformFixture) {
			p.disc.KeepChanges(0)
		}, wholeListTarget + "?after=2&wait_ms=1", "resuming from"},
		"not a list file": {func(t *testing.T, p *platformFixture) {
			if err := os.WriteFile(p.listFile(), []byte(strings.Repeat("what is this", 1000)), 0o600); err != nil {
				t.Fatal(err)
			}
		}, wholeListTarget, "cannot be used"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var available atomic.Bool
			var eps [4]*platform.Endpoint
			for i := range eps {
				ep, err := platform.NewEndpoint("127.0.0.1:0", func(string, int) *http1.Response {
					if available.Load() {
						return &http1.Response{Status: 200}
					}
					return &http1.Response{Status: 503}
				})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(ep.Close)
				eps[i] = ep
			}
			stays, drains, goes, comes := eps[0], eps[1], eps[2], eps[3]
			first := []platform.Entry{
				entryAt("stays", stays, 7, "Ready"),
				entryAt("drains", drains, 7, "Ready"),
				entryAt("goes", goes, 7, "Ready"),
			}
			disc, err := platform.NewDiscovery("127.0.0.1:0", first...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(disc.Close)
			disc.KeepChanges(10)
			p := fixtureFor(t, disc)
			p.configure(func(c map[string]any) { c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`) })
			proc := p.launch()
			p.waitForListFile("stays")
			disc.SetList(append(first, entryAt("more", stays, 8, "Ready"))...)
			p.waitForListFile("more")
			disc.SetList(append(first, entryAt("other", stays, 8, "Ready"))...)
			p.waitForListFile("other")
			for i := range 5 { // unfinished when the sender is killed
				p.submit(fmt.Sprint("unfinished", i), "stock", 16000)
			}
			testkit.Eventually(t, "called an endpoint", func() bool { return anyReceived(eps[:]) })
			proc.kill()
			available.Store(true)
			disc.SetList(first[0], entryAt("drains", drains, 7, "Terminating"), entryAt("comes", comes, 9, "Ready"))
			if c.whileDown != nil {
				c.whileDown(t, p)
			}
			before, drained, gone := len(disc.ListRequestTargets()), len(drains.ReceivedIDs()), len(goes.ReceivedIDs())
			proc = p.launch()
			if asked := disc.ListRequestTargets()[before]; asked != c.wantTarget {
				t.Errorf("requested %s, want %s", asked, c.wantTarget)
			}
			testkit.Eventually(t, "accepted a message for the new endpoint", func() bool {
				r, err := p.request(strings.Replace(submitRequest("new", "stock", 16000), "dest=7", "dest=9", 1))
				return err == nil && (r.Status == 202 || r.Status == 409)
			})
			for i := range 20 {
				p.submit(fmt.Sprint("m", i), "stock", 16000)
			}
			testkit.Eventually(t, "delivered", func() bool {
				have := stays.ReceivedIDs()
				for i := range 20 {
					if !slices.Contains(have, fmt.Sprint("m", i)) || !slices.Contains(have, fmt.Sprint("unfinished", i%5)) {
						return false
					}
				}
				return len(comes.ReceivedIDs()) > 0
			})
			if len(drains.ReceivedIDs()) > drained || len(goes.ReceivedIDs()) > gone {
				t.Errorf("%d calls to a draining endpoint, %d to one that is gone",
					len(drains.ReceivedIDs())-drained, len(goes.ReceivedIDs())-gone)
			}
			if !strings.Contains(proc.logged(), c.wantLog) {
				t.Errorf("%q is not in the log:\n%s", c.wantLog, proc.logged())
			}
			p.waitForListFile("comes") // the new list is saved
		})
	}
}

// If the address of discovery changes while the sender is down, the whole list is fetched, whatever its version, and
// the saved list is not used.
func TestSavedListOfAnotherDiscovery(t *testing.T) {
	old, now := newEndpoint(t), newEndpoint(t)
	p := newPlatformFixture(t, nil)
	p.disc.SetList(entryAt("old", old, 7, "Ready"))
	proc := p.launch()
	p.waitForListFile("old")
	proc.kill()
	disc, err := platform.NewDiscovery("127.0.0.1:0", entryAt("now", now, 7, "Ready"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disc.Close)
	disc.KeepChanges(10)
	disc.RestartVersions(2) // the same version as the other discovery
	p.configure(func(c map[string]any) {
		c["discovery"], c["known"] = disc.Addr(), json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
	})
	p.launch()
	if asked := disc.ListRequestTargets()[0]; asked != wholeListTarget {
		t.Errorf("requested %s, want the whole list", asked)
	}
	testkit.Eventually(t, "accepted", func() bool {
		r, err := p.request(submitRequest("a", "stock", 16000))
		return err == nil && (r.Status == 202 || r.Status == 409)
	})
	testkit.Eventually(t, "delivered", func() bool { return len(now.ReceivedIDs()) > 0 })
	if len(old.ReceivedIDs()) > 0 {
		t.Error("a call to an endpoint of the other discovery")
	}
	p.waitForListFile("now")
}

// If discovery does not answer at the start, the saved list is in force. Destinations that only the list in the
// configuration names are known too.
func TestSavedListUsedUntilDiscoveryAnswers(t *testing.T) {
	p := newPlatformFixture(t, nil)
	ep, only := newEndpoint(t), newEndpoint(t)
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(fmt.Sprintf(`{"seq":0,"whole":true,"hosts":[{"host":"only","dial":%q,"site":"here",`+
			`"class":"any","block":5,"health":"Ready"}]}`, only.Addr()))
	})
	p.disc.SetList(entryAt("left", ep, 7, "Ready"))
	proc := p.launch()
	p.waitForListFile("left")
	proc.kill()
	p.disc.DropListRequests(true)
	p.launch()
	p.submit("a", "stock", 16000)
	testkit.Eventually(t, "delivered", func() bool { return len(ep.ReceivedIDs()) == 1 })
	if r, err := p.request(strings.Replace(submitRequest("b", "stock", 16000), "dest=7", "dest=5", 1)); err != nil || r.Status == 400 {
		t.Errorf("message for a destination in the configuration: %+v, %v", r, err)
	}
	if r, err := p.request(strings.Replace(submitRequest("c", "stock", 16000), "dest=7", "dest=6", 1)); err != nil || r.Status != 400 {
		t.Errorf("message for an unknown destination: %+v, %v", r, err)
	}
	if len(only.ReceivedIDs()) > 0 {
		t.Error("a call to an endpoint that is not in the newer list")
	}
}

// A list too large for the state directory is not saved, which is counted, and everything else works. The directory
// stays within its limit.
func TestListTooLargeForStateDirectory(t *testing.T) {
	p := newPlatformFixture(t, nil)
	var list []platform.Entry
	for i := range 30_000 { // 1.2 MB; the list may take a quarter of the 3 MB on disk, 0.75 MB
		list = append(list, entryAt(fmt.Sprintf("s-%08x", i), p.ep, i, "Ready"))
	}
	p.disc.SetList(list...)
	proc := p.launch()
	testkit.Eventually(t, "delivered the message and counted the list", func() bool {
		p.request(strings.Replace(submitRequest("a", "stock", 16000), "dest=7", "dest=29999", 1))
		proc.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(proc.logged(), "lists_unwritten=1") && p.callCount("a") == 1
	})
	files, err := os.ReadDir(p.state)
	if err != nil {
		t.Fatal(err)
	}
	var sum int64
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			t.Fatal(err)
		}
		sum += (info.Size() + 511) / 512 * 512
	}
	if sum > 3*megabyte {
		t.Errorf("%d bytes in the state directory", sum)
	}
}

// Half of a list of 100,000 endpoints is replaced at once while clients submit messages for all destinations. Each
// message is answered and delivered, none is sent to an endpoint that has left the list, and no client waits long.
func TestFiftyThousandReplacedUnderLoad(t *testing.T) {
	const n, dests, clients = 100_000, 1000, 4
	old, now := newEndpoint(t), newEndpoint(t)
	list := make([]platform.Entry, n)
	for i := range list {
		list[i] = entryAt(fmt.Sprintf("s-%08x", i), old, i%dests, "Ready")
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disc.Close)
	disc.KeepChanges(10)
	disc.ListJSON() // encodes the list before the first request
	p := fixtureFor(t, disc)
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
		c["limits"] = map[string]any{"cores": 2, "memory_mb": 512, "sockets": 1024, "disk_mb": 30}
	})
	proc := p.launch()
	submit := func(id string, dest int) (int, error) {
		r, err := p.request(strings.Replace(submitRequest(id, "stock", 16000), "dest=7", fmt.Sprint("dest=", dest), 1))
		if err != nil {
			return 0, err
		}
		return r.Status, nil
	}
	testkit.Eventually(t, "applied the list", func() bool {
		status, err := submit("first", dests-1)
		return err == nil && status == 202
	})
	var accepted, longest atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var once sync.Once
	stopLoad := func() { once.Do(func() { close(stop) }); wg.Wait() }
	t.Cleanup(stopLoad) // also after a failed wait
	for client := range clients {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				begun := time.Now()
				status, err := submit(fmt.Sprintf("m-%d-%d", client, i), (client*257+i)%dests)
				longest.Store(max(longest.Load(), int64(time.Since(begun))))
				switch {
				case err != nil:
					t.Errorf("submitting: %v", err)
					return
				case status == 202:
					accepted.Add(1)
				case status != 429:
					t.Errorf("status %d", status)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	testkit.Eventually(t, "under load", func() bool { return accepted.Load() > 200 })
	asked := len(disc.ListRequestTargets())
	changed := slices.Clone(list)
	for i := range changed { // half of the destinations get other endpoints
		if i%dests < dests/2 {
			changed[i] = entryAt(fmt.Sprintf("t-%08x", i), now, i%dests, "Ready")
		}
	}
	disc.SetList(changed...)
	testkit.Eventually(t, "applied the change", func() bool { return len(now.ReceivedIDs()) > 100 })
	waitForMore := func(n int64) {
		begun := accepted.Load()
		testkit.Eventually(t, "accepted more messages", func() bool { return accepted.Load() > begun+n })
	}
	waitForMore(100) // calls that were under way have arrived
	before := len(old.ReceivedIDs())
	waitForMore(500)
	stopLoad()
	for _, id := range old.ReceivedIDs()[before:] {
		var client, i int
		if _, err := fmt.Sscanf(id, "m-%d-%d", &client, &i); err != nil || (client*257+i)%dests < dests/2 {
			t.Errorf("%s was sent to an endpoint that was replaced", id)
		}
	}
	testkit.Eventually(t, "delivered all messages", func() bool {
		return int64(len(old.ReceivedIDs())+len(now.ReceivedIDs())) >= accepted.Load()+1
	})
	for _, target := range disc.ListRequestTargets()[asked:] {
		if !strings.Contains(target, "after=") {
			t.Error("the whole list was requested")
		}
	}
	if text := proc.logged(); strings.Contains(text, "level=ERROR") || strings.Contains(text, "could not be heard") {
		t.Errorf("unexpected log entries:\n%s", text)
	}
	if wait := time.Duration(longest.Load()); wait > 5*time.Second { // five seconds for a busy machine
		t.Errorf("a client waited %v", wait)
	}
	t.Logf("%d accepted, the longest answer took %v", accepted.Load(), time.Duration(longest.Load()))
}

// The limit of a list follows from the memory and disk limits of the sender.
func TestMaxListBytes(t *testing.T) {
	for _, c := range []struct{ memory, disk, want int64 }{
		{192e6, 3e6, 35_437_500},
		{1000e6, 100e6, 168_750_000},
		{2e6, 3e6, 1 << 20},
	} {
		if got := (&config{memory: c.memory, disk: c.disk}).maxListBytes(); got != c.want {
			t.Errorf("%d bytes of memory, %d of disk: a list of up to %d bytes, want %d", c.memory, c.disk, got, c.want)
		}
	}
}

// The bytes from and to discovery for a failed watch and for a restart do not grow with the list; those for a first
// start do.
func TestFailureAndRestartTraffic(t *testing.T) {
	const n = 20_000
	p := longListFixture(t, n)
	var proc *process
	// traffic returns the bytes from and to discovery from an action until the next watch has begun, and the requests
	// meanwhile.
	traffic := func(act func()) (int64, []string) {
		before, asked := p.disc.ListBytes(), len(p.disc.ListRequestTargets())
		act()
		testkit.Eventually(t, "watched after another request", func() bool {
			all := p.disc.ListRequestTargets()[asked:]
			return len(all) > 1 && strings.Contains(all[len(all)-1], "wait_ms=1500") &&
				!strings.Contains(all[len(all)-2], "wait_ms=1500")
		})
		return p.disc.ListBytes() - before, p.disc.ListRequestTargets()[asked:]
	}
	first, _ := traffic(func() { proc = p.launch() })
	if size := int64(len(p.disc.ListJSON())); first < size || first > size+1000 {
		t.Errorf("%d bytes for a first start, the list has %d", first, size)
	}
	p.waitForSavedList()
	waitForWatch := func() {
		n := len(p.disc.ListRequestTargets())
		testkit.Eventually(t, "started one more watch", func() bool { return len(p.disc.ListRequestTargets()) > n })
	}
	waitForWatch()
	idle := p.disc.ListBytes()
	waitForWatch()
	if idle = p.disc.ListBytes() - idle; idle > 300 {
		t.Errorf("%d bytes for a watch without changes", idle)
	}
	failed, asked := traffic(p.disc.SilenceWatches) // the watch that has just begun
	if failed > 1000 {
		t.Errorf("%d bytes for a failed watch: requests %q", failed, asked)
	}
	p.disc.SetList(append([]platform.Entry{entryAt("changed", p.ep, n, "Ready")}, discoveryEntries(t, p)...)...)
	p.waitForListFile("changed")
	waitForWatch()
	later, asked := traffic(p.disc.SilenceWatches)
	if later > 1500 || later <= failed {
		t.Errorf("%d bytes for a failed watch with a last change to repeat: requests %q", later, asked)
	}
	proc.kill()
	again, asked := traffic(func() { proc = p.launch() })
	if again > 1500 {
		t.Errorf("%d bytes for a restart: requests %q", again, asked)
	}
	t.Logf("%d endpoints: %d bytes for a first start, %d for a watch, %d for a failed one, %d with a last change, "+
		"%d for a restart", n, first, idle, failed, later, again)
}

// discoveryEntries returns the present list of discovery.
func discoveryEntries(t *testing.T, p *platformFixture) []platform.Entry {
	t.Helper()
	var list struct{ Hosts []platform.Entry }
	if err := json.Unmarshal(p.disc.ListJSON(), &list); err != nil {
		t.Fatal(err)
	}
	return list.Hosts
}

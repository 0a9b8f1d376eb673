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

const wholeList = "/registry/instances"

// at is an endpoint for a destination.
func at(name string, ep *platform.Endpoint, dest int, health string) platform.Entry {
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

func (p *place) listFile() string { return filepath.Join(p.state, ledger.ListFile) }

// listed waits until the file holds a text, as a name or an address that discovery has told stands in it.
func (p *place) listed(text string) {
	p.t.Helper()
	testkit.Eventually(p.t, "kept: "+text, func() bool {
		file, err := os.ReadFile(p.listFile())
		return err == nil && strings.Contains(string(file), text)
	})
}

// tried tells whether an endpoint has got a message.
func tried(eps []*platform.Endpoint) bool {
	return slices.ContainsFunc(eps, func(ep *platform.Endpoint) bool { return len(ep.ReceivedIDs()) > 0 })
}

func (p *process) kill() {
	p.t.Helper()
	p.Process.Kill()
	p.exit()
}

// A sender that was killed asks for what is new since the list that it had, the last change of it included, and heeds at once what was told while it was away: nothing goes
// to an endpoint that drained or went meanwhile, also where the message was taken on before. Whatever became of the file, it is ready,
// and has discovery's list in force.
func TestTheListOutlivesTheProcess(t *testing.T) {
	for name, c := range map[string]struct {
		away func(t *testing.T, p *place) // beside the changes
		asks string
		line string // in the log
	}{
		"as it was left": {nil, wholeList + "?after=2&wait_ms=1", "gone on with"},
		"torn in a change": {func(t *testing.T, p *place) {
			info, err := os.Stat(p.listFile())
			if err == nil {
				err = os.Truncate(p.listFile(), info.Size()-1)
			}
			if err != nil {
				t.Fatal(err)
			}
		}, wholeList + "?after=1&wait_ms=1", "gone on with"},
		"torn in the list": {func(t *testing.T, p *place) {
			if err := os.Truncate(p.listFile(), 100); err != nil {
				t.Fatal(err)
			}
		}, wholeList, "cannot be used"},
		"none, as the version before leaves the folder": {func(t *testing.T, p *place) {
			if err := os.Remove(p.listFile()); err != nil {
				t.Fatal(err)
			}
		}, wholeList, ""},
		"from other settings": {func(t *testing.T, p *place) {
			p.configure(func(c map[string]any) { c["settings"].(map[string]any)["zones"] = []string{"there", "here"} })
		}, wholeList, "before the settings changed"},
		"older than the configuration's": {func(t *testing.T, p *place) {
			p.configure(func(c map[string]any) {
				c["known"] = json.RawMessage(strings.Replace(string(p.disc.ListJSON()), `"seq":4`, `"seq":4000`, 1))
			})
		}, wholeList, ""},
		"of a later version than discovery has": {func(t *testing.T, p *place) { p.disc.RestartVersions(0) }, wholeList + "?after=2&wait_ms=1", "gone on with"},
		"too old a version":                     {func(t *testing.T, p *place) { p.disc.KeepChanges(0) }, wholeList + "?after=2&wait_ms=1", "gone on with"},
		"a file in its place": {func(t *testing.T, p *place) {
			if err := os.WriteFile(p.listFile(), []byte(strings.Repeat("what is this", 1000)), 0o600); err != nil {
				t.Fatal(err)
			}
		}, wholeList, "cannot be used"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var open atomic.Bool
			var eps [4]*platform.Endpoint
			for i := range eps {
				ep, err := platform.NewEndpoint("127.0.0.1:0", func(string, int) *http1.Response {
					if open.Load() {
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
			first := []platform.Entry{at("stays", stays, 7, "Ready"), at("drains", drains, 7, "Ready"), at("goes", goes, 7, "Ready")}
			disc, err := platform.NewDiscovery("127.0.0.1:0", first...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(disc.Close)
			disc.KeepChanges(10)
			p := placeAt(t, disc)
			p.configure(func(c map[string]any) { c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`) })
			proc := p.launch()
			p.listed("stays")
			disc.SetList(append(first, at("more", stays, 8, "Ready"))...)
			p.listed("more")
			disc.SetList(append(first, at("other", stays, 8, "Ready"))...)
			p.listed("other")
			for i := range 5 { // owed by the next process
				p.handIn(fmt.Sprint("owed", i), "stock", 16000)
			}
			testkit.Eventually(t, "tried", func() bool { return tried(eps[:]) })
			proc.kill()
			open.Store(true)
			disc.SetList(first[0], at("drains", drains, 7, "Terminating"), at("comes", comes, 9, "Ready"))
			if c.away != nil {
				c.away(t, p)
			}
			before, drained, gone := len(disc.ListRequestTargets()), len(drains.ReceivedIDs()), len(goes.ReceivedIDs())
			proc = p.launch()
			if asked := disc.ListRequestTargets()[before]; asked != c.asks {
				t.Errorf("asked %s, want %s", asked, c.asks)
			}
			testkit.Eventually(t, "the new endpoint's message", func() bool {
				r, err := p.ask(strings.Replace(handIn("new", "stock", 16000), "dest=7", "dest=9", 1))
				return err == nil && (r.Status == 202 || r.Status == 409)
			})
			for i := range 20 {
				p.handIn(fmt.Sprint("m", i), "stock", 16000)
			}
			testkit.Eventually(t, "delivered", func() bool {
				have := stays.ReceivedIDs()
				for i := range 20 {
					if !slices.Contains(have, fmt.Sprint("m", i)) || !slices.Contains(have, fmt.Sprint("owed", i%5)) {
						return false
					}
				}
				return len(comes.ReceivedIDs()) > 0
			})
			if len(drains.ReceivedIDs()) > drained || len(goes.ReceivedIDs()) > gone {
				t.Errorf("%d calls to an endpoint that drained, %d to one that went", len(drains.ReceivedIDs())-drained, len(goes.ReceivedIDs())-gone)
			}
			if !strings.Contains(proc.said(), c.line) {
				t.Errorf("no word of %q:\n%s", c.line, proc.said())
			}
			p.listed("comes") // what was heard is kept anew
		})
	}
}

// Moved while it was away, discovery is asked for all of its list, whatever its versions are; what was kept of the other one counts for
// nothing.
func TestAListOfAnotherDiscovery(t *testing.T) {
	old, now := newEndpoint(t), newEndpoint(t)
	p := newPlace(t, nil)
	p.disc.SetList(at("old", old, 7, "Ready"))
	proc := p.launch()
	p.listed("old")
	proc.kill()
	disc, err := platform.NewDiscovery("127.0.0.1:0", at("now", now, 7, "Ready"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disc.Close)
	disc.KeepChanges(10)
	disc.RestartVersions(2) // as the other one
	p.configure(func(c map[string]any) {
		c["discovery"], c["known"] = disc.Addr(), json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
	})
	p.launch()
	if asked := disc.ListRequestTargets()[0]; asked != wholeList {
		t.Errorf("asked %s", asked)
	}
	testkit.Eventually(t, "taken on", func() bool {
		r, err := p.ask(handIn("a", "stock", 16000))
		return err == nil && (r.Status == 202 || r.Status == 409)
	})
	testkit.Eventually(t, "delivered", func() bool { return len(now.ReceivedIDs()) > 0 })
	if len(old.ReceivedIDs()) > 0 {
		t.Error("a call to an endpoint of the other discovery")
	}
	p.listed("now")
}

// With discovery away at the start, the list that was left holds, as the configuration's does, and what only that one names is no unknown
// destination.
func TestTheListHoldsUntilDiscoveryAnswers(t *testing.T) {
	p := newPlace(t, nil)
	ep, only := newEndpoint(t), newEndpoint(t)
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(fmt.Sprintf(`{"seq":0,"whole":true,"hosts":[{"host":"only","dial":%q,"site":"here","class":"any","block":5,"health":"Ready"}]}`, only.Addr()))
	})
	p.disc.SetList(at("left", ep, 7, "Ready"))
	proc := p.launch()
	p.listed("left")
	proc.kill()
	p.disc.DropListRequests(true)
	p.launch()
	p.handIn("a", "stock", 16000)
	testkit.Eventually(t, "delivered", func() bool { return len(ep.ReceivedIDs()) == 1 })
	if r, err := p.ask(strings.Replace(handIn("b", "stock", 16000), "dest=7", "dest=5", 1)); err != nil || r.Status == 400 {
		t.Errorf("a destination of the configuration's: %+v, %v", r, err)
	}
	if r, err := p.ask(strings.Replace(handIn("c", "stock", 16000), "dest=7", "dest=6", 1)); err != nil || r.Status != 400 {
		t.Errorf("a destination of nobody's: %+v, %v", r, err)
	}
	if len(only.ReceivedIDs()) > 0 {
		t.Error("a call to an endpoint that the newer list lacks")
	}
}

// A list that the folder has no room for is not kept, which is counted, and all else goes on; the folder stays within its bound.
func TestAListTooLongForTheFolder(t *testing.T) {
	p := newPlace(t, nil)
	var list []platform.Entry
	for i := range 30_000 { // 1.2 MB, a quarter of the folder's 3 MB is 0.75
		list = append(list, at(fmt.Sprintf("s-%08x", i), p.ep, i, "Ready"))
	}
	p.disc.SetList(list...)
	proc := p.launch()
	testkit.Eventually(t, "taken on and counted", func() bool {
		p.ask(strings.Replace(handIn("a", "stock", 16000), "dest=7", "dest=29999", 1))
		proc.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(proc.said(), "lists_unwritten=1") && p.calls("a") == 1
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
		t.Errorf("%d bytes in the folder", sum)
	}
}

// Half of a list of 100,000 endpoints is replaced at once while clients hand in for all its destinations: each message is answered and delivered,
// none goes to an endpoint that the list has lost, and no client waits long.
func TestFiftyThousandReplacedUnderLoad(t *testing.T) {
	const n, dests, clients = 100_000, 1000, 4
	old, now := newEndpoint(t), newEndpoint(t)
	list := make([]platform.Entry, n)
	for i := range list {
		list[i] = at(fmt.Sprintf("s-%08x", i), old, i%dests, "Ready")
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", list...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(disc.Close)
	disc.KeepChanges(10)
	disc.ListJSON() // made before it is asked for
	p := placeAt(t, disc)
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
		c["limits"] = map[string]any{"cores": 2, "memory_mb": 512, "sockets": 1024, "disk_mb": 30}
	})
	proc := p.launch()
	handIn := func(id string, dest int) (int, error) {
		r, err := p.ask(strings.Replace(handIn(id, "stock", 16000), "dest=7", fmt.Sprint("dest=", dest), 1))
		if err != nil {
			return 0, err
		}
		return r.Status, nil
	}
	testkit.Eventually(t, "the list in force", func() bool { s, err := handIn("first", dests-1); return err == nil && s == 202 })
	var taken, longest atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(stop) }); wg.Wait() }
	t.Cleanup(end) // also where a wait ends the test
	for client := range clients {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				begun := time.Now()
				status, err := handIn(fmt.Sprintf("m-%d-%d", client, i), (client*257+i)%dests)
				longest.Store(max(longest.Load(), int64(time.Since(begun))))
				switch {
				case err != nil:
					t.Errorf("handing in: %v", err)
					return
				case status == 202:
					taken.Add(1)
				case status != 429:
					t.Errorf("status %d", status)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	testkit.Eventually(t, "load", func() bool { return taken.Load() > 200 })
	asked := len(disc.ListRequestTargets())
	changed := slices.Clone(list)
	for i := range changed { // half of the destinations lose all their endpoints and get others
		if i%dests < dests/2 {
			changed[i] = at(fmt.Sprintf("t-%08x", i), now, i%dests, "Ready")
		}
	}
	disc.SetList(changed...)
	testkit.Eventually(t, "the change in force", func() bool { return len(now.ReceivedIDs()) > 100 })
	more := func(n int64) {
		begun := taken.Load()
		testkit.Eventually(t, "load behind it", func() bool { return taken.Load() > begun+n })
	}
	more(100) // what was on its way has arrived
	before := len(old.ReceivedIDs())
	more(500)
	end()
	for _, id := range old.ReceivedIDs()[before:] {
		var client, i int
		if _, err := fmt.Sscanf(id, "m-%d-%d", &client, &i); err != nil || (client*257+i)%dests < dests/2 {
			t.Errorf("%s went to an endpoint that was replaced", id)
		}
	}
	testkit.Eventually(t, "all delivered", func() bool { return int64(len(old.ReceivedIDs())+len(now.ReceivedIDs())) >= taken.Load()+1 })
	for _, target := range disc.ListRequestTargets()[asked:] {
		if !strings.Contains(target, "after=") {
			t.Error("the whole list was asked for")
		}
	}
	if text := proc.said(); strings.Contains(text, "level=ERROR") || strings.Contains(text, "could not be heard") {
		t.Errorf("the log says\n%s", text)
	}
	if wait := time.Duration(longest.Load()); wait > 5*time.Second { // of a busy machine
		t.Errorf("a client waited %v", wait)
	}
	t.Logf("%d taken on, the longest answer took %v", taken.Load(), time.Duration(longest.Load()))
}

// The bound on a list follows from the memory that the sender has.
func TestMemoryBoundsTheList(t *testing.T) {
	for _, c := range []struct{ memory, disk, most int64 }{{192e6, 3e6, 35_437_500}, {1000e6, 100e6, 168_750_000}, {2e6, 3e6, 1 << 20}} {
		if got := (&config{memory: c.memory, disk: c.disk}).maxList(); got != c.most {
			t.Errorf("%d bytes of memory, %d of files: a list of %d, want %d", c.memory, c.disk, got, c.most)
		}
	}
}

// What a failed watch and a restart cost in bytes from and to discovery does not follow the length of the list; a first start does.
func TestWhatAFailureAndARestartCost(t *testing.T) {
	const n = 20_000
	p := longPlace(t, n)
	var proc *process
	// passed is how much passes from an act on, until the next watch has begun, and what was asked meanwhile.
	passed := func(act func()) (int64, []string) {
		before, asked := p.disc.ListBytes(), len(p.disc.ListRequestTargets())
		act()
		testkit.Eventually(t, "a watch behind a call that does not wait", func() bool {
			all := p.disc.ListRequestTargets()[asked:]
			return len(all) > 1 && strings.Contains(all[len(all)-1], "wait_ms=1500") && !strings.Contains(all[len(all)-2], "wait_ms=1500")
		})
		return p.disc.ListBytes() - before, p.disc.ListRequestTargets()[asked:]
	}
	first, _ := passed(func() { proc = p.launch() })
	if size := int64(len(p.disc.ListJSON())); first < size || first > size+1000 {
		t.Errorf("%d bytes at a first start, the list has %d", first, size)
	}
	p.kept()
	more := func() {
		n := len(p.disc.ListRequestTargets())
		testkit.Eventually(t, "one more watch", func() bool { return len(p.disc.ListRequestTargets()) > n })
	}
	more()
	idle := p.disc.ListBytes()
	more()
	if idle = p.disc.ListBytes() - idle; idle > 300 {
		t.Errorf("%d bytes for a watch with nothing new", idle)
	}
	failed, asked := passed(p.disc.SilenceWatches) // the watch that was just seen to begin
	if failed > 1000 {
		t.Errorf("%d bytes for a failed watch: asked %q", failed, asked)
	}
	p.disc.SetList(append([]platform.Entry{at("changed", p.ep, n, "Ready")}, entriesOf(t, p)...)...)
	p.listed("changed")
	more()
	later, asked := passed(p.disc.SilenceWatches)
	if later > 1500 || later <= failed {
		t.Errorf("%d bytes for a failed watch with a last change to be told again: asked %q", later, asked)
	}
	proc.kill()
	again, asked := passed(func() { proc = p.launch() })
	if again > 1500 {
		t.Errorf("%d bytes at a restart: asked %q", again, asked)
	}
	t.Logf("%d endpoints: %d bytes at a first start, %d for a watch, %d for one that fails, %d with a last change, %d at a restart", n, first, idle, failed, later, again)
}

// entriesOf is discovery's list as it stands.
func entriesOf(t *testing.T, p *place) []platform.Entry {
	t.Helper()
	var list struct{ Hosts []platform.Entry }
	if err := json.Unmarshal(p.disc.ListJSON(), &list); err != nil {
		t.Fatal(err)
	}
	return list.Hosts
}

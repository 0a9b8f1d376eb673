package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// field reads a number that the process's own log or the kernel's status of it names.
func field(t *testing.T, text, pattern string) int {
	t.Helper()
	m := regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1)
	if m == nil {
		t.Fatalf("no %s in %q", pattern, text)
	}
	n, err := strconv.Atoi(m[len(m)-1][1])
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A thousand endpoints, all of which get a message, and a thousand senders by the settings' word: the list comes plain or
// indented, in the configuration and from discovery, and the limits hold. Discovery's list has one endpoint more.
func TestAThousandEndpointsAndSenders(t *testing.T) {
	const n, sockets, megabytes = 1024, 128, 192
	for name, indented := range map[string]bool{"plain": false, "indented": true} {
		t.Run(name, func(t *testing.T) {
			p := newPlace(t, nil)
			var list []platform.Entry
			for i := range n {
				list = append(list, platform.Entry{Host: fmt.Sprintf("s-%08x", i), Dial: p.ep.Addr(), Site: "here", Class: "any", Block: i,
					Health: "Ready", Share: 1})
			}
			if indented {
				p.disc.Indent()
			}
			p.disc.Set(list...)
			p.configure(func(c map[string]any) {
				c["known"] = json.RawMessage(p.disc.List())
				c["limits"] = map[string]any{"cores": 1, "memory_mb": megabytes, "sockets": sockets, "disk_mb": 3}
				c["settings"].(map[string]any)["balancers"] = n
			})
			if indented {
				text, err := os.ReadFile(p.config)
				if err != nil {
					t.Fatal(err)
				}
				var c map[string]any
				if err := json.Unmarshal(text, &c); err != nil {
					t.Fatal(err)
				}
				if text, err = json.MarshalIndent(c, "", "    "); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(p.config, text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			p.disc.Set(append(list, platform.Entry{Host: "s-last", Dial: p.ep.Addr(), Site: "here", Class: "any", Block: n, Health: "Ready"})...)
			proc := p.launch()
			for i := range n + 1 {
				text := strings.Replace(handIn(fmt.Sprint("m", i), "stock", 16000), "dest=7", fmt.Sprint("dest=", i), 1)
				if r, err := p.ask(text); err != nil || r.Status != 202 {
					t.Fatalf("destination %d: %+v, %v", i, r, err)
				}
			}
			testkit.Eventually(t, "delivered", func() bool { return len(p.ep.Received()) >= n+1 })
			fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", proc.Process.Pid))
			if err != nil || len(fds) == 0 || len(fds) > sockets {
				t.Errorf("%d descriptors (%v), want %d at most", len(fds), err, sockets)
			}
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
			if err != nil {
				t.Fatal(err)
			}
			if mb := field(t, string(status), `VmHWM:\s+(\d+) kB`) / 1000; mb > megabytes {
				t.Errorf("%d MB resident at most, want %d", mb, megabytes)
			}
			proc.Process.Signal(syscall.SIGUSR1)
			testkit.Eventually(t, "counters", func() bool { return strings.Contains(proc.said(), "goroutines=") })
			if got := field(t, proc.said(), `goroutines=(\d+)`); got > sockets {
				t.Errorf("%d goroutines, want fewer than the %d sockets allowed", got, sockets)
			}
			if failed := field(t, proc.said(), `discovery.failed=(\d+)`); failed != 0 {
				t.Errorf("%d lists could not be read", failed)
			}
		})
	}
}

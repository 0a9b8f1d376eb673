package main

import (
	"bytes"
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

// numberIn returns the number in the last match of a pattern in a log or in a /proc status file.
func numberIn(t testing.TB, text, pattern string) int {
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

// A sender with a list of 1,025 endpoints, each of which gets a message, and with settings for 1,024 senders keeps
// within its limits. The lists in the configuration and from discovery are plain or indented. Discovery's list has one
// endpoint more.
func TestThousandEndpointsAndSenders(t *testing.T) {
	const n, sockets, megabytes = 1024, 128, 192
	for name, indent := range map[string]string{"plain": "", "indented": "  "} {
		p := newPlatformFixture(t, nil)
		list := make([]platform.Entry, n+1)
		for i := range list {
			list[i] = entryAt(fmt.Sprintf("s-%08x", i), p.ep, i, "Ready")
			list[i].Share = 1
		}
		p.disc.SetIndent(indent)
		p.disc.SetList(list[:n]...)
		p.configure(func(c map[string]any) {
			c["known"] = json.RawMessage(p.disc.ListJSON())
			c["limits"] = map[string]any{"cores": 1, "memory_mb": megabytes, "sockets": sockets, "disk_mb": 3}
			c["settings"].(map[string]any)["balancers"] = n
		})
		var config bytes.Buffer
		text, err := os.ReadFile(p.config)
		if err == nil && indent != "" {
			if err = json.Indent(&config, text, "", indent); err == nil {
				err = os.WriteFile(p.config, config.Bytes(), 0o600)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
		p.disc.SetList(list...)
		proc := p.launch()
		for i := range list {
			text := strings.Replace(submitRequest(fmt.Sprint("m", i), "stock", 16000), "dest=7", fmt.Sprint("dest=", i), 1)
			if r, err := p.request(text); err != nil || r.Status != 202 {
				t.Fatalf("%s, destination %d: %+v, %v", name, i, r, err)
			}
		}
		testkit.Eventually(t, "delivered", func() bool { return len(p.ep.ReceivedIDs()) >= len(list) })
		proc.Process.Signal(syscall.SIGUSR1)
		testkit.Eventually(t, "logged the counters", func() bool { return strings.Contains(proc.logged(), "goroutines=") })
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", proc.Process.Pid))
		mb := numberIn(t, string(status), `VmHWM:\s+(\d+) kB`) / 1000
		routines := numberIn(t, proc.logged(), `goroutines=(\d+)`)
		failed := numberIn(t, proc.logged(), `discovery.failed=(\d+)`)
		if err != nil || len(fds) == 0 || len(fds) > sockets || mb > megabytes || routines > sockets || failed > 0 {
			t.Errorf("%s: %d descriptors (%v), %d MB peak, %d goroutines, %d failed requests for the list; limits are %d, %d and %d",
				name, len(fds), err, mb, routines, failed, sockets, megabytes, sockets)
		}
	}
}

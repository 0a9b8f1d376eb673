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

// field reads a number that the process's own log or the kernel's status of it names.
func field(t testing.TB, text, pattern string) int {
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
	for name, indent := range map[string]string{"plain": "", "indented": "  "} {
		p := newPlace(t, nil)
		list := make([]platform.Entry, n+1)
		for i := range list {
			list[i] = platform.Entry{Host: fmt.Sprintf("s-%08x", i), Dial: p.ep.Addr(), Site: "here", Class: "any", Block: i, Health: "Ready", Share: 1}
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
			text := strings.Replace(handIn(fmt.Sprint("m", i), "stock", 16000), "dest=7", fmt.Sprint("dest=", i), 1)
			if r, err := p.ask(text); err != nil || r.Status != 202 {
				t.Fatalf("%s, destination %d: %+v, %v", name, i, r, err)
			}
		}
		testkit.Eventually(t, "delivered", func() bool { return len(p.ep.ReceivedIDs()) >= len(list) })
		proc.Process.Signal(syscall.SIGUSR1)
		testkit.Eventually(t, "counters", func() bool { return strings.Contains(proc.said(), "goroutines=") })
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", proc.Process.Pid))
		mb, routines, failed := field(t, string(status), `VmHWM:\s+(\d+) kB`)/1000, field(t, proc.said(), `goroutines=(\d+)`), field(t, proc.said(), `discovery.failed=(\d+)`)
		if err != nil || len(fds) == 0 || len(fds) > sockets || mb > megabytes || routines > sockets || failed > 0 {
			t.Errorf("%s: %d descriptors (%v), %d MB at most, %d goroutines, %d lists not read; allowed are %d, %d and %d",
				name, len(fds), err, mb, routines, failed, sockets, megabytes, sockets)
		}
	}
}

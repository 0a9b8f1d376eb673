package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eiderhaven/internal/testkit"
	"eiderhaven/standin/platform"
)

// longListFixture returns an environment whose discovery lists n endpoints, one for each destination, all at one
// address.
func longListFixture(b testing.TB, n int) *platformFixture {
	b.Helper()
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		b.Fatal(err)
	}
	list := make([]platform.Entry, n)
	for i := range list {
		list[i] = entryAt(fmt.Sprintf("s-%08x", i), ep, i, "Ready")
		list[i].Share = 1
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", list...)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ep.Close(); disc.Close() })
	disc.KeepChanges(1000)
	p := fixtureFor(b, disc)
	p.ep = ep
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
		c["limits"] = map[string]any{"cores": 1, "memory_mb": 768, "sockets": 1024, "disk_mb": 100}
	})
	return p
}

// listInForce reports whether the list is in force, that is, whether the destination of its last endpoint is known.
func (p *platformFixture) listInForce(id string, dest int) bool {
	r, err := p.request(strings.Replace(submitRequest(id, "stock", 16000), "dest=7", fmt.Sprint("dest=", dest), 1))
	return err == nil && r.Status != 400
}

// waitForSavedList waits until the size of the list files has not changed for a second.
func (p *platformFixture) waitForSavedList() {
	size, since := int64(-1), time.Now()
	testkit.Eventually(p.t, "stopped changing the list file", func() bool {
		var now int64
		files, _ := filepath.Glob(filepath.Join(p.state, "*.list*"))
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				now += info.Size()
			}
		}
		if now != size {
			size, since = now, time.Now()
		}
		return time.Since(since) > time.Second
	})
}

// BenchmarkStart measures a start of the real process: the times until it is ready and until the list is in force
// (negative if it never is), the bytes from and to discovery for that, and the memory. The list comes whole from
// discovery, is left by an earlier process, or stands in the configuration.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		for _, listFrom := range []string{"whole", "left", "known"} {
			b.Run(fmt.Sprintf("%d/%s", n, listFrom), func(b *testing.B) {
				p := longListFixture(b, n)
				if listFrom == "known" {
					p.configure(func(c map[string]any) { c["known"] = json.RawMessage(p.disc.ListJSON()) })
				}
				if listFrom == "left" {
					proc := p.launch()
					p.waitForSavedList()
					proc.Process.Kill()
					proc.exit()
				}
				var ready, inForce, bytes, resident, peak float64
				for i := 0; b.Loop(); i++ {
					if listFrom == "whole" {
						p.state = b.TempDir()
					}
					before, begun := p.disc.ListBytes(), time.Now()
					proc := p.startCommand(os.Args[0])
					at := time.Duration(-1)
					for at < 0 && time.Since(begun) < 20*time.Second {
						r, err := p.request("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
						if err == nil && r.Status == 200 {
							at = time.Since(begun)
						}
						time.Sleep(time.Millisecond)
					}
					ready += at.Seconds() * 1e3
					at = time.Duration(-1 * time.Second)
					for k := 0; at < 0 && time.Since(begun) < 10*time.Second; k++ {
						if p.listInForce(fmt.Sprintf("b-%d-%d", i, k), n-1) {
							at = time.Since(begun)
						}
						time.Sleep(time.Millisecond)
					}
					inForce += at.Seconds() * 1e3
					p.waitForSavedList() // no requests but watches from here on
					bytes += float64(p.disc.ListBytes() - before)
					status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
					if err != nil {
						b.Fatal(err)
					}
					resident += float64(numberIn(b, string(status), `VmRSS:\s+(\d+) kB`)) / 1000
					peak += float64(numberIn(b, string(status), `VmHWM:\s+(\d+) kB`)) / 1000
					proc.Process.Kill()
					proc.exit()
				}
				runs := float64(b.N)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(ready/runs, "ready_ms")
				b.ReportMetric(inForce/runs, "in_force_ms")
				b.ReportMetric(bytes/runs, "discovery_bytes")
				b.ReportMetric(resident/runs, "resident_MB")
				b.ReportMetric(peak/runs, "peak_MB")
			})
		}
	}
}

// BenchmarkFailedWatch measures the bytes from and to discovery in a minute in which one watch gets no answer. It
// measures a span without and a span with such a watch, and converts to a minute.
func BenchmarkFailedWatch(b *testing.B) {
	for _, n := range []int{20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := longListFixture(b, n)
			p.launch()
			begun := time.Now()
			for k := 0; !p.listInForce(fmt.Sprint("b-", k), n-1); k++ {
				if time.Since(begun) > 10*time.Second {
					break // a list that is never in force costs requests too
				}
				time.Sleep(10 * time.Millisecond)
			}
			p.waitForSavedList()
			bytesDuring := func(d time.Duration, do func()) float64 {
				before := p.disc.ListBytes()
				do()
				time.Sleep(d)
				return float64(p.disc.ListBytes() - before)
			}
			const span = 9 * time.Second
			var idle, failing float64
			for b.Loop() {
				idle += bytesDuring(span, func() {})
				failing += bytesDuring(span, p.disc.SilenceWatches)
			}
			perMinute := idle / float64(b.N) * float64(time.Minute) / float64(span)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(perMinute, "idle_bytes/min")
			b.ReportMetric(perMinute+(failing-idle)/float64(b.N), "bytes/min")
			b.ReportMetric((perMinute+(failing-idle)/float64(b.N))/60, "bytes/s")
		})
	}
}

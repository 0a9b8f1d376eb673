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

// longPlace is a place before a discovery of so many endpoints, each of a destination of its own, all at one address.
func longPlace(b testing.TB, n int) *place {
	b.Helper()
	ep, err := platform.NewEndpoint("127.0.0.1:0", nil)
	if err != nil {
		b.Fatal(err)
	}
	list := make([]platform.Entry, n)
	for i := range list {
		list[i] = platform.Entry{Host: fmt.Sprintf("s-%08x", i), Dial: ep.Addr(), Site: "here", Class: "any", Block: i, Health: "Ready", Share: 1}
	}
	disc, err := platform.NewDiscovery("127.0.0.1:0", list...)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ep.Close(); disc.Close() })
	disc.KeepChanges(1000)
	p := placeAt(b, disc)
	p.ep = ep
	p.configure(func(c map[string]any) {
		c["known"] = json.RawMessage(`{"seq":0,"whole":true,"hosts":[]}`)
		c["limits"] = map[string]any{"cores": 1, "memory_mb": 768, "sockets": 1024, "disk_mb": 100}
	})
	return p
}

// inForce tells whether the list is: the destination of its last endpoint is known.
func (p *place) inForce(id string, dest int) bool {
	r, err := p.ask(strings.Replace(handIn(id, "stock", 16000), "dest=7", fmt.Sprint("dest=", dest), 1))
	return err == nil && r.Status != 400
}

// kept waits until the folder holds something of a list, and has not grown for a moment; without such a file, for that moment.
func (p *place) kept() {
	size, since := int64(-1), time.Now()
	testkit.Eventually(p.t, "kept", func() bool {
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

// BenchmarkStart is a start of the real process: until it is ready, until the list is in force (negative if it never is), what passes from and to
// discovery for that, and what the process takes. The list comes whole, or lies there from an earlier process, or in the configuration.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{30, 20_000, 210_000} {
		for _, from := range []string{"whole", "left", "known"} {
			b.Run(fmt.Sprintf("%d/%s", n, from), func(b *testing.B) {
				p := longPlace(b, n)
				if from == "known" {
					p.configure(func(c map[string]any) { c["known"] = json.RawMessage(p.disc.ListJSON()) })
				}
				if from == "left" {
					proc := p.launch()
					p.kept()
					proc.Process.Kill()
					proc.exit()
				}
				var ready, force, bytes, resident, most float64
				for i := 0; b.Loop(); i++ {
					if from == "whole" {
						p.state = b.TempDir()
					}
					before, begun := p.disc.ListBytes(), time.Now()
					proc := p.startBy(os.Args[0])
					at := time.Duration(-1)
					for at < 0 && time.Since(begun) < 20*time.Second {
						r, err := p.ask("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
						if err == nil && r.Status == 200 {
							at = time.Since(begun)
						}
						time.Sleep(time.Millisecond)
					}
					ready += at.Seconds() * 1e3
					at = time.Duration(-1 * time.Second)
					for k := 0; at < 0 && time.Since(begun) < 10*time.Second; k++ {
						if p.inForce(fmt.Sprintf("b-%d-%d", i, k), n-1) {
							at = time.Since(begun)
						}
						time.Sleep(time.Millisecond)
					}
					force += at.Seconds() * 1e3
					p.kept() // and quiet
					bytes += float64(p.disc.ListBytes() - before)
					status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", proc.Process.Pid))
					if err != nil {
						b.Fatal(err)
					}
					resident += float64(field(b, string(status), `VmRSS:\s+(\d+) kB`)) / 1000
					most += float64(field(b, string(status), `VmHWM:\s+(\d+) kB`)) / 1000
					proc.Process.Kill()
					proc.exit()
				}
				k := float64(b.N)
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(ready/k, "ready_ms")
				b.ReportMetric(force/k, "in_force_ms")
				b.ReportMetric(bytes/k, "discovery_bytes")
				b.ReportMetric(resident/k, "resident_MB")
				b.ReportMetric(most/k, "peak_MB")
			})
		}
	}
}

// BenchmarkFailedWatch is what passes from and to discovery in a minute in which one watch falls silent: measured over a while without
// and a while with one, and reckoned to a minute. In between the list changes once, as lists do.
func BenchmarkFailedWatch(b *testing.B) {
	for _, n := range []int{20_000, 210_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := longPlace(b, n)
			p.launch()
			begun := time.Now()
			for k := 0; !p.inForce(fmt.Sprint("b-", k), n-1); k++ {
				if time.Since(begun) > 10*time.Second {
					break // it never is; what is asked for in vain counts too
				}
				time.Sleep(10 * time.Millisecond)
			}
			p.kept()
			over := func(d time.Duration, do func()) float64 {
				before := p.disc.ListBytes()
				do()
				time.Sleep(d)
				return float64(p.disc.ListBytes() - before)
			}
			const while = 9 * time.Second
			var idle, failing float64
			for b.Loop() {
				idle += over(while, func() {})
				failing += over(while, p.disc.SilenceWatches)
			}
			perMinute := idle / float64(b.N) * float64(time.Minute) / float64(while)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(perMinute, "idle_bytes/min")
			b.ReportMetric(perMinute+(failing-idle)/float64(b.N), "bytes/min")
			b.ReportMetric((perMinute+(failing-idle)/float64(b.N))/60, "bytes/s")
		})
	}
}

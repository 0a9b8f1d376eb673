package exchange

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// liveHeapBytes returns the size of the heap after a collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// newWholeListing returns a whole list of n endpoints, in no order of their names.
func newWholeListing(n int) Listing {
	l := Listing{Whole: true, Hosts: make([]Host, n)}
	for i := range l.Hosts {
		l.Hosts[i] = Host{
			Peer: Peer{
				Name: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)),
				Addr: fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, 9000+i%999),
			},
			Dest: i,
			Kind: i % 3,
			Zone: i % 7,
			Rate: 1 + float64(i%50),
		}
	}
	return l
}

// BenchmarkDirectoryMemory measures how much memory the directory uses for 210,000 endpoints, including its copies of
// their names and addresses. It also measures how long it takes to apply the whole list, for the first time and when
// all endpoints are already known.
func BenchmarkDirectoryMemory(b *testing.B) {
	const endpoints = 210_000
	updateMillis := func(d *directory) float64 {
		l := newWholeListing(endpoints)
		start := time.Now()
		d.update(l)
		return time.Since(start).Seconds() * 1000
	}
	for b.Loop() {
		before := liveHeapBytes()
		d := newDirectory()
		first := updateMillis(d)
		again := updateMillis(d)
		b.ReportMetric((liveHeapBytes()-before)/endpoints, "B/listed")
		b.ReportMetric(first, "ms/first")
		b.ReportMetric(again, "ms/again")
		runtime.KeepAlive(d)
	}
}

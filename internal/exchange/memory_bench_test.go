package exchange

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// inUse is what of the heap is in use after a collection.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func newWholeListing(n int) Listing {
	l := Listing{Whole: true, Hosts: make([]Host, n)}
	for i := range l.Hosts {
		l.Hosts[i] = Host{Peer: Peer{Name: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Addr: fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, 9000+i%999)},
			Dest: i, Kind: i % 3, Zone: i % 7, Rate: 1 + float64(i%50)}
	}
	return l
}

// BenchmarkDirectoryMemory is what the exchange keeps of 210,000 endpoints, its copies of their names and addresses with it, and
// how long it takes to take in the whole list, at first and when it is known already.
func BenchmarkDirectoryMemory(b *testing.B) {
	const listed = 210_000
	timed := func(d *directory) float64 {
		l := newWholeListing(listed)
		began := time.Now()
		d.update(l)
		return time.Since(began).Seconds() * 1000
	}
	for b.Loop() {
		start := liveHeapBytes()
		d := newDirectory()
		first := timed(d)
		again := timed(d)
		b.ReportMetric((liveHeapBytes()-start)/listed, "B/listed")
		b.ReportMetric(first, "ms/first")
		b.ReportMetric(again, "ms/again")
		runtime.KeepAlive(d)
	}
}

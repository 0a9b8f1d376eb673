package exchange

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"eiderhaven/rules"
)

// referenceDirectory does what directory does, with plain maps.
type referenceDirectory struct {
	lastID rules.EndpointID
	ids    map[string]rules.EndpointID
	hosts  map[rules.EndpointID]Host
	dests  map[int]bool
}

func (d *referenceDirectory) update(l Listing) (out rules.ListUpdate, unreachable []Peer) {
	out = rules.ListUpdate{Whole: l.Whole, Entries: []rules.Entry{}}
	listed := map[rules.EndpointID]bool{}
	for _, h := range l.Hosts {
		id := d.ids[h.Name]
		old := d.hosts[id]
		if h.Gone {
			if id == 0 {
				continue
			}
			h = old
			h.Gone = true
		}
		if id == 0 {
			d.lastID++
			id = d.lastID
			d.ids[h.Name] = id
		} else if h.Gone || old.Addr != h.Addr {
			unreachable = append(unreachable, old.Peer)
		}
		listed[id] = true
		d.hosts[id] = h
		d.dests[h.Dest] = true
		out.Entries = append(out.Entries, rules.Entry{
			Endpoint:    id,
			Destination: h.Dest,
			Kind:        h.Kind,
			Zone:        h.Zone,
			ListedRate:  h.Rate,
			Draining:    h.Draining && !h.Gone,
			Gone:        h.Gone,
		})
	}
	if l.Whole {
		for _, id := range slices.Sorted(maps.Keys(d.hosts)) {
			if !listed[id] {
				unreachable = append(unreachable, d.hosts[id].Peer)
			}
		}
	}
	return out, unreachable
}

// TestDirectoryMatchesReference compares a directory with plain maps over random whole lists and changes. Endpoints
// drain, leave, move, come back, are listed twice and are forgotten. Some have names or numbers that do not fit a
// row.
func TestDirectoryMatchesReference(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 0))
		size := 3 << seed // up to 1,536 endpoints
		name := func() string {
			n := rng.IntN(size)
			if n%97 == 5 {
				return strings.Repeat(fmt.Sprint("long ", n), 1+n%4000)
			}
			return fmt.Sprint("s-", n)
		}
		d := newDirectory()
		want := &referenceDirectory{
			ids:   map[string]rules.EndpointID{},
			hosts: map[rules.EndpointID]Host{},
			dests: map[int]bool{},
		}
		for step := range 60 {
			l := Listing{Whole: rng.IntN(4) == 0}
			for range rng.IntN(1 + size) {
				h := Host{
					Peer:     Peer{name(), fmt.Sprint("10.0.0.1:", rng.IntN(3))},
					Dest:     rng.IntN(300) - 100,
					Kind:     rng.IntN(4),
					Zone:     rng.IntN(8),
					Rate:     rng.Float64(),
					Draining: rng.IntN(8) == 0,
					Gone:     rng.IntN(6) == 0,
				}
				switch rng.IntN(100) {
				case 0:
					h.Dest = 1<<40 + rng.IntN(9)
				case 1:
					h.Kind = overflowKind + rng.IntN(3)
				case 2:
					h.Zone = 1<<16 + rng.IntN(3)
				case 3:
					h.Name, h.Addr = "", ""
				}
				l.Hosts = append(l.Hosts, h)
			}
			got, unreachable := d.update(l)
			wantUpdate, wantUnreachable := want.update(l)
			if diff := cmp.Diff(wantUpdate, got) + cmp.Diff(wantUnreachable, unreachable); diff != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, diff)
			}
			for id := range want.hosts {
				if rng.IntN(3) == 0 {
					d.forget(id)
					d.forget(id)
					delete(want.ids, want.hosts[id].Name)
					delete(want.hosts, id)
				}
			}
			for id := rules.EndpointID(0); id < want.lastID+2; id++ {
				h := want.hosts[id]
				h.Draining, h.Gone = false, false
				got := d.host(id)
				got.Draining, got.Gone = false, false
				if got != h {
					t.Fatalf("seed %d, step %d: host %d is %.60v, want %.60v", seed, step, id, got, h)
				}
				if n := d.idByName(h.Name); n != want.ids[h.Name] {
					t.Fatalf("seed %d, step %d: %.30q has ID %d, want %d", seed, step, h.Name, n, want.ids[h.Name])
				}
			}
			for dest := -130; dest < 230; dest++ {
				if d.knowsDest(dest) != want.dests[dest] {
					t.Fatalf("seed %d, step %d: destination %d known: %v", seed, step, dest, d.knowsDest(dest))
				}
			}
			overflowRows := slices.DeleteFunc(slices.Clone(d.rows), func(r row) bool { return r.kind != overflowKind })
			if len(overflowRows) != len(d.overflow) {
				t.Fatalf("seed %d, step %d: %d overflow hosts for %d rows that need one",
					seed, step, len(d.overflow), len(overflowRows))
			}
			if len(d.rows) > 2*len(want.hosts)+64 || d.arena.size > 2*(d.arena.size-d.arena.deadBytes)+chunkSize {
				t.Fatalf("seed %d, step %d: %d rows for %d endpoints, %d bytes in the arena, %d of them dead",
					seed, step, len(d.rows), len(want.hosts), d.arena.size, d.arena.deadBytes)
			}
		}
	}
}

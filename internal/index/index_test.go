package index

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestIndexMatchesMap compares an index with a map over random additions, replacements and removals.
func TestIndexMatchesMap(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var keys []string
		x := New(func(at uint32) string { return keys[at] })
		want := map[string]uint32{}
		if seed%2 == 1 {
			x.Reserve(300)
		}
		for step := range 4000 {
			k := fmt.Sprint(rng.IntN(1 + int(seed)*30))
			if rng.IntN(5) < 2 {
				x.Remove(k)
				delete(want, k)
			} else {
				keys = append(keys, k)
				x.Put(uint32(len(keys) - 1))
				want[k] = uint32(len(keys) - 1)
			}
			k = fmt.Sprint(rng.IntN(1 + int(seed)*30))
			at, known := x.Find(k)
			if w, ok := want[k]; known != ok || ok && at != w || x.Len() != len(want) {
				t.Fatalf("seed %d, step %d: %q found at %d (known %v) among %d keys, want %d (known %v) among %d",
					seed, step, k, at, known, x.Len(), w, ok, len(want))
			}
		}
		for k, w := range want {
			if at, known := x.Find(k); !known || at != w {
				t.Errorf("seed %d: %q found at %d (known %v), want %d", seed, k, at, known, w)
			}
		}
	}
}

package clock

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestOrderDoesNotDependOnInsertion puts the same events of several actors in by any interleaving.
func TestOrderDoesNotDependOnInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type planned struct {
			actor int
			phase Phase
			at    time.Duration
		}
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) planned {
			return planned{rapid.IntRange(0, 3).Draw(t, "actor"), Phase(rapid.IntRange(0, 7).Draw(t, "phase")),
				time.Duration(rapid.IntRange(0, 4).Draw(t, "at"))}
		}), 0, 60).Draw(t, "plan")
		play := func(order []planned) []string {
			var q Queue
			lines, seen := map[[2]int]*Scheduler{}, map[[2]int]int{}
			var log []string
			for _, p := range order {
				key := [2]int{p.actor, int(p.phase)}
				if lines[key] == nil {
					lines[key] = q.NewScheduler(p.phase, p.actor)
				}
				seen[key]++
				n := seen[key]
				lines[key].At(p.at, func() { log = append(log, fmt.Sprint(q.Now(), p.phase, p.actor, n)) })
			}
			if err := q.Run(time.Second, 1000); err != nil {
				t.Fatal(err)
			}
			return log
		}
		// Any merge of the actors' own sequences: shuffle, then keep each line's order.
		byLine := map[[2]int][]planned{}
		for _, p := range plan {
			key := [2]int{p.actor, int(p.phase)}
			byLine[key] = append(byLine[key], p)
		}
		var shuffled []planned
		for _, p := range rapid.Permutation(plan).Draw(t, "shuffled") {
			key := [2]int{p.actor, int(p.phase)}
			shuffled = append(shuffled, byLine[key][0])
			byLine[key] = byLine[key][1:]
		}
		if diff := cmp.Diff(play(plan), play(shuffled)); diff != "" {
			t.Fatalf("order changed with insertion:\n%s", diff)
		}
	})
}

func TestThePastCountsAsNow(t *testing.T) {
	var q Queue
	line := q.NewScheduler(Timer, 0)
	var at time.Duration
	line.At(5, func() { line.At(3, func() { at = q.Now() }) })
	if err := q.Run(10, 10); err != nil || at != 5 || q.Late() != 1 || q.Now() != 10 {
		t.Errorf("fired at %d, late %d, now %d, %v; want 5, 1, 10", at, q.Late(), q.Now(), err)
	}
}

func TestARunStopsAtItsBound(t *testing.T) {
	var q Queue
	line := q.NewScheduler(Timer, 0)
	var again func()
	again = func() { line.After(0, again) }
	again()
	var many *EventLimitError
	if err := q.Run(time.Second, 100); !errors.As(err, &many) || many.Events != 100 {
		t.Errorf("got %v, want the bound of 100 events", err)
	}
}

func BenchmarkQueue(b *testing.B) {
	var q Queue
	line := q.NewScheduler(Timer, 0)
	for i := range 100_000 {
		var again func()
		again = func() { line.After(time.Duration(i%977)+1, again) }
		line.At(time.Duration(i), again)
	}
	b.ResetTimer()
	_ = q.Run(time.Hour, uint64(b.N))
}

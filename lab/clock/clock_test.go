package clock

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestOrderDoesNotDependOnInsertion inserts the same events of several actors in different interleavings.
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
		run := func(order []planned) []string {
			var q Queue
			schedulers, scheduled := map[[2]int]*Scheduler{}, map[[2]int]int{}
			var log []string
			for _, p := range order {
				key := [2]int{p.actor, int(p.phase)}
				if schedulers[key] == nil {
					schedulers[key] = q.NewScheduler(p.phase, p.actor)
				}
				scheduled[key]++
				n := scheduled[key]
				schedulers[key].At(p.at, func() { log = append(log, fmt.Sprint(q.Now(), p.phase, p.actor, n)) })
			}
			if err := q.Run(time.Second, 1000); err != nil {
				t.Fatal(err)
			}
			return log
		}
		// Shuffle the events, but keep the order within each scheduler.
		byScheduler := map[[2]int][]planned{}
		for _, p := range plan {
			key := [2]int{p.actor, int(p.phase)}
			byScheduler[key] = append(byScheduler[key], p)
		}
		var shuffled []planned
		for _, p := range rapid.Permutation(plan).Draw(t, "shuffled") {
			key := [2]int{p.actor, int(p.phase)}
			shuffled = append(shuffled, byScheduler[key][0])
			byScheduler[key] = byScheduler[key][1:]
		}
		if diff := cmp.Diff(run(plan), run(shuffled)); diff != "" {
			t.Fatalf("order changed with insertion:\n%s", diff)
		}
	})
}

func TestEventInThePastFiresNow(t *testing.T) {
	var q Queue
	scheduler := q.NewScheduler(Timer, 0)
	var at time.Duration
	scheduler.At(5, func() { scheduler.At(3, func() { at = q.Now() }) })
	if err := q.Run(10, 10); err != nil || at != 5 || q.Late() != 1 || q.Now() != 10 {
		t.Errorf("fired at %d, late %d, now %d, error %v; want 5, 1, 10, nil", at, q.Late(), q.Now(), err)
	}
}

func TestRunStopsAtEventLimit(t *testing.T) {
	var q Queue
	scheduler := q.NewScheduler(Timer, 0)
	var again func()
	again = func() { scheduler.After(0, again) }
	again()
	var limit *EventLimitError
	if err := q.Run(time.Second, 100); !errors.As(err, &limit) || limit.Events != 100 {
		t.Errorf("got %v, want an error at the limit of 100 events", err)
	}
}

func BenchmarkQueue(b *testing.B) {
	var q Queue
	scheduler := q.NewScheduler(Timer, 0)
	for i := range 100_000 {
		var again func()
		again = func() { scheduler.After(time.Duration(i%977)+1, again) }
		scheduler.At(time.Duration(i), again)
	}
	b.ResetTimer()
	_ = q.Run(time.Hour, uint64(b.N))
}

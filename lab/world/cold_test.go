package world

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"eiderhaven/lab/scenario"
)

// testColdRecovery simulates an outage of 8 s of a destination that serves 20 calls per second and is sent 14, for a
// number of senders. The destination recovers cold and collapses for good as soon as all senders together send more
// within any window than its budget N plus 2 times the root of N plus 2, which the platform puts down to chance. It
// must never collapse, whichever senders saw the outage.
func testColdRecovery(t *testing.T, senders int, kind string) {
	for seed := range uint64(4) {
		s := load(t, "../scenarios/hundreds.toml", "senders.count", fmt.Sprint(senders),
			"kind.partner.servers", "1", "kind.partner.service", `{ dist = "exponential", mean = "50ms" }`,
			"traffic.rate", "14", "rules.cold_share", "0.2", "rules.warm_up", "10s", "rules.fall_chance", "2")
		s.Troubles = []scenario.Trouble{troubleOnAll(kind, 8*time.Second, 1)}
		t.Run(fmt.Sprint(senders, " ", kind), func(t *testing.T) {
			t.Parallel()
			r, err := Run(s, Options{Seed: seed, Workers: 1})
			if err != nil {
				t.Fatal(err)
			}
			for _, b := range r.Violations {
				t.Errorf("seed %d: %v\n\t%s", seed, b, strings.Join(b.Trail, "\n\t"))
			}
			if r.UnitsOverloaded > 0 || r.Whole < 0.72 {
				t.Errorf("seed %d: %d units collapsed, served %.3f; want none and at least 0.72", seed, r.UnitsOverloaded, r.Whole)
			}
		})
	}
}

func TestColdRecovery(t *testing.T) {
	for _, kind := range []string{"crash", "errors", "shut", "hang"} {
		for _, senders := range []int{2, 12, 13, 20, 30, 31, 60, 100, 150, 300} {
			testColdRecovery(t, senders, kind)
		}
	}
	for _, senders := range []int{2, 12, 13, 20, 30, 31, 60} {
		testColdRecovery(t, senders, "vanish")
	}
}

func TestColdRecoveryOfLargeFleetsAfterVanish(t *testing.T) {
	for _, senders := range []int{100, 150, 300} {
		testColdRecovery(t, senders, "vanish")
	}
}

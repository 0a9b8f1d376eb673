package rig

import (
	"fmt"
	"testing"
)

// Guards against the incident in which a message was sent on after its end was told of: kills, stops, failing folders, IDs
// that come again, clients that leave and slow ways overlap, with one of the seeds beside a crowd.
func TestSoakOfEnds(t *testing.T) {
	for _, seed := range []uint64{1, 4} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := playSeed(t, "../plans/rig-soak-ends.toml", seed)
			if d := r.Disturbances; d.FolderFailures < 10 || d.RepeatedIDs < 50 || d.LeavingClients < 10 {
				t.Errorf("%+v: too few for this test", d)
			}
		})
	}
}

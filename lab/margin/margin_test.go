package margin

import (
	"math"
	"testing"

	"eiderhaven/lab/receiver"
)

func TestMarginOneIsTheViolationThreshold(t *testing.T) {
	window := []receiver.Arrival{{Sender: 1, Weight: 5}, {Sender: 2, Weight: 4}, {Sender: 1, Weight: 3}}
	if got := Of(window, 12, func(sender int) bool { return sender == 1 }); math.Abs(got-1) > 1e-9 {
		t.Errorf("8 informed calls where 12 are allowed: %v, want 1", got)
	}
}

func TestSummarizeReportsTheTail(t *testing.T) {
	var margins []float64
	for i := range 200 {
		margins = append(margins, float64(i)/200)
	}
	got := Summarize(margins)
	if got.Returns != 200 || got.Max != 0.995 || got.P99 != 0.985 || got.High != 39 || math.Abs(got.Mean-0.4975) > 1e-9 {
		t.Errorf("%+v", got)
	}
	if none := Summarize(nil); none != (Summary{}) {
		t.Errorf("no returns: %+v", none)
	}
}

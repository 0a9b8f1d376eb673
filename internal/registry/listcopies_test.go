package registry

import (
	"net"
	"testing"
	"time"

	"eiderhaven/internal/testkit"
)

// Guards against an endpoint that is called after it was listed as draining: a second copy of an earlier list, taken for
// the answer to the watch, would list it as ready again.
func TestCopyOfAnEarlierListIsNotAdopted(t *testing.T) {
	_, s, _ := follow(t,
		answersWithList(4, true, entryText("a", "Ready")),
		answersWithList(5, false, entryText("a", "Terminating")),
		answersWithList(4, true, entryText("a", "Ready")),       // a copy of the first answer
		answersWithList(6, true, entryText("a", "Terminating")), // to the request on a new connection
		neverAnswers,
	)
	if l := testkit.Receive(t, s.lists, "first list"); l.Hosts[0].Draining {
		t.Errorf("first list: %+v", l)
	}
	for _, what := range []string{"change", "whole list"} {
		if l := testkit.Receive(t, s.lists, what); !l.Hosts[0].Draining {
			t.Errorf("%s: %+v, want the endpoint draining", what, l)
		}
	}
}

// What lies unread before a request is written is no answer to it, and the whole list is fetched on a connection of its
// own: on one that was used before, an earlier list might be taken for it.
func TestUnaskedAnswersOfDiscovery(t *testing.T) {
	var wholeListConns []net.Conn
	conns := map[net.Conn]int{}
	note := func(next answerFunc) answerFunc {
		return func(nc net.Conn, end chan struct{}) {
			conns[nc]++
			if conns[nc] > 1 {
				wholeListConns = append(wholeListConns, nc)
			}
			next(nc, end)
		}
	}
	stale := listText(3, true, entryText("a", "Ready"))
	d, s, r := follow(t,
		note(answersWithList(4, true, entryText("a", "Ready"))),
		func(nc net.Conn, end chan struct{}) { // an empty answer; a copy of an earlier one comes in the pause after it
			answersWithList(4, false)(nc, end)
			time.Sleep(emptyAnswerPause / 4)
			answersWith(stale)(nc, end)
		},
		answersWithList(5, false, entryText("a", "Terminating")),
		answersWith("{}"), // unusable: the whole list is fetched
		note(answersWithList(6, true, entryText("a", "Terminating"))),
		neverAnswers,
	)
	testkit.Receive(t, s.lists, "first list")
	for _, what := range []string{"change", "whole list"} {
		if l := testkit.Receive(t, s.lists, what); !l.Hosts[0].Draining {
			t.Errorf("%s: %+v, want the endpoint draining", what, l)
		}
	}
	testkit.Eventually(t, "watch", func() bool { return d.received.Load() == 6 })
	if len(wholeListConns) != 0 {
		t.Error("a whole list was fetched on a connection that had been used")
	}
	if n := r.Unasked.Load(); n != 1 {
		t.Errorf("%d unasked answers counted, want 1", n)
	}
}

// Package client owns the simulated clients: when they submit messages, for which destination, to which sender, and
// whether they submit a refused message again. Arrivals must depend on no answer: they are drawn from a stream of
// their own, so that every policy gets the same traffic.
package client

import (
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"eiderhaven/lab/clock"
	"eiderhaven/lab/model"
	"eiderhaven/lab/random"
	"eiderhaven/lab/scenario"
	"eiderhaven/rules"
)

// Senders gives clients access to the senders.
type Senders interface {
	// Submit offers a message to a sender; accepted is false if the sender has no room, up is false if it is down.
	Submit(sender int, m *model.Message) (accepted, up bool)
	// FindLive returns the given sender or the next one that is up, or false if none is.
	FindLive(sender int) (int, bool)
}

// Recorder counts what clients submit.
type Recorder interface {
	// MessageSubmitted reports the first try of a message.
	MessageSubmitted(now time.Duration, m *model.Message)
	// MessageTurnedAway reports a message that a sender had no room for.
	MessageTurnedAway(now time.Duration, m *model.Message)
	// MessageResubmitted reports a later try of a message.
	MessageResubmitted(now time.Duration, m *model.Message)
}

// LoadGenerator simulates all clients of a run.
type LoadGenerator struct {
	scenario      *scenario.Scenario
	queue         *clock.Queue
	arrivals      *clock.Scheduler
	resubmissions *clock.Scheduler
	rng           *rand.Rand
	seed          uint64
	senders       Senders
	recorder      Recorder
	destinations  *random.Choice
	classes       *random.Choice
	tenants       *random.Choice
	homeSenders   *random.Choice // the sender that a message is submitted to
	retryWait     random.Distribution
	rescueDelay   random.Distribution
	submitted     int // first tries

	RateFactor float64         // traffic is multiplied by it
	HotShare   map[int]float64 // additional share of all messages, by destination
	hotOrder   []int           // the keys of HotShare, in the order in which they were added
}

// New returns the clients of a run.
func New(s *scenario.Scenario, seed uint64, q *clock.Queue, senders Senders, recorder Recorder) *LoadGenerator {
	g := &LoadGenerator{
		scenario:      s,
		queue:         q,
		arrivals:      q.NewScheduler(clock.Submit, 0),
		resubmissions: q.NewScheduler(clock.Submit, 1),
		rng:           random.Stream(seed, "traffic", 0),
		seed:          seed,
		senders:       senders,
		recorder:      recorder,
		destinations:  random.NewChoice(s.DestinationWeights()),
		retryWait:     s.Traffic.RetryWait.Random(),
		rescueDelay:   s.Traffic.Rescue.Random(),
		RateFactor:    1,
		HotShare:      map[int]float64{},
	}
	var classes, tenants []float64
	for _, x := range s.Classes {
		classes = append(classes, x.Share)
	}
	for _, x := range s.Tenants {
		tenants = append(tenants, x.Share)
	}
	g.classes, g.tenants = random.NewChoice(classes), random.NewChoice(tenants)
	g.homeSenders = random.NewChoice(random.Zipf(s.Senders.Count, s.Senders.Skew))
	return g
}

// Start schedules the first arrival.
func (g *LoadGenerator) Start() {
	if g.scenario.Traffic.Rate > 0 && len(g.scenario.Kinds) > 0 && g.scenario.Run.Length > 0 {
		g.arrivals.At(g.drawGap(), g.arrive)
	}
}

const (
	minRate       = 1e-9 // messages per second; avoids a division by zero
	maxGapSeconds = 1e6  // longest gap between two arrivals
)

// drawGap draws the time until the next arrival. A clump is one arrival, so the rate of arrivals is lowered to keep
// the mean rate of messages at the scenario's value.
func (g *LoadGenerator) drawGap() time.Duration {
	t := g.scenario.Traffic
	rate := t.Rate * g.RateFactor
	if t.Clumps > 0 {
		rate *= 1 - t.Clumps + t.Clumps/float64(t.ClumpSize)
	}
	mean := 1 / max(rate, minRate)
	if t.Arrivals == "even" {
		return time.Duration(mean * float64(time.Second))
	}
	return time.Duration(min(g.rng.ExpFloat64()*mean, maxGapSeconds) * float64(time.Second))
}

// arrive submits the message or the clump of one arrival and schedules the next arrival.
func (g *LoadGenerator) arrive() {
	t := g.scenario.Traffic
	if g.queue.Now() >= g.scenario.Run.Length.D() || t.MaxMessages > 0 && g.submitted >= t.MaxMessages {
		return
	}
	dest := g.drawDestination()
	n := 1
	if t.Clumps > 0 {
		clumpChance := t.Clumps / float64(t.ClumpSize) / (1 - t.Clumps + t.Clumps/float64(t.ClumpSize))
		if g.rng.Float64() < clumpChance {
			n = t.ClumpSize
		}
	}
	for range n {
		g.submitNew(dest)
	}
	g.arrivals.After(g.drawGap(), g.arrive)
}

// AddHotShare adds to the share of all messages that go to a destination; a negative share removes it again.
func (g *LoadGenerator) AddHotShare(dest int, share float64) {
	if _, hot := g.HotShare[dest]; !hot {
		g.hotOrder = append(g.hotOrder, dest)
	}
	g.HotShare[dest] += share
}

func (g *LoadGenerator) drawDestination() int {
	x := g.rng.Float64() // drawn even if no destination is hot, so that a fault shifts no later draw
	dest := g.destinations.Pick(g.rng)
	for _, d := range g.hotOrder {
		if x < g.HotShare[d] {
			return d
		}
		x -= g.HotShare[d]
	}
	return dest
}

// submitNew draws and submits the first try of a message for a destination.
func (g *LoadGenerator) submitNew(dest int) {
	now := g.queue.Now()
	class := g.classes.Pick(g.rng)
	m := &model.Message{
		ID:             rules.MessageID("m" + strconv.Itoa(g.submitted)),
		FirstTry:       g.submitted,
		Dest:           dest,
		Class:          class,
		FirstSubmitted: now,
		Tenant:         g.tenants.Pick(g.rng),
		Deadline:       now + g.scenario.Classes[class].Deadline.D(),
	}
	home := g.homeSenders.Pick(g.rng)
	key := g.rng.IntN(g.scenario.Traffic.Keys)
	if g.scenario.Classes[class].KeepOrder {
		m.Key = strconv.Itoa(dest) + "/" + strconv.Itoa(key)
		home = g.senderOfKey(m.Key) // all messages of a key go to one sender
	}
	g.submitted++
	g.recorder.MessageSubmitted(now, m)
	g.submit(home, m)
}

// senderOfKey returns the sender that gets all messages of an order key.
func (g *LoadGenerator) senderOfKey(key string) int {
	h := fnv.New32a()
	h.Write([]byte(key)) // hash.Hash never returns an error
	return int(h.Sum32() % uint32(g.scenario.Senders.Count))
}

// submit offers a message to a sender, or to another one if that sender is down.
func (g *LoadGenerator) submit(sender int, m *model.Message) {
	accepted, up := g.senders.Submit(sender, m)
	if !up {
		other, found := g.senders.FindLive(sender)
		if !found {
			g.retry(m, sender, 0)
			return
		}
		accepted, _ = g.senders.Submit(other, m)
	}
	if !accepted {
		g.recorder.MessageTurnedAway(g.queue.Now(), m)
		g.retry(m, sender, 0)
	}
}

// MessageEnded notifies a client how its message ended.
func (g *LoadGenerator) MessageEnded(sender int, m *model.Message, end model.End, retryAfter time.Duration) {
	if end == model.Refused {
		g.retry(m, sender, retryAfter)
	}
}

// retry submits a refused message again after a wait, as long as the client has retries and the message has time
// left.
func (g *LoadGenerator) retry(m *model.Message, sender int, retryAfter time.Duration) {
	if m.Try >= g.scenario.Traffic.Retries {
		return
	}
	// A stream of its own gives the same draws for every policy.
	r := random.Stream(g.seed, "client "+strconv.Itoa(m.FirstTry), m.Try+1)
	wait := g.retryWait.Draw(r)
	followsRetryAfter := r.Float64() < g.scenario.Traffic.Follows
	if retryAfter > 0 && followsRetryAfter {
		wait = min(retryAfter, g.scenario.Senders.MaxRetryAfter.D())
	}
	g.resubmit(m, sender, wait)
}

// Rescue submits again a message that a dead sender held, unless it may have taken effect and must not be repeated.
// It reports whether it does.
func (g *LoadGenerator) Rescue(m *model.Message, sender int) bool {
	class := &g.scenario.Classes[m.Class]
	if m.MayHaveRun && class.Effect != "safe" {
		return false
	}
	r := random.Stream(g.seed, "rescue "+strconv.Itoa(m.FirstTry), m.Try)
	g.resubmit(m, sender, g.rescueDelay.Draw(r))
	return true
}

// resubmit schedules the next try of a message, unless its deadline comes first.
func (g *LoadGenerator) resubmit(m *model.Message, sender int, wait time.Duration) {
	at := g.queue.Now() + wait
	if at >= m.Deadline {
		return
	}
	next := *m
	next.Try++
	next.ID = rules.MessageID("m" + strconv.Itoa(m.FirstTry) + "." + strconv.Itoa(next.Try))
	g.resubmissions.At(at, func() {
		g.recorder.MessageResubmitted(g.queue.Now(), &next)
		g.submit(sender, &next)
	})
}

// SubmitClump submits n messages for one destination at once.
func (g *LoadGenerator) SubmitClump(dest, n int) {
	for range n {
		g.submitNew(dest)
	}
}

// Package client owns those who hand messages in: when, for whom, to which sender, and whether they come again. Arrivals
// are drawn ahead of all answers, from a stream of their own, so that every policy meets the same day.
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

// Senders is the way to the senders.
type Senders interface {
	// Hand offers a message to a sender: taken, or no room. up is false if that sender is down.
	Submit(sender int, m *model.Message) (taken, up bool)
	// Live returns a sender that is up and near the given one, or false if none is.
	FindLive(sender int) (int, bool)
}

// Books counts first tries.
type Recorder interface {
	MessageSubmitted(now time.Duration, m *model.Message)
	MessageTurnedAway(now time.Duration, m *model.Message)
	MessageResubmitted(now time.Duration, m *model.Message)
}

// Crowd is all clients of a run.
type LoadGenerator struct {
	s       *scenario.Scenario
	q       *clock.Queue
	line    *clock.Scheduler
	later   *clock.Scheduler
	r       *rand.Rand
	seed    uint64
	senders Senders
	books   Recorder
	dests   *random.Choice
	classes *random.Choice
	tenants *random.Choice
	homes   *random.Choice
	retry   random.Distribution
	rescue  random.Distribution
	sent    int

	RateFactor float64         // traffic is multiplied by it
	HotShare   map[int]float64 // further share of the messages for a destination
	hots       []int           // the same, in the order of becoming hot
}

// New returns the clients of a run.
func New(s *scenario.Scenario, seed uint64, q *clock.Queue, senders Senders, books Recorder) *LoadGenerator {
	c := &LoadGenerator{s: s, q: q, line: q.NewScheduler(clock.Submit, 0), later: q.NewScheduler(clock.Submit, 1), r: random.Stream(seed, "traffic", 0),
		seed: seed, senders: senders, books: books, dests: random.NewChoice(s.DestinationWeights()),
		retry: s.Traffic.RetryWait.Random(), rescue: s.Traffic.Rescue.Random(), RateFactor: 1, HotShare: map[int]float64{}}
	var classes, tenants []float64
	for _, x := range s.Classes {
		classes = append(classes, x.Share)
	}
	for _, x := range s.Tenants {
		tenants = append(tenants, x.Share)
	}
	c.classes, c.tenants = random.NewChoice(classes), random.NewChoice(tenants)
	c.homes = random.NewChoice(random.Zipf(s.Senders.Count, s.Senders.Skew))
	return c
}

// Start begins the arrivals.
func (c *LoadGenerator) Start() {
	if c.s.Traffic.Rate > 0 && len(c.s.Kinds) > 0 && c.s.Run.Length > 0 {
		c.line.At(c.gap(), c.arrive)
	}
}

// gap draws the time until the next arrival. An arrival of a clump stands for all its messages, so that the mean rate of
// messages is the scenario's.
func (c *LoadGenerator) gap() time.Duration {
	t := c.s.Traffic
	rate := t.Rate * c.RateFactor
	if t.Clumps > 0 {
		rate *= 1 - t.Clumps + t.Clumps/float64(t.ClumpSize)
	}
	mean := 1 / max(rate, 1e-9)
	if t.Arrivals == "even" {
		return time.Duration(mean * float64(time.Second))
	}
	return time.Duration(min(c.r.ExpFloat64()*mean, 1e6) * float64(time.Second))
}

func (c *LoadGenerator) arrive() {
	t := c.s.Traffic
	if c.q.Now() >= c.s.Run.Length.D() || t.MaxMessages > 0 && c.sent >= t.MaxMessages {
		return
	}
	dest := c.destination()
	n := 1
	if t.Clumps > 0 {
		perArrival := t.Clumps / float64(t.ClumpSize) / (1 - t.Clumps + t.Clumps/float64(t.ClumpSize))
		if c.r.Float64() < perArrival {
			n = t.ClumpSize
		}
	}
	for range n {
		c.handFirst(dest)
	}
	c.line.After(c.gap(), c.arrive)
}

// Heat gives a destination a further share of the messages, or takes it away again.
func (c *LoadGenerator) AddHotShare(dest int, share float64) {
	if _, hot := c.HotShare[dest]; !hot {
		c.hots = append(c.hots, dest)
	}
	c.HotShare[dest] += share
}

func (c *LoadGenerator) destination() int {
	x := c.r.Float64() // drawn whether or not any is hot, so that a trouble shifts no later draw
	dest := c.dests.Pick(c.r)
	for _, d := range c.hots {
		if x < c.HotShare[d] {
			return d
		}
		x -= c.HotShare[d]
	}
	return dest
}

func (c *LoadGenerator) handFirst(dest int) {
	now := c.q.Now()
	class := c.classes.Pick(c.r)
	m := &model.Message{ID: rules.MessageID("m" + strconv.Itoa(c.sent)), FirstTry: c.sent, Dest: dest, Class: class, FirstSubmitted: now,
		Tenant: c.tenants.Pick(c.r), Deadline: now + c.s.Classes[class].Deadline.D()}
	home := c.homes.Pick(c.r)
	key := c.r.IntN(c.s.Traffic.Keys)
	if c.s.Classes[class].KeepOrder {
		m.Key = strconv.Itoa(dest) + "/" + strconv.Itoa(key)
		home = c.keyHome(m.Key) // messages of one key come to one sender
	}
	c.sent++
	c.books.MessageSubmitted(now, m)
	c.hand(home, m)
}

func (c *LoadGenerator) keyHome(key string) int {
	h := fnv.New32a()
	h.Write([]byte(key)) // never fails, by its contract
	return int(h.Sum32() % uint32(c.s.Senders.Count))
}

// hand gives a message to a sender, or to another where that one is down.
func (c *LoadGenerator) hand(sender int, m *model.Message) {
	taken, up := c.senders.Submit(sender, m)
	if !up {
		other, any := c.senders.FindLive(sender)
		if !any {
			c.again(m, sender, 0)
			return
		}
		taken, _ = c.senders.Submit(other, m)
	}
	if !taken {
		c.books.MessageTurnedAway(c.q.Now(), m)
		c.again(m, sender, 0)
	}
}

// Ended tells a client how its message ended.
func (c *LoadGenerator) MessageEnded(sender int, m *model.Message, end model.End, advice time.Duration) {
	if end == model.Refused {
		c.again(m, sender, advice)
	}
}

// again hands a refused message in once more after a wait, while the client has tries and the message has time left.
func (c *LoadGenerator) again(m *model.Message, sender int, advice time.Duration) {
	if m.Try >= c.s.Traffic.Retries {
		return
	}
	r := random.Stream(c.seed, "client "+strconv.Itoa(m.FirstTry), m.Try+1) // the same for every policy
	wait, follows := c.retry.Draw(r), r.Float64() < c.s.Traffic.Follows
	if advice > 0 && follows {
		wait = min(advice, c.s.Senders.MaxRetryAfter.D())
	}
	c.comeBack(m, sender, wait)
}

// Rescue hands in again what a dead sender held, unless it may have taken effect and may not be repeated.
func (c *LoadGenerator) Rescue(m *model.Message, sender int) bool {
	class := &c.s.Classes[m.Class]
	if m.MayHaveRun && class.Effect != "safe" {
		return false
	}
	c.comeBack(m, sender, c.rescue.Draw(random.Stream(c.seed, "rescue "+strconv.Itoa(m.FirstTry), m.Try)))
	return true
}

func (c *LoadGenerator) comeBack(m *model.Message, sender int, wait time.Duration) {
	at := c.q.Now() + wait
	if at >= m.Deadline {
		return
	}
	next := *m
	next.Try++
	next.ID = rules.MessageID("m" + strconv.Itoa(m.FirstTry) + "." + strconv.Itoa(next.Try))
	c.later.At(at, func() {
		c.books.MessageResubmitted(c.q.Now(), &next)
		c.hand(sender, &next)
	})
}

// Clump hands in a heap of messages for one destination.
func (c *LoadGenerator) SubmitClump(dest, n int) {
	for range n {
		c.handFirst(dest)
	}
}

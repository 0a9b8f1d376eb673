// Package scenario defines the format of the lab's scenario files: the keys, their units, defaults and valid values. It
// must never run a scenario, and never guess what an invalid file means.
//
// Each key is documented where it is declared, by the tags doc and default. Keys returns them, and docs/lab-scenario.md
// is generated from that.
package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"eiderhaven/lab/random"
)

// Version is the version of the format that this package reads.
const Version = 1

// Duration is a duration in a scenario file: a number with its unit, such as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText reads a duration. A bare number is an error, as its unit would be a guess.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration: expected a number with a unit, such as \"250ms\", \"2.5s\" or \"1m\"", text)
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Distribution is a distribution of durations in a scenario file.
type Distribution struct {
	Dist    random.Shape `toml:"dist" doc:"constant, exponential, lognormal, uniform or histogram" default:"constant"`
	Mean    Duration     `toml:"mean,omitempty" doc:"mean, for constant, exponential and lognormal"`
	CV      float64      `toml:"cv,omitempty" doc:"standard deviation over mean, for lognormal (above 0, at most 20)"`
	Low     Duration     `toml:"low,omitempty" doc:"least, for uniform"`
	High    Duration     `toml:"high,omitempty" doc:"most, for uniform"`
	Bounds  []Duration   `toml:"bounds,omitempty" doc:"for histogram: where each step ends; it starts where the one before ends"`
	Weights []float64    `toml:"weights,omitempty" doc:"for histogram: weight of each step"`
}

// Random returns the distribution to draw from.
func (t Distribution) Random() random.Distribution {
	switch t.Dist {
	case random.Exponential:
		return random.NewExponential(t.Mean.D())
	case random.Lognormal:
		return random.NewLognormal(t.Mean.D(), t.CV)
	case random.Uniform:
		return random.NewUniform(t.Low.D(), t.High.D())
	case random.Histogram:
		var bounds []time.Duration
		for _, b := range t.Bounds {
			bounds = append(bounds, b.D())
		}
		return random.NewHistogram(bounds, t.Weights)
	}
	return random.NewConstant(t.Mean.D())
}

// Scenario describes a run: receivers, senders, traffic, faults and how the result is scored.
type Scenario struct {
	Version  int       `toml:"version" doc:"version of this format, 1" default:"1"`
	Name     string    `toml:"name" doc:"short name; it names result folders" default:"unnamed"`
	About    string    `toml:"about,omitempty" doc:"what the scenario is for, in a sentence"`
	Run      Run       `toml:"run" doc:"length and bounds of a run"`
	Senders  Senders   `toml:"senders" doc:"the senders and what they may do"`
	Network  Network   `toml:"network" doc:"what lies between senders and receivers"`
	Registry Registry  `toml:"registry" doc:"how senders hear of endpoints"`
	Rules    Rules     `toml:"rules" doc:"figures of the six rules"`
	Traffic  Traffic   `toml:"traffic" doc:"what clients hand in"`
	Classes  []Class   `toml:"class" doc:"classes of message, one table each; at least one"`
	Kinds    []Kind    `toml:"kind" doc:"kinds of destination, one table each; none: a day without receivers"`
	Tenants  []Tenant  `toml:"tenant,omitempty" doc:"parties that hand in messages; none: one party without a quota"`
	Troubles []Trouble `toml:"trouble,omitempty" doc:"what goes wrong, one table each; troubles overlap freely"`
	Goal     Goal      `toml:"goal" doc:"how the parts of a day weigh in its figure G"`
}

// Run holds the length and the limits of a run.
type Run struct {
	Length    Duration `toml:"length" doc:"how long clients hand in messages; the run goes on until all has ended" default:"1m"`
	MaxEvents uint64   `toml:"max_events" doc:"a run stops with a report at this many events" default:"200000000"`
	Window    Duration `toml:"window" doc:"step of the series over time" default:"1s"`
}

// Senders describes the senders and their limits.
type Senders struct {
	Count          int      `toml:"count" doc:"how many senders" default:"3"`
	Skew           float64  `toml:"skew" doc:"how unevenly clients use senders: weights fall with rank to this power" default:"0"`
	Tick           Duration `toml:"tick" doc:"shortest gap between two steps of a sender" default:"5ms"`
	Slots          int      `toml:"slots" doc:"calls that a sender may have out at once" default:"50"`
	MaxHeld        int      `toml:"max_held" doc:"messages that a sender holds at most; more are turned away" default:"500"`
	MaxAttempts    int      `toml:"max_attempts" doc:"attempts for one message at most" default:"12"`
	ConnectTimeout Duration `toml:"connect_timeout" doc:"a connection not up by then has failed" default:"1s"`
	KeepAlive      Duration `toml:"keep_alive" doc:"idle connections are closed after this time" default:"10s"`
	MayCancel      bool     `toml:"may_cancel" doc:"senders may call off attempts" default:"true"`
	MayAdvise      bool     `toml:"may_advise" doc:"a refusal may say when to come back" default:"true"`
	MaxRetryAfter  Duration `toml:"max_retry_after" doc:"longest advice that a client follows" default:"3s"`
	RatesListed    string   `toml:"rates_listed" doc:"what the list tells of limits: none, exact, or rough (up to half too high or low)" default:"rough"`
	Zones          int      `toml:"zones" doc:"zones that senders and endpoints are spread over" default:"1"`
}

// Network describes the network between senders and receivers.
type Network struct {
	OneWay     Distribution `toml:"one_way" doc:"time from one side to the other"`
	CrossZone  Duration     `toml:"cross_zone" doc:"added to each way between zones" default:"0s"`
	Handshakes float64      `toml:"handshakes" doc:"round trips that opening a connection takes" default:"1"`
}

// Registry describes how senders learn of endpoints.
type Registry struct {
	Mode        string       `toml:"mode" doc:"push: changes come unasked; ask: only after a sender watches" default:"push"`
	Lag         Distribution `toml:"lag" doc:"time from a change to when a sender hears of it, drawn for each sender"`
	HealthEvery Duration     `toml:"health_every" doc:"the registry calls each endpoint's health this often and lists one that failed twice as draining; 0: never" default:"0s"`
}

// Rules holds the parameters of the six delivery rules.
type Rules struct {
	AnswerGrace    Duration `toml:"answer_grace" doc:"a final answer counts this long after the deadline" default:"20ms"`
	DrainGrace     Duration `toml:"drain_grace" doc:"nothing new to an endpoint this long after the sender heard that it drains or is gone" default:"500ms"`
	ColdShare      float64  `toml:"cold_share" doc:"capacity just after an outage, as a share (above 0, at most 1)" default:"0.2"`
	WarmUp         Duration `toml:"warm_up" doc:"time until all of it is back" default:"10s"`
	FallWindow     Duration `toml:"fall_window" doc:"span over which a cold destination counts what it is sent" default:"2s"`
	OverloadFactor float64  `toml:"overload_factor" doc:"sent more than this multiple of its present capacity over the span, it falls over (at least 1)" default:"2"`
	FallChance     float64  `toml:"fall_chance" doc:"so many roots of the calls that this allows are put down to chance, beside two calls" default:"0"`
	FallTerm       string   `toml:"fall_term" doc:"what is put down to chance: roots (fall_chance of them and two calls) or standing (two roots and two calls; of a budget under 30 calls three and three)" default:"roots"`
	OrderPause     Duration `toml:"order_pause" doc:"rest of an order key after an attempt that may still run" default:"500ms"`
	RestartGrace   Duration `toml:"restart_grace" doc:"after a restart with state, an end that fell due meanwhile may come this much later" default:"1500ms"`
}

// Traffic describes the messages that clients submit.
type Traffic struct {
	Rate        float64      `toml:"rate" doc:"first tries a second, over all senders; 0: no traffic" default:"50"`
	Arrivals    string       `toml:"arrivals" doc:"poisson, or even (equal gaps)" default:"poisson"`
	Zipf        float64      `toml:"zipf" doc:"how unevenly destinations get messages: weights fall with rank to this power" default:"0.9"`
	Clumps      float64      `toml:"clumps" doc:"share of messages that come in clumps for one destination (0 to 0.95)" default:"0"`
	ClumpSize   int          `toml:"clump_size" doc:"messages in a clump" default:"20"`
	Keys        int          `toml:"keys" doc:"order keys in use at each destination" default:"10"`
	Retries     int          `toml:"retries" doc:"times that a client hands a refused message in again" default:"2"`
	RetryWait   Distribution `toml:"retry_wait" doc:"wait before that, where the refusal gave no advice"`
	Follows     float64      `toml:"follows" doc:"share of clients that follow advice" default:"1"`
	Rescue      Distribution `toml:"rescue" doc:"time until what a dead sender held comes to a live one"`
	MaxMessages int          `toml:"max_messages" doc:"clients stop after this many first tries; 0: no such bound" default:"0"`
}

// Class is one class of message.
type Class struct {
	Name      string   `toml:"name" doc:"name, used in reports"`
	Share     float64  `toml:"share" doc:"share of the messages, relative to the other classes'" default:"1"`
	Effect    string   `toml:"effect" doc:"safe (a repeat overwrites), keyed (a repeat is dropped for window), or once (a repeat could take effect twice)" default:"safe"`
	Scope     string   `toml:"scope" doc:"for keyed: which endpoints drop repeats: destination, zone or endpoint" default:"destination"`
	Window    Duration `toml:"window" doc:"for keyed: how long a key is remembered" default:"5s"`
	Aim       Duration `toml:"aim" doc:"delivered within this time, a message earns its full worth" default:"2s"`
	Deadline  Duration `toml:"deadline" doc:"after this it earns nothing and must have ended" default:"16s"`
	Worth     float64  `toml:"worth" doc:"what a message earns" default:"1"`
	LateWorth float64  `toml:"late_worth" doc:"share of the worth left at the deadline (0 to 1)" default:"0.4"`
	KeepOrder bool     `toml:"keep_order" doc:"messages with the same key go one at a time, in order" default:"false"`
	Work      float64  `toml:"work" doc:"service time, as a multiple of the kind's" default:"1"`
}

// Limit is the limit on the calls of all senders together to a destination, or to a route.
type Limit struct {
	Type     string   `toml:"type" doc:"none, rate (calls a second), window (a count in each span) or concurrent (calls at once)" default:"none"`
	Rate     float64  `toml:"rate" doc:"for rate: calls a second" default:"0"`
	Burst    float64  `toml:"burst" doc:"for rate: calls that may come at once after a pause" default:"1"`
	Count    int      `toml:"count" doc:"for window and concurrent: how many calls" default:"0"`
	Span     Duration `toml:"span" doc:"for window: length of the span" default:"1s"`
	Tells    float64  `toml:"tells" doc:"share of refusals that tell how long to wait" default:"0"`
	UsesUp   bool     `toml:"uses_up" doc:"refused calls use up the limit too" default:"false"`
	Scales   bool     `toml:"scales" doc:"multiply the limit by the destination's part of the traffic over the mean part, so that busy ones have more" default:"false"`
	Headroom float64  `toml:"headroom" doc:"with scales: limit over what the destination is sent at the given traffic rate; replaces rate and count when above 0" default:"0"`
	Least    float64  `toml:"least" doc:"calls a second that the limit allows at least, where it scales or has headroom" default:"0"`
}

// Kind is one kind of destination.
type Kind struct {
	Name         string       `toml:"name" doc:"name, used in reports and by troubles"`
	Destinations int          `toml:"destinations" doc:"how many destinations" default:"10"`
	Endpoints    []int        `toml:"endpoints" doc:"least and most endpoints of a destination, drawn evenly" default:"[1, 1]"`
	Weight       float64      `toml:"weight" doc:"traffic of one of its destinations, relative to other kinds'" default:"1"`
	RoutesApart  bool         `toml:"routes_apart" doc:"each endpoint has a limit, capacity and outages of its own" default:"false"`
	Batch        int          `toml:"batch" doc:"messages in one call at most" default:"1"`
	BatchCost    float64      `toml:"batch_cost" doc:"service time of each further message of a call, as a share of the first's" default:"0.1"`
	Servers      int          `toml:"servers" doc:"calls that an endpoint serves at once" default:"4"`
	Queue        int          `toml:"queue" doc:"calls that wait at an endpoint at most" default:"50"`
	Service      Distribution `toml:"service" doc:"service time of a call"`
	Spread       float64      `toml:"spread" doc:"how much destinations differ in pace: service times are multiplied by a lognormal factor with this coefficient of variation" default:"0"`
	Connections  int          `toml:"connections" doc:"connections that an endpoint takes, idle ones counted; 0: no bound" default:"0"`
	Drops        string       `toml:"drops" doc:"what of a call that was called off is dropped: none, queued or all" default:"queued"`
	Reports      bool         `toml:"reports" doc:"answers tell what is left of the limit, and the limit" default:"false"`
	Limit        Limit        `toml:"limit" doc:"the limit"`
}

// Tenant is a party that submits messages.
type Tenant struct {
	Name  string  `toml:"name" doc:"name, used in reports"`
	Share float64 `toml:"share" doc:"share of the messages" default:"1"`
	Quota float64 `toml:"quota" doc:"messages a second within its share; 0: none" default:"0"`
}

// Trouble is a fault: it starts once at a given time, or repeatedly at random times.
type Trouble struct {
	Kind  string   `toml:"kind" doc:"what goes wrong; 'eiderlab troubles' lists the kinds, and what size and extra mean for each"`
	At    Duration `toml:"at" doc:"when it starts" default:"0s"`
	Every Duration `toml:"every" doc:"mean gap until it starts again, drawn exponentially; 0: once" default:"0s"`
	For   Duration `toml:"for" doc:"how long it lasts" default:"10s"`
	Part  float64  `toml:"part" doc:"share of what can be struck that is (above 0, at most 1)" default:"0.2"`
	Busy  bool     `toml:"busy" doc:"strike the busiest first, not by lot" default:"false"`
	On    string   `toml:"on" doc:"name of the only kind of destination struck; empty: any" default:""`
	By    string   `toml:"by" doc:"what is struck together: destination, endpoint or zone" default:"destination"`
	Size  float64  `toml:"size" doc:"how hard, see the kind" default:"0"`
	Extra Duration `toml:"extra" doc:"a further time, see the kind" default:"0s"`
}

// Goal holds the weights of the parts of a run in its score G.
type Goal struct {
	Whole  float64 `toml:"whole" doc:"weight of the whole day" default:"1"`
	Worst  float64 `toml:"worst" doc:"weight of the worst ten seconds" default:"0"`
	Class  float64 `toml:"class" doc:"weight of the worst-served class" default:"0"`
	Refuse float64 `toml:"refuse" doc:"taken off for refused calls, times refused calls over first tries" default:"0"`
}

// DestinationCount returns the number of destinations of the scenario.
func (s *Scenario) DestinationCount() int {
	n := 0
	for _, k := range s.Kinds {
		n += k.Destinations
	}
	return n
}

// DestinationWeights returns the traffic weight of each destination, kind by kind. Within a kind the weights decrease,
// so that its first destination is the busiest. All weights sum to 1.
func (s *Scenario) DestinationWeights() []float64 {
	const minWeightSum = 1e-12 // avoids a division by 0 if no kind has traffic
	var w []float64
	var sum float64
	for _, k := range s.Kinds {
		for _, x := range random.Zipf(k.Destinations, s.Traffic.Zipf) {
			x *= k.Weight * float64(k.Destinations)
			w = append(w, x)
			sum += x
		}
	}
	for i := range w {
		w[i] /= max(sum, minWeightSum)
	}
	return w
}

// DrawEndpoints draws the number of endpoints of a destination of the kind.
func (k *Kind) DrawEndpoints(r *rand.Rand) int {
	if len(k.Endpoints) < 2 || k.Endpoints[1] <= k.Endpoints[0] {
		return max(1, k.Endpoints[0])
	}
	return k.Endpoints[0] + r.IntN(k.Endpoints[1]-k.Endpoints[0]+1)
}

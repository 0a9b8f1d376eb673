// Package settings reads the start-up settings, which have the same JSON form in the simulator's protocol and in the
// configuration file of a real sender. It owns their keys and units. It must never decide anything, nor supply a value
// that the settings lack.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderhaven/rules"
)

// envFields holds the start-up settings that the decision module uses; other keys are ignored.
type envFields struct {
	Allowed struct {
		ConnectTimeout int64 `json:"connect_timeout_us"`
		KeepAlive      int64 `json:"keepalive_us"`
		MaxAttempts    int   `json:"max_attempts"`
		MaxOpen        int   `json:"max_open"`
		MaxRetryAfter  int64 `json:"max_retry_after_us"`
		MayCancel      bool  `json:"may_cancel"`
		Peers          bool  `json:"peers"`
		RetryAfter     bool  `json:"retry_after"`
	} `json:"allowed"`
	Az        int `json:"az"`
	Balancers int `json:"balancers"`
	Extra     struct {
		Batch  []int     `json:"batch_by_kind"`
		Late   string    `json:"late"`
		Routes []bool    `json:"routes_apart"`
		Slots  int       `json:"slots"`
		Toll   []float64 `json:"toll"`
	} `json:"extra"`
	Flavors        []string `json:"flavors"`
	OverShareWorth float64  `json:"over_share_worth"`
	Parties        []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"parties"`
	RegistryMode string `json:"registry_mode"`
	Classes      []struct {
		Deadline  int64   `json:"deadline_us"`
		Scope     string  `json:"dedup_scope"`
		Effect    string  `json:"effect"`
		GoalTime  int64   `json:"goal_time_us"`
		KeepOrder bool    `json:"keep_order"`
		Name      string  `json:"name"`
		LateWorth float64 `json:"late_worth"`
		Window    int64   `json:"window_us"`
		Worth     float64 `json:"worth"`
	} `json:"request_classes"`
	Safety struct {
		AskEvery       int64   `json:"ask_every_us"`
		ColdShare      float64 `json:"cold_share"`
		DrainGrace     int64   `json:"drain_grace_us"`
		Fall           int64   `json:"fall_us"`
		AnswerGrace    int64   `json:"grace_to_answer_us"`
		OrderPause     int64   `json:"order_pause_us"`
		OverloadFactor float64 `json:"overload_factor"`
		WarmUp         int64   `json:"warm_up_us"`
	} `json:"safety"`
	Tick    int64    `json:"tick_us"`
	Weights string   `json:"weights"`
	Zones   []string `json:"zones"`
}

// effects are the values of effect in request_classes.
var effects = map[string]rules.Effect{
	"idempotent": rules.Safe, "deduplicated": rules.Keyed, "at_most_once": rules.AtMostOnce,
}

// scopes are the values of dedup_scope in request_classes.
var scopes = map[string]rules.DedupScope{
	"": rules.DedupDestination, "all": rules.DedupDestination, "zone": rules.DedupZone, "cell": rules.DedupEndpoint,
}

// Names holds the names of classes, kinds, zones and tenants in the settings. The decision module identifies each by a
// number, which is its index here.
type Names struct {
	Classes []string
	Kinds   []string
	Zones   []string
	Tenants []string
}

// Decode reads a settings object without checking ranges. It returns what the decision module needs, and the names
// that belong to its numbers.
func Decode(text []byte, seed uint64) (*rules.Settings, *Names, error) {
	var e envFields
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, nil, err
	}
	return e.decode(seed)
}

// DecodeChecked is Decode for a settings object written by people: a value out of range is an error (check.go).
func DecodeChecked(text []byte, seed uint64) (*rules.Settings, *Names, error) {
	var e envFields
	if err := json.Unmarshal(text, &e); err != nil {
		return nil, nil, err
	}
	if err := e.checkRanges(); err != nil {
		return nil, nil, err
	}
	return e.decode(seed)
}

func (e *envFields) decode(seed uint64) (*rules.Settings, *Names, error) {
	s := &rules.Settings{
		Seed:              seed,
		Senders:           e.Balancers,
		Zone:              e.Az,
		Tick:              micros(e.Tick),
		Slots:             e.Extra.Slots,
		MaxHeld:           e.Allowed.MaxOpen,
		MaxAttempts:       e.Allowed.MaxAttempts,
		ConnectTimeout:    micros(e.Allowed.ConnectTimeout),
		KeepAlive:         micros(e.Allowed.KeepAlive),
		MaxRetryAfter:     micros(e.Allowed.MaxRetryAfter),
		MaySendRetryAfter: e.Allowed.RetryAfter,
		MayCancel:         e.Allowed.MayCancel,
		MayShareHints:     e.Allowed.Peers,
		AnswerGrace:       micros(e.Safety.AnswerGrace),
		DrainGrace:        micros(e.Safety.DrainGrace),
		ColdShare:         e.Safety.ColdShare,
		WarmUp:            micros(e.Safety.WarmUp),
		FallWindow:        micros(e.Safety.Fall),
		OverloadFactor:    e.Safety.OverloadFactor,
		OrderPause:        micros(e.Safety.OrderPause),
		WatchesRegistry:   e.RegistryMode == "ask",
		WatchInterval:     micros(e.Safety.AskEvery),
		RatesListed:       e.Weights == "nominal" || e.Weights == "rough",
		RatesExact:        e.Weights == "nominal",
		LateHalving:       e.Extra.Late == "halving",
		OverShareWorth:    e.OverShareWorth,
		ZoneCosts:         e.Extra.Toll,
	}
	for i := range max(len(e.Flavors), len(e.Extra.Batch), len(e.Extra.Routes)) {
		var k rules.Kind
		if i < len(e.Extra.Batch) {
			k.Batch = e.Extra.Batch[i]
		}
		if i < len(e.Extra.Routes) {
			k.RoutesApart = e.Extra.Routes[i]
		}
		s.Kinds = append(s.Kinds, k)
	}
	names := &Names{Kinds: e.Flavors, Zones: e.Zones}
	for i, c := range e.Classes {
		names.Classes = append(names.Classes, c.Name)
		effect, known := effects[c.Effect]
		if !known {
			return nil, nil, fmt.Errorf("class %d: unknown effect %q", i, c.Effect)
		}
		scope, known := scopes[c.Scope]
		if !known {
			return nil, nil, fmt.Errorf("class %d: unknown scope %q", i, c.Scope)
		}
		s.Classes = append(s.Classes, rules.Class{
			Effect:    effect,
			Scope:     scope,
			Window:    micros(c.Window),
			Aim:       micros(c.GoalTime),
			Deadline:  micros(c.Deadline),
			Worth:     c.Worth,
			LateWorth: c.LateWorth,
			KeepOrder: c.KeepOrder,
		})
	}
	for _, p := range e.Parties {
		s.Tenants = append(s.Tenants, rules.Tenant{Quota: p.Quota})
		names.Tenants = append(names.Tenants, p.Name)
	}
	return s, names, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

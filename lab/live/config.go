// This file owns the configuration that lets a daemon run against receivers of a scenario. It must never name a setting
// that the daemon does not read.

package live

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderhaven/lab/scenario"
)

var effectWords = map[string]string{"safe": "idempotent", "keyed": "deduplicated", "once": "at_most_once"}
var scopeWords = map[string]string{"destination": "all", "zone": "zone", "endpoint": "cell"}

// Config returns the text of a configuration for one sender, with a seed of the moment.
func Config(s *scenario.Scenario, name, listen, discovery string) ([]byte, error) {
	return SeededConfig(s, name, listen, discovery, uint64(time.Now().UnixNano()))
}

// SeededConfig returns the text of a configuration for one sender.
func SeededConfig(s *scenario.Scenario, name, listen, discovery string, seed uint64) ([]byte, error) {
	x, r := s.Senders, s.Rules
	us := func(d scenario.Duration) int64 { return d.D().Microseconds() }
	var classes []map[string]any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": effectWords[c.Effect], "dedup_scope": scopeWords[c.Scope],
			"window_us": us(c.Window), "goal_time_us": us(c.Aim), "deadline_us": us(c.Deadline), "worth": c.Worth,
			"late_worth": c.LateWorth, "keep_order": c.KeepOrder})
	}
	var kinds, zones []string
	var batch []int
	var routes []bool
	for _, k := range s.Kinds {
		kinds, batch, routes = append(kinds, k.Name), append(batch, k.Batch), append(routes, k.RoutesApart)
	}
	for i := range x.Zones {
		zones = append(zones, ZoneName(i))
	}
	parties := []map[string]any{}
	for _, t := range s.Tenants {
		parties = append(parties, map[string]any{"name": t.Name, "quota_per_s": t.Quota})
	}
	weights := map[string]string{"none": "silent", "exact": "nominal", "rough": "rough"}[x.RatesListed]
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 512, "sockets": 4096, "disk_mb": 64},
		"known":  map[string]any{"seq": 0, "whole": true, "hosts": []any{}},
		"settings": map[string]any{
			"allowed": map[string]any{"connect_timeout_us": us(x.ConnectTimeout), "keepalive_us": us(x.KeepAlive),
				"max_attempts": x.MaxAttempts, "max_open": x.MaxHeld, "max_retry_after_us": us(x.MaxRetryAfter),
				"may_cancel": x.MayCancel, "retry_after": x.MayAdvise},
			"az": 0, "balancers": x.Count,
			"extra":   map[string]any{"batch_by_kind": batch, "late": "halving", "routes_apart": routes, "slots": x.Slots},
			"flavors": kinds, "over_share_worth": 0.2, "parties": parties, "registry_mode": s.Registry.Mode, "request_classes": classes,
			"safety": map[string]any{"ask_every_us": 10_000_000, "cold_share": r.ColdShare, "drain_grace_us": us(r.DrainGrace),
				"fall_us": us(r.FallWindow), "grace_to_answer_us": us(r.AnswerGrace), "order_pause_us": us(r.OrderPause),
				"overload_factor": r.OverloadFactor, "warm_up_us": us(r.WarmUp)},
			"tick_us": us(x.Tick), "weights": weights, "zones": zones,
		},
	}, "", "  ")
}

// This file owns the configuration with which a daemon runs against the receivers of a scenario. It must never contain
// a setting that the daemon does not read.

package live

import (
	"encoding/json"
	"fmt"
	"time"

	"eiderhaven/lab/scenario"
)

// These maps translate the values of scenario keys (a class's effect and scope, and senders.rates_listed) into those of
// the daemon's configuration.
var (
	effectNames     = map[string]string{"safe": "idempotent", "keyed": "deduplicated", "once": "at_most_once"}
	dedupScopeNames = map[string]string{"destination": "all", "zone": "zone", "endpoint": "cell"}
	weightNames     = map[string]string{"none": "silent", "exact": "nominal", "rough": "rough"}
)

// Limits and settings of the daemon that a scenario does not have.
const (
	daemonCores    = 1.0
	daemonMemoryMB = 512
	daemonSockets  = 4096
	daemonDiskMB   = 64
	overShareWorth = 0.2
	askEveryMicros = 10_000_000 // 10 s; a failed watch is repeated after a part of this
)

// Config returns a configuration file for one sender, with a seed taken from the current time.
func Config(s *scenario.Scenario, name, listen, discovery string) ([]byte, error) {
	return SeededConfig(s, name, listen, discovery, uint64(time.Now().UnixNano()))
}

// SeededConfig returns a configuration file for one sender.
func SeededConfig(s *scenario.Scenario, name, listen, discovery string, seed uint64) ([]byte, error) {
	senders, deliveryRules := s.Senders, s.Rules
	micros := func(d scenario.Duration) int64 { return d.D().Microseconds() }
	var classes []map[string]any
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "effect": effectNames[c.Effect], "dedup_scope": dedupScopeNames[c.Scope],
			"window_us": micros(c.Window), "goal_time_us": micros(c.Aim), "deadline_us": micros(c.Deadline),
			"worth": c.Worth, "late_worth": c.LateWorth, "keep_order": c.KeepOrder,
		})
	}
	var kinds, zones []string
	var batchByKind []int
	var routesApart []bool
	for _, k := range s.Kinds {
		kinds = append(kinds, k.Name)
		batchByKind = append(batchByKind, k.Batch)
		routesApart = append(routesApart, k.RoutesApart)
	}
	for i := range senders.Zones {
		zones = append(zones, ZoneName(i))
	}
	parties := []map[string]any{}
	for _, t := range s.Tenants {
		parties = append(parties, map[string]any{"name": t.Name, "quota_per_s": t.Quota})
	}
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{
			"cores": daemonCores, "memory_mb": daemonMemoryMB, "sockets": daemonSockets, "disk_mb": daemonDiskMB,
		},
		"known": map[string]any{"seq": 0, "whole": true, "hosts": []any{}},
		"settings": map[string]any{
			"allowed": map[string]any{
				"connect_timeout_us": micros(senders.ConnectTimeout), "keepalive_us": micros(senders.KeepAlive),
				"max_attempts": senders.MaxAttempts, "max_open": senders.MaxHeld,
				"max_retry_after_us": micros(senders.MaxRetryAfter),
				"may_cancel":         senders.MayCancel, "retry_after": senders.MayAdvise,
			},
			"az": 0, "balancers": senders.Count,
			"extra": map[string]any{
				"batch_by_kind": batchByKind, "late": "halving", "routes_apart": routesApart, "slots": senders.Slots,
			},
			"flavors": kinds, "over_share_worth": overShareWorth, "parties": parties,
			"registry_mode": s.Registry.Mode, "request_classes": classes,
			"safety": map[string]any{
				"ask_every_us": askEveryMicros, "cold_share": deliveryRules.ColdShare,
				"drain_grace_us": micros(deliveryRules.DrainGrace), "fall_us": micros(deliveryRules.FallWindow),
				"grace_to_answer_us": micros(deliveryRules.AnswerGrace), "order_pause_us": micros(deliveryRules.OrderPause),
				"overload_factor": deliveryRules.OverloadFactor, "warm_up_us": micros(deliveryRules.WarmUp),
			},
			"tick_us": micros(senders.Tick), "weights": weightNames[senders.RatesListed], "zones": zones,
		},
	}, "", "  ")
}

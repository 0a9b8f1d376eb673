// This file owns the hard state of endpoints between the module and the ledger: it is recorded before anything that the same
// step decided is carried out, and passed to the module of the next process. It must never drop a record that the folder did
// not take, nor the state of an endpoint that may still be listed.

package exchange

import (
	"errors"
	"time"

	"eiderhaven/internal/ledger"
	"eiderhaven/rules"
)

// moduleZero returns this machine's time at the zero of the module's clock.
func (x *Exchange) moduleZero() time.Time { return x.wallTime(0) }

// recordHardStates records the changed hard states of a step, after those that could not be recorded before.
func (x *Exchange) recordHardStates(changed []rules.HardState) {
	for _, state := range changed {
		if host := x.directory.host(state.Endpoint).Name; host != "" {
			x.unrecordedStates[host] = state
		}
	}
	for host, state := range x.unrecordedStates {
		err := x.recordHardState(host, state)
		if errors.Is(err, ledger.ErrFull) { // its place is bounded: what is beyond is found out by the next process
			x.counts.HardStatesOmitted++
			err = nil
		}
		if x.countRecordError(err) != nil {
			return // all again in the next step
		}
		delete(x.unrecordedStates, host)
	}
}

func (x *Exchange) recordHardState(host string, state rules.HardState) error {
	if state.Clean() {
		return x.cfg.Ledger.RecordHardStateEnd(host)
	}
	return x.cfg.Ledger.RecordHardState(ledger.HardState{Host: host, State: state.AppendTo(nil, x.moduleZero())})
}

// recoverHardStates passes the module what an earlier process recorded of the endpoints that are listed. The others are
// kept for when they are.
func (x *Exchange) recoverHardStates() {
	for _, o := range x.cfg.Ledger.Outages() { // of a version before hard states
		x.restoring = append(x.restoring, x.stateOfOutage(o))
	}
	for _, stored := range x.cfg.Ledger.HardStates() {
		state, err := rules.ParseHardState(stored.State, x.moduleZero())
		if err != nil {
			x.countRecordError(err)
			continue
		}
		x.restoring = append(x.restoring, restoringState{stored.Host, state})
	}
	recorded := len(x.restoring)
	x.restoreListed()
	if recorded > 0 {
		x.cfg.Log.Info("hard states recovered", "endpoints", recorded, "not_listed", len(x.restoring))
	}
}

// stateOfOutage returns the hard state for an outage that a version before hard states recorded.
func (x *Exchange) stateOfOutage(o ledger.Outage) restoringState {
	at := x.moduleTime(o.At)
	return restoringState{o.Host, rules.HardState{
		Health: rules.Probation, Symptom: rules.Reset, At: at, FailingSince: at, HealthSince: at, LastFailedSentAt: at,
		LastCharged: at, Delivered: o.Rate,
	}}
}

// restoringState is a hard state whose endpoint has not been listed yet.
type restoringState struct {
	host  string
	state rules.HardState
}

// restoreListed passes the module the hard states whose endpoints are listed by now.
func (x *Exchange) restoreListed() {
	if len(x.restoring) == 0 {
		return
	}
	var rest []restoringState
	for _, r := range x.restoring {
		id := x.directory.idByName(r.host)
		if id == 0 {
			rest = append(rest, r)
			continue
		}
		r.state.Endpoint = id
		x.counts.HardStatesRestored++
		x.events = append(x.events, rules.RestoredState{HardState: r.state})
		x.cfg.Log.Info("endpoint state restored", "endpoint", r.host, "dest", x.directory.host(id).Dest,
			"state", r.state.Health, "failures", r.state.Failures, "failing_for", sinceOrZero(x.now(), r.state.FailingSince),
			"refusals", r.state.Scope.Refusals, "unanswered_for", sinceOrZero(x.now(), r.state.Scope.UnansweredSince))
	}
	x.restoring = rest
}

// sinceOrZero returns the time since at, 0 for none.
func sinceOrZero(now, at time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return now - at
}

// dropUnlisted ends the hard states whose endpoints a whole list of discovery does not name.
func (x *Exchange) dropUnlisted() {
	for _, r := range x.restoring {
		x.countRecordError(x.cfg.Ledger.RecordHardStateEnd(r.host))
	}
	x.restoring = nil
}

// This file owns the handling of the model's events: they are counted, and passed on to a watcher.

package live

import (
	"fmt"

	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
)

// observer implements receiver.Observer for Receivers.
type observer Receivers

func (o *observer) CallArrived(*receiver.Unit, *model.Call) {}

func (o *observer) CallRefused(*receiver.Unit, *model.Call, bool) {}

func (o *observer) Outage(u *receiver.Unit, begins bool) {
	if o.watcher != nil {
		o.watcher.Outage(u, begins)
	}
}

func (o *observer) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	if o.watcher != nil {
		o.watcher.WindowMeasured(u, window, allowed)
	}
}

func (o *observer) MessageTookEffect(_ *receiver.Unit, m *model.Message, repeat bool) {
	r := (*Receivers)(o)
	r.mu.Lock()
	defer r.mu.Unlock()
	id := string(m.ID)
	if !r.tookEffect[id] {
		r.tookEffect[id] = true
		r.counts.Messages++
		return
	}
	r.counts.Repeats++
	if !repeat && r.scenario.Classes[m.Class].Effect == "once" {
		r.counts.DuplicateEffects++
	}
}

func (o *observer) UnitOverloaded(u *receiver.Unit, callsBySender map[int]float64) {
	r := (*Receivers)(o)
	if r.watcher != nil {
		r.watcher.UnitOverloaded(u, callsBySender)
	}
	r.updateCounts(func(c *Counts) { c.UnitsOverloaded++ })
	r.log(fmt.Sprintf("%8.3fs unit %d of destination %d collapses: overloaded during recovery",
		r.loop.Queue.Now().Seconds(), u.Number, u.Dest))
}

// This file owns what the model tells of itself: it is counted, and passed on to a watcher.

package live

import (
	"fmt"

	"eiderhaven/lab/model"
	"eiderhaven/lab/receiver"
)

// observer counts what the model does.
type observer Receivers

func (x *observer) CallArrived(*receiver.Unit, *model.Call) {}

func (x *observer) CallRefused(*receiver.Unit, *model.Call, bool) {}

func (x *observer) Outage(u *receiver.Unit, begins bool) {
	if x.watch != nil {
		x.watch.Outage(u, begins)
	}
}

func (x *observer) WindowMeasured(u *receiver.Unit, window []receiver.Arrival, allowed float64) {
	if x.watch != nil {
		x.watch.WindowMeasured(u, window, allowed)
	}
}

func (x *observer) MessageTookEffect(_ *receiver.Unit, m *model.Message, repeat bool) {
	v := (*Receivers)(x)
	v.mu.Lock()
	defer v.mu.Unlock()
	id := string(m.ID)
	if !v.seen[id] {
		v.seen[id] = true
		v.counts.Messages++
		return
	}
	v.counts.Repeats++
	if !repeat && v.s.Classes[m.Class].Effect == "once" {
		v.counts.DuplicateEffects++
	}
}

func (x *observer) UnitOverloaded(u *receiver.Unit, by map[int]float64) {
	v := (*Receivers)(x)
	if v.watch != nil {
		v.watch.UnitOverloaded(u, by)
	}
	v.count(func(c *Counts) { c.UnitsOverloaded++ })
	v.log(fmt.Sprintf("%8.3fs unit %d of destination %d falls over", v.loop.Queue.Now().Seconds(), u.Number, u.Dest))
}

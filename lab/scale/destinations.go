// This file owns the hollow destinations: a few listeners that stand for many. A message's name tells which sender and which
// change it belongs to. They take everything at once; none of them has a limit, so nothing here tells of paces.

package scale

import (
	"fmt"
	"sync"
	"sync/atomic"

	"eiderhaven/internal/http1"
	"eiderhaven/standin/platform"
)

const zoneCount = 7

func zoneName(z int) string { return fmt.Sprint("z", z) }

// destinations are the listeners: two for each zone, as an endpoint that takes another's place stands elsewhere.
type destinations struct {
	onCall          func(id string, side int)
	listeners       [zoneCount][2]*zoneListener
	unreachableAddr string  // where nothing listens
	listedRate      float64 // listed for each
}

// port is one listener.
type zoneListener struct {
	addr      string
	mu        sync.Mutex
	srv       *platform.Server
	accepting atomic.Bool
}

func newDestinations(ip, refusing string, rate float64, arrived func(id string, side int)) (*destinations, error) {
	d := &destinations{onCall: arrived, unreachableAddr: refusing + ":9", listedRate: rate}
	for z := range zoneCount {
		for side := range 2 {
			d.listeners[z][side] = &zoneListener{addr: fmt.Sprintf("%s:%d", ip, 20000+2*z+side)}
		}
		if err := d.startZone(z); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// up lets a zone's destinations be reached.
func (d *destinations) startZone(z int) error {
	for side, p := range d.listeners[z] {
		srv, err := platform.Listen(p.addr, func(req *http1.Request, _ []byte) *http1.Response {
			if req.Method != "POST" || req.Target != "/receive" {
				return &http1.Response{Status: 404}
			}
			d.onCall(req.Header.Get("Req-Id"), side)
			return &http1.Response{Status: 200}
		})
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.srv = srv
		p.mu.Unlock()
		p.accepting.Store(true)
	}
	return nil
}

// down makes a zone's destinations reset their connections and refuse new ones.
func (d *destinations) stopZone(z int) {
	for _, p := range d.listeners[z] {
		p.accepting.Store(false)
		p.mu.Lock()
		srv := p.srv
		p.srv = nil
		p.mu.Unlock()
		if srv != nil {
			srv.Close()
		}
	}
}

// isOpen tells whether an address takes connections, for those that make none.
func (d *destinations) isAccepting(addr string) bool {
	for z := range zoneCount {
		for _, p := range d.listeners[z] {
			if p.addr == addr {
				return p.accepting.Load()
			}
		}
	}
	return false
}

func (d *destinations) close() {
	for z := range zoneCount {
		if d.listeners[z][1] != nil {
			d.stopZone(z)
		}
	}
}

// entry is a destination's endpoint as it is listed at first, or as a change has made it.
func (d *destinations) entry(dest, side int, host string, down bool) platform.Entry {
	z := dest % zoneCount
	e := platform.Entry{Host: host, Dial: d.listeners[z][side].addr, Site: zoneName(z), Class: "any", Block: dest, Health: "Ready", Share: d.listedRate}
	if down {
		e.Dial = d.unreachableAddr
	}
	return e
}

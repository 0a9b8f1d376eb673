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

const zones = 7

func zoneName(z int) string { return fmt.Sprint("z", z) }

// destinations are the listeners: two for each zone, as an endpoint that takes another's place stands elsewhere.
type destinations struct {
	arrived func(id string, side int)
	ports   [zones][2]*port
	refused string  // where nothing listens
	rate    float64 // listed for each
}

// port is one listener.
type port struct {
	addr string
	mu   sync.Mutex
	srv  *platform.Server
	open atomic.Bool
}

func newDestinations(ip, refusing string, rate float64, arrived func(id string, side int)) (*destinations, error) {
	d := &destinations{arrived: arrived, refused: refusing + ":9", rate: rate}
	for z := range zones {
		for side := range 2 {
			d.ports[z][side] = &port{addr: fmt.Sprintf("%s:%d", ip, 20000+2*z+side)}
		}
		if err := d.up(z); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// up lets a zone's destinations be reached.
func (d *destinations) up(z int) error {
	for side, p := range d.ports[z] {
		srv, err := platform.Listen(p.addr, func(req *http1.Request, _ []byte) *http1.Response {
			if req.Method != "POST" || req.Target != "/receive" {
				return &http1.Response{Status: 404}
			}
			d.arrived(req.Header.Get("Req-Id"), side)
			return &http1.Response{Status: 200}
		})
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.srv = srv
		p.mu.Unlock()
		p.open.Store(true)
	}
	return nil
}

// down makes a zone's destinations reset their connections and refuse new ones.
func (d *destinations) down(z int) {
	for _, p := range d.ports[z] {
		p.open.Store(false)
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
func (d *destinations) isOpen(addr string) bool {
	for z := range zones {
		for _, p := range d.ports[z] {
			if p.addr == addr {
				return p.open.Load()
			}
		}
	}
	return false
}

func (d *destinations) close() {
	for z := range zones {
		if d.ports[z][1] != nil {
			d.down(z)
		}
	}
}

// entry is a destination's endpoint as it is listed at first, or as a change has made it.
func (d *destinations) entry(dest, side int, host string, down bool) platform.Entry {
	z := dest % zones
	e := platform.Entry{Host: host, Dial: d.ports[z][side].addr, Site: zoneName(z), Class: "any", Block: dest, Health: "Ready", Share: d.rate}
	if down {
		e.Dial = d.refused
	}
	return e
}

// This file owns the simulated destinations: a few listeners that many destinations share. A message's ID shows which
// sender and which change it belongs to. They accept every call at once and have no limits, so they must never be used
// to judge rate control.

package scale

import (
	"fmt"
	"sync"
	"sync/atomic"

	"eiderhaven/internal/http1"
	"eiderhaven/standin/platform"
)

const zoneCount = 7

// unusedPort is the port of the address at which destinations that are down are listed.
const unusedPort = "9"

// listenersPerZone is how many listeners a zone has: an endpoint that replaces another uses the other listener.
const listenersPerZone = 2

func zoneName(z int) string { return fmt.Sprint("z", z) }

// destinations are the listeners of all zones. A destination belongs to the zone with its number modulo zoneCount.
type destinations struct {
	onCall          func(id string, side int)
	listeners       [zoneCount][listenersPerZone]*zoneListener
	unreachableAddr string  // nothing listens there
	listedRate      float64 // calls a second that discovery lists for each destination
}

// zoneListener is one of a zone's listeners. Its side is its index among them.
type zoneListener struct {
	addr      string
	mu        sync.Mutex
	srv       *platform.Server
	accepting atomic.Bool
}

// newDestinations starts the listeners of all zones on one address. onCall is called with the message ID of each call
// and the side of the listener that received it. Nothing may listen on unusedIP.
func newDestinations(ip, unusedIP string, listedRate float64, onCall func(id string, side int)) (*destinations, error) {
	d := &destinations{onCall: onCall, unreachableAddr: unusedIP + ":" + unusedPort, listedRate: listedRate}
	for z := range zoneCount {
		for side := range listenersPerZone {
			addr := fmt.Sprintf("%s:%d", ip, firstPort+listenersPerZone*z+side)
			d.listeners[z][side] = &zoneListener{addr: addr}
		}
		if err := d.startZone(z); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// startZone makes a zone's destinations reachable.
func (d *destinations) startZone(z int) error {
	for side, l := range d.listeners[z] {
		srv, err := platform.Listen(l.addr, func(req *http1.Request, _ []byte) *http1.Response {
			if req.Method != "POST" || req.Target != "/receive" {
				return &http1.Response{Status: 404}
			}
			d.onCall(req.Header.Get("Req-Id"), side)
			return &http1.Response{Status: 200}
		})
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.srv = srv
		l.mu.Unlock()
		l.accepting.Store(true)
	}
	return nil
}

// stopZone makes a zone's destinations reset their connections and refuse new ones.
func (d *destinations) stopZone(z int) {
	for _, l := range d.listeners[z] {
		l.accepting.Store(false)
		l.mu.Lock()
		srv := l.srv
		l.srv = nil
		l.mu.Unlock()
		if srv != nil {
			srv.Close()
		}
	}
}

// isAccepting reports whether an address accepts connections, for simulated senders, which open none.
func (d *destinations) isAccepting(addr string) bool {
	for z := range zoneCount {
		for _, l := range d.listeners[z] {
			if l.addr == addr {
				return l.accepting.Load()
			}
		}
	}
	return false
}

func (d *destinations) close() {
	for z := range zoneCount {
		if d.listeners[z][listenersPerZone-1] != nil {
			d.stopZone(z)
		}
	}
}

// entry returns the list entry of a destination's endpoint at one of its zone's listeners, or at an unreachable address
// if the destination is down.
func (d *destinations) entry(dest, side int, host string, down bool) platform.Entry {
	z := dest % zoneCount
	e := platform.Entry{
		Host: host, Dial: d.listeners[z][side].addr, Site: zoneName(z), Class: "any", Block: dest,
		Health: "Ready", Share: d.listedRate,
	}
	if down {
		e.Dial = d.unreachableAddr
	}
	return e
}

// This file owns the numbers that the module knows endpoints by. It must never hand out a number twice or forget
// one: a call to an endpoint may end long after it left the list.

package exchange

import "eiderhaven/rules"

// directory numbers the endpoints for the module and knows how to reach them.
type directory struct {
	ids   map[string]rules.EndpointID
	hosts map[rules.EndpointID]Host
	dests map[int]bool // heard of at any time
}

func newDirectory() directory {
	return directory{ids: map[string]rules.EndpointID{}, hosts: map[rules.EndpointID]Host{}, dests: map[int]bool{}}
}

// update takes in a listing and returns it in the module's terms.
func (d *directory) update(l Listing) rules.Listed {
	out := rules.Listed{Whole: l.Whole}
	for _, h := range l.Hosts {
		id := d.ids[h.Name]
		if h.Gone {
			if id == 0 {
				continue // gone before it was ever heard of
			}
			h = d.hosts[id]
			h.Gone = true
		}
		if id == 0 {
			id = rules.EndpointID(len(d.ids) + 1)
			d.ids[h.Name] = id
		}
		d.hosts[id] = h
		d.dests[h.Dest] = true
		out.Entries = append(out.Entries, rules.Entry{Endpoint: id, Destination: h.Dest, Kind: h.Kind, Zone: h.Zone,
			ListedRate: h.Rate, Draining: h.Draining, Gone: h.Gone})
	}
	return out
}

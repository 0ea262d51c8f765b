// Package directory follows the endpoints that register themselves.
//
// Registrations come as a feed of entries. An entry that disappears while the registry is away may belong
// to an endpoint that still lives and could not renew it, so it is kept for a while after the registry's return.
package directory

import (
	"maps"
	"slices"
	"time"
)

// lapseGrace is how long a registration that lapsed while the registry was away stays in use after its
// return. Endpoints that live have registered again within about two seconds.
const lapseGrace = 2 * time.Second

// Model is a model that an endpoint holds.
type Model struct {
	Name     string
	Version  int64
	Adapters []string
}

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID       string
	Pool     string
	Address  string // IP number and port
	Domain   string // failure domain
	Software string // version of the endpoint's software
	Slots    int
	Leaving  bool
	Born     int64 // start, Unix milliseconds; 0 when it is not stated
	Models   []Model
	Memory   []string      // models kept in host memory
	Disk     []string      // models kept on disk
	Seen     time.Duration // when the registration came
}

// Same reports whether two registrations are of one process: an endpoint may start again under its id.
func (e Endpoint) Same(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.Born == other.Born
}

func (e Endpoint) seen(now time.Duration) Endpoint {
	e.Seen = now
	return e
}

// Change is a registration that was written or removed.
type Change struct {
	ID       string
	Revision int64    // of the registry's row
	Endpoint Endpoint // unset when Removed
	Removed  bool
}

// Directory is the set of registered endpoints. It is not safe for concurrent use.
type Directory struct {
	endpoints map[string]Endpoint
	lapsed    map[string]time.Duration // removed while the registry was away; when each is given up
	lost      bool
	returned  time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{endpoints: map[string]Endpoint{}, lapsed: map[string]time.Duration{}, returned: -lapseGrace}
}

// Lose says that the registry can't be reached.
func (d *Directory) Lose() { d.lost = true }

// Regain says that the registry answers again.
func (d *Directory) Regain(now time.Duration) {
	if d.lost {
		d.lost, d.returned = false, now
	}
}

// Apply takes changes in their order.
func (d *Directory) Apply(now time.Duration, changes []Change) {
	for _, c := range changes {
		if c.Removed {
			d.remove(now, c.ID)
			continue
		}
		d.endpoints[c.ID] = c.Endpoint.seen(now)
		delete(d.lapsed, c.ID)
	}
}

// remove drops an endpoint, or marks it as lapsed when its registration may have ended with the registry's absence.
func (d *Directory) remove(now time.Duration, id string) {
	if _, known := d.endpoints[id]; !known {
		return
	}
	if d.endpoints[id].Leaving || now-d.returned >= lapseGrace {
		delete(d.endpoints, id)
		delete(d.lapsed, id)
		return
	}
	if _, waiting := d.lapsed[id]; !waiting {
		d.lapsed[id] = d.returned + lapseGrace
	}
}

// Sweep gives up the lapsed registrations whose time is over and reports whether there were any.
func (d *Directory) Sweep(now time.Duration) bool {
	swept := false
	for id, until := range d.lapsed {
		if now >= until {
			delete(d.endpoints, id)
			delete(d.lapsed, id)
			swept = true
		}
	}
	return swept
}

// Endpoint returns a registered endpoint.
func (d *Directory) Endpoint(id string) (Endpoint, bool) {
	e, known := d.endpoints[id]
	return e, known
}

// Endpoints returns the endpoints in ascending order of their ids.
func (d *Directory) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(d.endpoints))
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		list = append(list, d.endpoints[id])
	}
	return list
}

// Package directory keeps the list of endpoints that registered themselves in the registry, the store's table of endpoints.
//
// Registrations arrive as changes to rows of the registry. A registration that is removed while the registry is unreachable
// may belong to an endpoint that still runs and only could not renew it. It is therefore kept for a short time after the
// registry is reachable again.
package directory

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// lapseGrace is how long a registration that lapsed while the registry was unreachable stays in use after the registry is
// reachable again. Endpoints that still run register again within about two seconds.
const lapseGrace = 2 * time.Second

// Model is a model that an endpoint has loaded, with the adapters loaded for it.
type Model struct {
	Name     string
	Version  int64
	Adapters []string
}

// Endpoint is the registration of an endpoint.
type Endpoint struct {
	ID             string
	Pool           string
	Address        string        // IP address and port
	Domain         string        // failure domain
	Software       string        // version of the endpoint's software
	Slots          int           // requests that the endpoint runs at once
	Leaving        bool          // the endpoint has announced that it shuts down
	Evacuated      bool          // operators have asked that nothing be sent to the endpoint's failure domain
	StartedAt      int64         // of the process, Unix milliseconds; 0 when the registration does not state it
	ColdFor        time.Duration // how much longer the endpoint is cold after ReceivedAt
	Models         []Model
	ModelsInMemory []string      // of the endpoint's machine
	ModelsOnDisk   []string      // of the endpoint's machine
	ReceivedAt     time.Duration // of the registration
}

// TakesRequests reports whether new requests and orders may go to the endpoint: it is not leaving, and its failure domain is not
// evacuated.
func (e Endpoint) TakesRequests() bool { return !e.Leaving && !e.Evacuated }

// SameProcess reports whether two registrations are of the same process. An endpoint may restart under the same ID.
func (e Endpoint) SameProcess(other Endpoint) bool {
	return e.ID == other.ID && e.Address == other.Address && e.StartedAt == other.StartedAt
}

// Process identifies the process among all processes of all endpoints.
func (e Endpoint) Process() string {
	return e.ID + "@" + e.Address + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// withSeen returns the registration with the time at which it was received.
func (e Endpoint) withSeen(now time.Duration) Endpoint {
	e.ReceivedAt = now
	return e
}

// Change is a registration that was written to the registry or removed from it.
type Change struct {
	ID       string
	Revision int64    // revision of the row in the registry
	Endpoint Endpoint // empty when Removed is true
	Removed  bool
}

// Directory is the set of registered endpoints. It is not safe for concurrent use.
type Directory struct {
	endpoints      map[string]Endpoint
	lapsedUntil    map[string]time.Duration // by endpoint ID: when the lapsed registration is removed
	leavingSince   map[string]time.Duration // by process: when it said in a response that it leaves
	evacuated      map[string]bool          // failure domains
	unreachable    bool
	reachableSince time.Duration
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{endpoints: map[string]Endpoint{}, lapsedUntil: map[string]time.Duration{}, leavingSince: map[string]time.Duration{}, evacuated: map[string]bool{}, reachableSince: -lapseGrace}
}

// SetUnreachable records that the registry is unreachable.
func (d *Directory) SetUnreachable() { d.unreachable = true }

// SetReachable records that the registry is reachable. A call while it is already reachable changes nothing.
func (d *Directory) SetReachable(now time.Duration) {
	if d.unreachable {
		d.unreachable, d.reachableSince = false, now
	}
}

// SetRestored records that the registry has come back from a backup. Registrations that it has lost lapse, so that endpoints which
// still run have time to register again, and a process that was leaving stays so although the backup may call it ready.
func (d *Directory) SetRestored(now time.Duration) {
	d.unreachable, d.reachableSince = false, now
	for _, e := range d.endpoints {
		if e.Leaving {
			d.MarkLeaving(now, e)
		}
	}
}

// Apply applies changes to registrations in their order. now is the time at which they were received.
func (d *Directory) Apply(now time.Duration, changes []Change) {
	for _, c := range changes {
		if c.Removed {
			d.remove(now, c.ID)
			continue
		}
		d.endpoints[c.ID] = d.withNotice(c.Endpoint.withSeen(now))
		delete(d.lapsedUntil, c.ID)
	}
}

// leavingMemory is how long a process that is not registered any more counts as leaving if it registers again.
const leavingMemory = time.Hour

// MarkLeaving records that a process has said in a response that it leaves, which holds whatever its registrations say later. It
// reports whether that is new.
func (d *Directory) MarkLeaving(now time.Duration, e Endpoint) bool {
	process := e.Process()
	if _, known := d.leavingSince[process]; known {
		return false
	}
	d.leavingSince[process] = now
	if registered, found := d.endpoints[e.ID]; found {
		d.endpoints[e.ID] = d.withNotice(registered)
	}
	return true
}

// withNotice returns a registration that says that the endpoint leaves if its process has said so in a response.
func (d *Directory) withNotice(e Endpoint) Endpoint {
	if _, leaving := d.leavingSince[e.Process()]; leaving {
		e.Leaving = true
	}
	return e
}

// forgetLeaving drops the processes that said long ago that they leave and are not registered.
func (d *Directory) forgetLeaving(now time.Duration) {
	for process, since := range d.leavingSince {
		if now-since > leavingMemory && !d.isRegistered(process) {
			delete(d.leavingSince, process)
		}
	}
}

// isRegistered reports whether a process is registered.
func (d *Directory) isRegistered(process string) bool {
	for _, e := range d.endpoints {
		if e.Process() == process {
			return true
		}
	}
	return false
}

// remove removes an endpoint. It only marks the endpoint as lapsed when the registration may have ended because the
// registry was unreachable.
func (d *Directory) remove(now time.Duration, id string) {
	if _, known := d.endpoints[id]; !known {
		return
	}
	if d.endpoints[id].Leaving || now-d.reachableSince >= lapseGrace {
		delete(d.endpoints, id)
		delete(d.lapsedUntil, id)
		return
	}
	if _, lapsed := d.lapsedUntil[id]; !lapsed {
		d.lapsedUntil[id] = d.reachableSince + lapseGrace
	}
}

// RemoveLapsed removes the lapsed registrations that were not renewed within lapseGrace and reports whether there were any.
func (d *Directory) RemoveLapsed(now time.Duration) bool {
	d.forgetLeaving(now)
	removed := false
	for id, until := range d.lapsedUntil {
		if now >= until {
			delete(d.endpoints, id)
			delete(d.lapsedUntil, id)
			removed = true
		}
	}
	return removed
}

// Endpoint returns the endpoint with an ID and whether it is registered.
func (d *Directory) Endpoint(id string) (Endpoint, bool) {
	e, known := d.endpoints[id]
	return d.withEvacuation(e), known
}

// Endpoints returns the registered endpoints in ascending order of their IDs.
func (d *Directory) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(d.endpoints))
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		list = append(list, d.withEvacuation(d.endpoints[id]))
	}
	return list
}

package directory

import (
	"maps"
	"slices"
)

// SetEvacuated records whether a failure domain is evacuated, and reports whether that is new. It holds for all endpoints of the
// domain, also for those that register later.
func (d *Directory) SetEvacuated(domain string, evacuated bool) bool {
	if d.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		d.evacuated[domain] = true
	} else {
		delete(d.evacuated, domain)
	}
	return true
}

// EvacuatedDomains returns the evacuated failure domains in ascending order.
func (d *Directory) EvacuatedDomains() []string { return slices.Sorted(maps.Keys(d.evacuated)) }

// withEvacuation returns a registration that says whether the endpoint's failure domain is evacuated.
func (d *Directory) withEvacuation(e Endpoint) Endpoint {
	e.Evacuated = d.evacuated[e.Domain]
	return e
}

package dispatch

import (
	"slices"
	"time"

	"magnoliahoist/catalog"
	"magnoliahoist/origin"
)

// What endpoints of two software versions write does not fit together: a stream may go on only at the version that began it.

// softwareVersion is the software version whose endpoints may serve a request.
type softwareVersion struct {
	bound bool // false: any version
	name  string
}

// fits reports whether an endpoint has a version that may serve the request.
func (r *request) fits(ep *endpoint) bool { return !r.version.bound || ep.Software == r.version.name }

// mayUse reports whether a request may go to an endpoint, apart from its state: it takes requests and has a version that fits.
func (r *request) mayUse(ep *endpoint) bool { return ep.TakesRequests() && r.fits(ep) }

// bindVersion binds a stream to the version of the endpoint that sent its first event.
func (r *request) bindVersion() {
	if r.route.Stream && !r.version.bound {
		r.version = softwareVersion{bound: true, name: r.sentTo}
	}
}

// bindOrigin binds a request that takes up a stream to the version and the pool that began it. It reports false with the reason if that
// version has no endpoint, or if the stream could be of several.
func (s *State) bindOrigin(now time.Duration, r *request) (Reason, bool) {
	if r.arrival.Request.Resumption.LastEventID == "" || !r.route.Stream || !r.route.Resumable {
		return 0, true
	}
	known := r.arrival.Origin
	version := known.Version
	if !known.Known {
		unrecorded, found := s.unrecordedVersion(now, r)
		if !found {
			return UnknownVersion, false
		}
		version = unrecorded
	}
	if !slices.ContainsFunc(r.route.Pools, func(p catalog.WeightedPool) bool { return p.Pool == version.Pool }) {
		return NoVersion, false
	}
	r.pool = s.poolByName(version.Pool)
	r.version = softwareVersion{bound: true, name: version.Software}
	return NoVersion, slices.ContainsFunc(r.pool.endpoints, r.mayUse)
}

// unrecordedVersion returns the version that began a stream without a record: the base version, or, if the records could not be read, the
// only one that was in service lately.
func (s *State) unrecordedVersion(now time.Duration, r *request) (origin.Version, bool) {
	known, pool := r.arrival.Origin, r.pool.spec.Name
	if software, found := known.Bases[pool]; found {
		return origin.Version{Pool: pool, Software: software}, true
	}
	if !known.Recalled {
		return origin.Version{}, false
	}
	return s.versions.Only(now, pool)
}

// TakesUp reports whether a request may be admitted and takes up a stream. It changes nothing.
func (s *State) TakesUp(arrival RequestArrived) bool {
	if arrival.Request.Resumption.LastEventID == "" {
		return false
	}
	route, _, _, known := s.identify(arrival.Request, arrival.CutOff)
	return known && route.Stream && route.Resumable
}

// preferredVersion returns the version at which a request should begin its stream, because records can't be written.
func (s *State) preferredVersion(r *request) (string, bool) {
	if !r.route.Stream || !r.route.Resumable || r.version.bound {
		return "", false
	}
	software, preferred := s.preferredBases[r.pool.spec.Name]
	return software, preferred
}

// MixedVersions returns the software versions of the pools that had several in service lately.
func (s *State) MixedVersions(now time.Duration) []origin.Sighting { return s.versions.Mixed(now) }

package dispatch

// What endpoints of two software versions write does not fit together: a stream may go on only at the version that began it.

// softwareVersion is the software version whose endpoints may serve a request.
type softwareVersion struct {
	bound bool // false: any version
	name  string
}

// fits reports whether an endpoint has a version that may serve the request.
func (r *request) fits(ep *endpoint) bool { return !r.version.bound || ep.Software == r.version.name }

// bindVersion binds a stream to the version of the endpoint that sent its first event.
func (r *request) bindVersion() {
	if r.route.Stream && !r.version.bound {
		r.version = softwareVersion{bound: true, name: r.sentTo}
	}
}

package state

//go:generate go tool stringer -type=Reason,Run -linecomment -output=reason_string.go

// Reason says why a request was refused or ended.
type Reason int

// Reasons. Their texts are the error types that callers see, and label values in metrics.
const (
	NoReason               Reason = iota // none
	HostStale                            // host_not_current
	HostDraining                         // host_draining
	MissingKey                           // missing_key
	UnknownKey                           // unknown_key
	WithdrawnKey                         // withdrawn_key
	RouteNotAllowed                      // route_not_allowed
	UnknownRoute                         // unknown_route
	IdempotencyKeyRequired               // idempotency_key_required
	ExceedsBurst                         // request_exceeds_burst
	RateLimited                          // rate_limited
	Overloaded                           // overloaded
	EndpointUnavailable                  // endpoint_unavailable
	EndpointFailed                       // endpoint_failed
	TimedOut                             // timeout
)

// Run says whether an endpoint ran a refused request.
type Run int

// Values of the X-Run header. RunNo guarantees that no endpoint ran the request, so the caller may safely repeat it.
const (
	RunNo      Run = iota // no
	RunYes                // yes
	RunUnknown            // unknown
)

package endpoint

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt. Failed: no usable response came. Refused: the endpoint certainly did not run the request. Interrupted: the response broke off.
// Cancelled: the caller or the host ended the attempt. Absent: the endpoint does not hold the model, or the attempt was not made;
// neither is a failure of the endpoint.
const (
	Done        Outcome = iota // done
	Failed                     // failed
	Refused                    // refused
	Interrupted                // cut
	Cancelled                  // cancelled
	Absent                     // absent
)

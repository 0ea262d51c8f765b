package endpoint

//go:generate go tool stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the end of an attempt.
type Outcome int

// Outcomes of an attempt. Absent says that the endpoint does not hold the model, or that the attempt was
// not made; neither is a failure of the endpoint.
const (
	Done      Outcome = iota // done
	Failed                   // failed
	Refused                  // refused
	Cut                      // cut
	Cancelled                // cancelled
	Absent                   // absent
)

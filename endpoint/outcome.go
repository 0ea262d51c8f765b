package endpoint

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the end of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Done      Outcome = iota // done
	Failed                   // failed
	Refused                  // refused
	Cut                      // cut
	Cancelled                // cancelled
)

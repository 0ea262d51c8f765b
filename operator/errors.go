package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Errors of a Backend.
const (
	// ErrRefused says that nothing was done, and nothing will be.
	ErrRefused = errors.ConstError("refused, nothing was changed")
	// ErrUnknown says that the change may have taken effect or may do so later.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrMissing says that the key or the change does not exist.
	ErrMissing = errors.ConstError("does not exist")
	// ErrReused says that the edit id was used for a different edit.
	ErrReused = errors.ConstError("edit id already used for a different edit")
)

// Conflict says that the configuration has moved on; nothing was changed.
type Conflict struct {
	Current int64 // revision
}

// Error names the current revision.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the current version is %d", c.Current)
}

// Values of the header X-Run.
const (
	runHeader  = "X-Run"
	runNo      = "no"
	runUnknown = "unknown"
)

// Failure is an answer other than success, as the server writes and the client returns it.
type Failure struct {
	Status   int               `json:"-"`
	Type     string            `json:"type"`
	Message  string            `json:"message"`
	Run      string            `json:"run"`
	Current  int64             `json:"current,omitempty"` // revision, for conflicts
	Problems document.Problems `json:"problems,omitempty"`

	cause error
}

// Unwrap returns the error of the connection when no answer came.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns the message with all problems.
func (f *Failure) Error() string {
	if len(f.Problems) > 0 {
		return f.Message + "\n" + f.Problems.Error()
	}
	return f.Message
}

// toFailure translates an error of a backend. Where a change was asked for, an error that
// doesn't promise that nothing happened is unknown.
func toFailure(err error, isChange bool) *Failure {
	var (
		failure  *Failure
		conflict *Conflict
		problems document.Problems
	)
	switch {
	case errors.As(err, &failure):
		return failure
	case errors.As(err, &conflict):
		return &Failure{Status: http.StatusPreconditionFailed, Type: "conflict", Message: err.Error(), Run: runNo, Current: conflict.Current}
	case errors.As(err, &problems):
		return &Failure{Status: http.StatusUnprocessableEntity, Type: "invalid", Message: "the document was refused", Run: runNo, Problems: problems}
	case errors.Is(err, ErrMissing):
		return &Failure{Status: http.StatusNotFound, Type: "missing", Message: err.Error(), Run: runNo}
	case errors.Is(err, ErrReused):
		return &Failure{Status: http.StatusConflict, Type: "reused", Message: err.Error(), Run: runNo}
	case errors.Is(err, ErrRefused) || !isChange:
		return &Failure{Status: http.StatusServiceUnavailable, Type: "unavailable", Message: err.Error(), Run: runNo}
	}
	return &Failure{Status: http.StatusGatewayTimeout, Type: "unknown", Message: err.Error(), Run: runUnknown}
}

func (f *Failure) write(w http.ResponseWriter) {
	w.Header().Set(runHeader, f.Run)
	w.Header().Set("Content-Type", "application/json")
	if f.Status == http.StatusPreconditionFailed {
		w.Header().Set("ETag", formatETag(f.Current))
	}
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(map[string]*Failure{"error": f}) // an error means that the operator has gone
}

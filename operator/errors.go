package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"magnoliahoist/document"
)

// Errors that a Backend returns.
const (
	// ErrRefused means that nothing was changed, and nothing will be changed later by this request.
	ErrRefused = errors.ConstError("refused, nothing was changed")
	// ErrOutcomeUnknown means that the change may have taken effect, or may still take effect.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown")
	// ErrNotFound means that the key or the change does not exist.
	ErrNotFound = errors.ConstError("does not exist")
	// ErrEditIDReused means that the edit id was already used for a different edit.
	ErrEditIDReused = errors.ConstError("edit id already used for a different edit")
)

// Conflict means that the configuration is not at the revision that an edit is based on; nothing was changed.
type Conflict struct {
	CurrentRevision int64 // revision of the configuration
}

// Error returns a message with the current revision.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the current version is %d", c.CurrentRevision)
}

// The X-Run header of a response says whether the request had an effect, with the values "no" and "unknown".
const (
	runHeader  = "X-Run"
	runNo      = "no"
	runUnknown = "unknown"
)

// Failure is a response other than success. The server writes it as JSON, and the client returns it as error.
type Failure struct {
	Status          int               `json:"-"` // HTTP status; 0 without a response
	Type            string            `json:"type"`
	Message         string            `json:"message"`
	Run             string            `json:"run"`               // whether the request had an effect: no or unknown
	CurrentRevision int64             `json:"current,omitempty"` // revision of the configuration, for conflicts
	Problems        document.Problems `json:"problems,omitempty"`

	cause error // of a failure without a response
}

// Unwrap returns the error of the connection or of decoding, and nil for a Failure that the host sent.
func (f *Failure) Unwrap() error { return f.cause }

// Error returns the message, followed by all problems.
func (f *Failure) Error() string {
	if len(f.Problems) > 0 {
		return f.Message + "\n" + f.Problems.Error()
	}
	return f.Message
}

// toFailure converts an error of a backend. For a request that changes something, an error that doesn't say that nothing was changed
// becomes an unknown outcome.
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
		return &Failure{Status: http.StatusPreconditionFailed, Type: "conflict", Message: err.Error(), Run: runNo, CurrentRevision: conflict.CurrentRevision}
	case errors.As(err, &problems):
		return &Failure{Status: http.StatusUnprocessableEntity, Type: "invalid", Message: "the document was refused", Run: runNo, Problems: problems}
	case errors.Is(err, ErrNotFound):
		return &Failure{Status: http.StatusNotFound, Type: "missing", Message: err.Error(), Run: runNo}
	case errors.Is(err, ErrEditIDReused):
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
		w.Header().Set("ETag", formatETag(f.CurrentRevision))
	}
	w.WriteHeader(f.Status)
	json.NewEncoder(w).Encode(map[string]*Failure{"error": f}) // an error means that the client closed the connection
}

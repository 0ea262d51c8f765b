package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"magnoliahoist/state"
)

// runHeader says whether the request was run; "no" is a promise.
const runHeader = "X-Run"

// idHeader carries the id of a request towards callers and of an attempt towards endpoints.
const idHeader = "X-Request-Id"

// refusal is an answer of the host's own.
type refusal struct {
	status  int
	kind    string
	message string
	run     state.Run
	retry   time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

func (r refusal) body() []byte {
	body, err := json.Marshal(errorBody{errorDetail{r.kind, r.message, r.run.String()}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// write sends the refusal.
func (r refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(runHeader, r.run.String())
	if r.retry > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retry.Seconds()))))
	}
	w.WriteHeader(r.status)
	w.Write(r.body())
}

// refusalFor returns the answer for a reason of the reducer.
func refusalFor(reason state.Reason, run state.Run, retry time.Duration) refusal {
	status, message := describe(reason)
	return refusal{status, reason.String(), message, run, retry}
}

func describe(reason state.Reason) (int, string) {
	switch reason {
	case state.Stale:
		return http.StatusServiceUnavailable, "the host has lost contact with the shared state"
	case state.Draining:
		return http.StatusServiceUnavailable, "the host is stopping; use another connection"
	case state.MissingKey:
		return http.StatusUnauthorized, "a key is required as bearer token"
	case state.UnknownKey:
		return http.StatusUnauthorized, "the key is not known"
	case state.WithdrawnKey:
		return http.StatusUnauthorized, "the key has been withdrawn"
	case state.NotAllowed:
		return http.StatusForbidden, "the client account may not use this route"
	case state.UnknownRoute:
		return http.StatusNotFound, "no route has this model or path"
	case state.KeyRequired:
		return http.StatusBadRequest, "calls of this route need an Idempotency-Key header"
	case state.TooLarge:
		return http.StatusRequestEntityTooLarge, "prompt and tokens together exceed the burst of the client account"
	case state.RateLimited:
		return http.StatusTooManyRequests, "the client account has used its rate and burst"
	case state.Overloaded:
		return http.StatusServiceUnavailable, "no endpoint became free in time"
	case state.NoEndpoint:
		return http.StatusServiceUnavailable, "no endpoint is available for this route"
	case state.TimedOut:
		return http.StatusGatewayTimeout, "the call took longer than allowed"
	default:
		return http.StatusBadGateway, "the endpoint failed"
	}
}

func badRequest(kind, message string) refusal {
	return refusal{http.StatusBadRequest, kind, message, state.RunNo, 0}
}

package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"magnoliahoist/state"
)

// runHeader tells a caller whether the request was run; "no" guarantees that it was not. An endpoint sets it in the same sense.
const runHeader = "X-Run"

// requestIDHeader carries the id of the request in responses to callers, and the id of the attempt in requests to endpoints and
// their responses.
const requestIDHeader = "X-Request-Id"

// refusal is an error response that the host itself sends to a caller.
type refusal struct {
	status     int
	errorType  string
	message    string
	run        state.Run
	retryAfter time.Duration // 0 for no Retry-After header
}

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Run     string `json:"run"`
}

func (r refusal) body() []byte {
	body, err := json.Marshal(errorBody{errorDetail{r.errorType, r.message, r.run.String()}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// write sends the refusal to the caller.
func (r refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(runHeader, r.run.String())
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	w.WriteHeader(r.status)
	w.Write(r.body())
}

// refusalFor returns the refusal for a reason of the state machine.
func refusalFor(reason state.Reason, run state.Run, retryAfter time.Duration) refusal {
	status, message := statusAndMessage(reason)
	return refusal{status, reason.String(), message, run, retryAfter}
}

func statusAndMessage(reason state.Reason) (int, string) {
	switch reason {
	case state.HostStale:
		return http.StatusServiceUnavailable, "the host has lost contact with the shared state"
	case state.HostDraining:
		return http.StatusServiceUnavailable, "the host is stopping; use another connection"
	case state.MissingKey:
		return http.StatusUnauthorized, "a key is required as bearer token"
	case state.UnknownKey:
		return http.StatusUnauthorized, "the key is not known"
	case state.WithdrawnKey:
		return http.StatusUnauthorized, "the key has been withdrawn"
	case state.RouteNotAllowed:
		return http.StatusForbidden, "the client account may not use this route"
	case state.UnknownRoute:
		return http.StatusNotFound, "no route has this model or path"
	case state.IdempotencyKeyRequired:
		return http.StatusBadRequest, "calls of this route need an Idempotency-Key header"
	case state.ExceedsBurst:
		return http.StatusRequestEntityTooLarge, "prompt and tokens together exceed the burst of the client account"
	case state.RateLimited:
		return http.StatusTooManyRequests, "the client account has used its rate and burst"
	case state.Overloaded:
		return http.StatusServiceUnavailable, "no endpoint became free in time"
	case state.EndpointUnavailable:
		return http.StatusServiceUnavailable, "no endpoint is available for this route"
	case state.TimedOut:
		return http.StatusGatewayTimeout, "the call took longer than allowed"
	default:
		return http.StatusBadGateway, "the endpoint failed"
	}
}

func badRequest(errorType, message string) refusal {
	return refusal{http.StatusBadRequest, errorType, message, state.RunNo, 0}
}

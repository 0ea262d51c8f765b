package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"unicode/utf8"

	"magnoliahoist/account"
	"magnoliahoist/replica"
	"magnoliahoist/state"
)

const (
	bytesPerToken          = 4        // bytes of a prompt that are counted as one token
	prefixBytes            = 512      // bytes at the start of a prompt that are hashed for prefix affinity
	maxIdempotencyKeyBytes = 256      // bytes of an Idempotency-Key header
	maxInitialBodyBuffer   = 64 << 10 // bytes allocated for a body before any of it has arrived
)

// prefixSeed is fixed for the lifetime of the process. Hosts need not compute the same hashes: prefix affinity needs no agreement
// between them beyond what the reports of the endpoints carry.
var prefixSeed = maphash.MakeSeed()

// requestCounter numbers the requests of this host, from 1.
type requestCounter struct{ last atomic.Uint64 }

func (s *requestCounter) next() uint64 { return s.last.Add(1) }

// bearerKey returns the bearer token of the Authorization header, or an empty string. A key in any other place doesn't count.
func bearerKey(r *http.Request) string {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// keyDigest returns the digest of a key, and an empty string for a request without one.
func keyDigest(key string) string {
	if key == "" {
		return ""
	}
	return account.Digest(key)
}

// readBody reads the body of a request, or returns the refusal if the body is incomplete or exceeds Limits.MaxBodyBytes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal) {
	limit := s.limits.Load().MaxBodyBytes
	bodyTooLarge := &refusal{http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit", state.RunNo, 0}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // otherwise the server would read the rest of the body, which may never arrive
		return nil, bodyTooLarge
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit, maxInitialBodyBuffer))
	var maxBytesErr *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &maxBytesErr):
		return nil, bodyTooLarge
	default:
		refused := badRequest("incomplete_body", "the body could not be read whole")
		return nil, &refused
	}
}

// readAll reads to the end. The expected size only sets the first allocation; it is negative if it is unknown.
func readAll(reader io.Reader, expectedSize int64) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(int(max(expectedSize, 0)) + bytes.MinRead)
	_, err := buffer.ReadFrom(reader)
	return buffer.Bytes(), err
}

// containsKey reports whether a request contains a key, the caller's or another one, in a part that would be forwarded to an endpoint.
func containsKey(view *replica.View, key string, target *url.URL, header http.Header, body []byte) bool {
	if key != "" && bytes.Contains(body, []byte(key)) {
		return true
	}
	return headerContainsKey(view, key, header) || urlContainsKey(view, key, target)
}

func headerContainsKey(view *replica.View, key string, header http.Header) bool {
	for _, values := range header {
		if matchesKey(view, key, values[0]) {
			return true
		}
	}
	return false
}

func urlContainsKey(view *replica.View, key string, target *url.URL) bool {
	for _, values := range target.Query() {
		for _, value := range values {
			if matchesKey(view, key, value) {
				return true
			}
		}
	}
	for segment := range strings.SplitSeq(target.Path, "/") {
		if matchesKey(view, key, segment) {
			return true
		}
	}
	return false
}

// matchesKey reports whether a value contains the caller's key or is itself a known key of any account.
func matchesKey(view *replica.View, key, value string) bool {
	if value == "" {
		return false
	}
	if key != "" && strings.Contains(value, key) {
		return true
	}
	_, known := view.KeyByDigest(account.Digest(value))
	return known
}

// completionRequest is a completion or chat request. Fields that the host doesn't read are forwarded unchanged.
type completionRequest struct {
	model     string // name of a model route
	stream    bool   // the caller asks for an event stream
	maxTokens int64  // 0 if the caller sets none
	prompt    []byte // JSON of the prompt or the messages
	fields    map[string]json.RawMessage
}

// Names of the body's fields that the host reads or writes.
const (
	fieldModel               = "model"
	fieldAdapter             = "adapter"
	fieldStream              = "stream"
	fieldMaxTokens           = "max_tokens"
	fieldMaxCompletionTokens = "max_completion_tokens"
	fieldPrompt              = "prompt"
	fieldMessages            = "messages"
	fieldChoices             = "n"
	fieldBestOf              = "best_of"
)

// parseCompletion parses and checks a completion or chat request.
func parseCompletion(body []byte) (completionRequest, *refusal) {
	var c completionRequest
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return c, malformedRequest("the body is not a JSON object")
	}
	if name, found := c.miscasedField(); found {
		return c, malformedRequest(name + " must be written in lower case")
	}
	if err := json.Unmarshal(c.fields[fieldModel], &c.model); err != nil || c.model == "" {
		return c, malformedRequest("model must be the name of a route")
	}
	if refused := c.checkFieldNames(); refused != nil {
		return c, refused
	}
	if refused := c.parseOptions(); refused != nil {
		return c, refused
	}
	return c, c.parsePrompt()
}

// fieldNames are the names that checkFieldNames compares with.
var fieldNames = []string{fieldModel, fieldAdapter, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldPrompt, fieldMessages, fieldChoices, fieldBestOf}

// checkFieldNames refuses field names that differ only in case from those that the host reads or writes. An endpoint that ignores
// case would take such a field for the one that the host has checked or written, and the call would get around its token limit or
// its adapter.
func (c *completionRequest) checkFieldNames() *refusal {
	for field := range c.fields {
		for _, name := range fieldNames {
			if field != name && strings.EqualFold(field, name) {
				return malformedRequest("the field " + name + " must be written in lower case")
			}
		}
	}
	return nil
}

// parsePrompt reads the prompt or the messages and refuses requests with both or with several prompts. An endpoint generates up to
// max_tokens for each of several prompts, and depending on the path it reads either prompt or messages, so that the account would
// not be charged for all of them.
func (c *completionRequest) parsePrompt() *refusal {
	messages := c.fields[fieldMessages]
	c.prompt = c.fields[fieldPrompt]
	switch {
	case len(messages) > 0 && len(c.prompt) > 0:
		return malformedRequest("prompt and messages must not both be given")
	case len(messages) > 0:
		c.prompt = messages
		return nil
	case len(c.prompt) == 0:
		return malformedRequest("prompt or messages is required")
	}
	var list []json.RawMessage
	if json.Unmarshal(c.prompt, &list) != nil || len(list) < 2 {
		return nil
	}
	for _, entry := range list {
		if entry[0] == '"' || entry[0] == '[' {
			return malformedRequest("prompt must be a single prompt")
		}
	}
	return nil
}

// hostFieldNames are the names that miscasedField compares with.
var hostFieldNames = []string{
	fieldModel, fieldAdapter, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldPrompt, fieldMessages, fieldChoices, fieldBestOf,
}

// miscasedField returns the name of a field that the request contains in another case, and whether there is one. Some endpoints read
// such a field as the one in lower case, which would get around the token limit.
func (c *completionRequest) miscasedField() (string, bool) {
	for field := range c.fields {
		for _, name := range hostFieldNames {
			if field != name && strings.EqualFold(field, name) {
				return name, true
			}
		}
	}
	return "", false
}

func (c *completionRequest) parseOptions() *refusal {
	if raw := c.fields[fieldStream]; len(raw) > 0 && json.Unmarshal(raw, &c.stream) != nil {
		return malformedRequest("stream must be true or false")
	}
	for _, field := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		raw := c.fields[field]
		if len(raw) == 0 || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, &c.maxTokens); err != nil || c.maxTokens <= 0 {
			return malformedRequest(field + " must be a whole number above 0")
		}
	}
	// Several choices for one call would generate a multiple of the tokens that are charged to the account.
	for _, field := range []string{fieldChoices, fieldBestOf} {
		if raw := c.fields[field]; len(raw) > 0 && string(raw) != "1" && string(raw) != "null" {
			return malformedRequest(field + " must be 1")
		}
	}
	return nil
}

func malformedRequest(message string) *refusal {
	refused := badRequest("malformed_request", message)
	return &refused
}

// promptTokens returns the estimated tokens of the prompt, at least 1.
func (c completionRequest) promptTokens() int64 {
	return int64(len(c.prompt)/bytesPerToken) + 1
}

// prefixHash returns the hash of the first prefixBytes of the prompt.
func (c completionRequest) prefixHash() uint64 {
	return maphash.Bytes(prefixSeed, c.prompt[:min(len(c.prompt), prefixBytes)])
}

// bodyFor returns the body for an endpoint, with the model and adapter of the route and the token limit. All other fields are copied
// unchanged; parseCompletion has checked them.
func (c completionRequest) bodyFor(model, adapter string, maxTokens int64) ([]byte, error) {
	size := len(model) + len(adapter) + bodyOverheadBytes
	for name, value := range c.fields {
		size += len(name) + len(value) + fieldOverheadBytes
	}
	body := append(make([]byte, 0, size), '{')
	var err error
	if body, err = appendJSONString(append(body, `"model":`...), model); err != nil {
		return nil, err
	}
	body = strconv.AppendInt(append(body, `,"max_tokens":`...), maxTokens, 10)
	if adapter != "" {
		if body, err = appendJSONString(append(body, `,"adapter":`...), adapter); err != nil {
			return nil, err
		}
	}
	for name, value := range c.fields {
		switch name {
		case fieldModel, fieldAdapter, fieldMaxTokens, fieldMaxCompletionTokens:
			continue
		}
		if body, err = appendJSONString(append(body, ','), name); err != nil {
			return nil, err
		}
		body = append(append(body, ':'), value...)
	}
	return append(body, '}'), nil
}

// Sizes added to the caller's fields, so that one allocation suffices for the body to an endpoint.
const (
	bodyOverheadBytes  = 96 // names, quotes and numbers of the fields that the host writes
	fieldOverheadBytes = 4  // quotes, colon and comma of a copied field
)

// appendJSONString appends text as a JSON string; it calls the encoder only for text with special characters.
func appendJSONString(body []byte, text string) ([]byte, error) {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			encoded, err := json.Marshal(text)
			return append(body, encoded...), err
		}
	}
	return append(append(append(body, '"'), text...), '"'), nil
}

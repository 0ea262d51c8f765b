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
	bytesPerToken = 4        // of a prompt, for the estimate of its cost
	prefixBytes   = 512      // of a prompt's beginning, for prefix affinity
	maxKeyBytes   = 256      // of an idempotency key
	maxBodyAhead  = 64 << 10 // of a body's buffer before any of the body has arrived
)

// prefixSeed is the same in all requests of a process; affinity needs no agreement between hosts
// beyond what the endpoints' reports bring.
var prefixSeed = maphash.MakeSeed()

// idSource counts requests.
type idSource struct{ last atomic.Uint64 }

func (s *idSource) next() uint64 { return s.last.Add(1) }

// bearer returns the key of a request; only the Authorization header is read.
func bearer(r *http.Request) string {
	scheme, key, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func digestOf(key string) string {
	if key == "" {
		return ""
	}
	return account.Digest(key)
}

// readBody reads a body up to the limit.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal) {
	limit := s.limits.Load().Body
	tooLong := &refusal{http.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the limit", state.RunNo, 0}
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close") // otherwise the server reads on for bytes that may never come
		return nil, tooLong
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), min(r.ContentLength, limit, maxBodyAhead))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, tooLong
	default:
		refused := badRequest("incomplete_body", "the body could not be read whole")
		return nil, &refused
	}
}

// readAll reads to the end; the size is what is expected, less than 0 when not known.
func readAll(from io.Reader, size int64) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(int(max(size, 0)) + bytes.MinRead)
	_, err := buffer.ReadFrom(from)
	return buffer.Bytes(), err
}

// carriesKey reports whether a caller's key stands where it would be passed on to an endpoint.
func carriesKey(view *replica.View, key string, target *url.URL, header http.Header, body []byte) bool {
	if key != "" && bytes.Contains(body, []byte(key)) {
		return true
	}
	return headerCarriesKey(view, key, header) || targetCarriesKey(view, key, target)
}

func headerCarriesKey(view *replica.View, key string, header http.Header) bool {
	for _, values := range header {
		if isKey(view, key, values[0]) {
			return true
		}
	}
	return false
}

func targetCarriesKey(view *replica.View, key string, target *url.URL) bool {
	for _, values := range target.Query() {
		for _, value := range values {
			if isKey(view, key, value) {
				return true
			}
		}
	}
	for segment := range strings.SplitSeq(target.Path, "/") {
		if isKey(view, key, segment) {
			return true
		}
	}
	return false
}

func isKey(view *replica.View, key, value string) bool {
	if value == "" {
		return false
	}
	if key != "" && strings.Contains(value, key) {
		return true
	}
	_, known := view.KeyByDigest(account.Digest(value))
	return known
}

// completion is what the host reads of a completion request; all else is passed on as it came.
type completion struct {
	model  string
	stream bool
	limit  int64
	prompt []byte
	fields map[string]json.RawMessage
}

// Names of the fields that the host reads or writes.
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

// parseCompletion reads a completion or chat request.
func parseCompletion(body []byte) (completion, *refusal) {
	var c completion
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return c, malformed("the body is not a JSON object")
	}
	if name, found := c.ambiguous(); found {
		return c, malformed(name + " must be written in lower case")
	}
	if err := json.Unmarshal(c.fields[fieldModel], &c.model); err != nil || c.model == "" {
		return c, malformed("model must be the name of a route")
	}
	if refused := c.checkNames(); refused != nil {
		return c, refused
	}
	if refused := c.readOptions(); refused != nil {
		return c, refused
	}
	return c, c.readPrompt()
}

// fieldNames are the fields that the host reads or writes.
var fieldNames = []string{fieldModel, fieldAdapter, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldPrompt, fieldMessages, fieldChoices, fieldBestOf}

// checkNames refuses fields that an endpoint which ignores case would take for one that the host has
// checked or written, so that a call got past its bound of tokens or its adapter.
func (c *completion) checkNames() *refusal {
	for field := range c.fields {
		for _, name := range fieldNames {
			if field != name && strings.EqualFold(field, name) {
				return malformed("the field " + name + " must be written in lower case")
			}
		}
	}
	return nil
}

// readPrompt reads the one prompt. An endpoint answers each of several prompts with the full number of
// tokens, and reads prompt or messages by the path, so that more than one would pass uncounted.
func (c *completion) readPrompt() *refusal {
	messages := c.fields[fieldMessages]
	c.prompt = c.fields[fieldPrompt]
	switch {
	case len(messages) > 0 && len(c.prompt) > 0:
		return malformed("prompt and messages must not both be given")
	case len(messages) > 0:
		c.prompt = messages
		return nil
	case len(c.prompt) == 0:
		return malformed("prompt or messages is required")
	}
	var list []json.RawMessage
	if json.Unmarshal(c.prompt, &list) != nil || len(list) < 2 {
		return nil
	}
	for _, entry := range list {
		if entry[0] == '"' || entry[0] == '[' {
			return malformed("prompt must be a single prompt")
		}
	}
	return nil
}

// readFields are the fields that the host reads or writes.
var readFields = []string{
	fieldModel, fieldAdapter, fieldStream, fieldMaxTokens, fieldMaxCompletionTokens,
	fieldPrompt, fieldMessages, fieldChoices, fieldBestOf,
}

// ambiguous returns a field that differs from one of the host's only in case; some endpoints read it as
// the same field, which would get around the limit on tokens.
func (c *completion) ambiguous() (string, bool) {
	for name := range c.fields {
		for _, known := range readFields {
			if name != known && strings.EqualFold(name, known) {
				return known, true
			}
		}
	}
	return "", false
}

func (c *completion) readOptions() *refusal {
	if raw := c.fields[fieldStream]; len(raw) > 0 && json.Unmarshal(raw, &c.stream) != nil {
		return malformed("stream must be true or false")
	}
	for _, field := range []string{fieldMaxTokens, fieldMaxCompletionTokens} {
		raw := c.fields[field]
		if len(raw) == 0 || string(raw) == "null" {
			continue
		}
		if err := json.Unmarshal(raw, &c.limit); err != nil || c.limit <= 0 {
			return malformed(field + " must be a whole number above 0")
		}
	}
	// Several answers to one call would cost a multiple of the bound that is taken from the allowance.
	for _, field := range []string{fieldChoices, fieldBestOf} {
		if raw := c.fields[field]; len(raw) > 0 && string(raw) != "1" && string(raw) != "null" {
			return malformed(field + " must be 1")
		}
	}
	return nil
}

func malformed(message string) *refusal {
	refused := badRequest("malformed_request", message)
	return &refused
}

// promptTokens is the estimate of what the prompt costs.
func (c completion) promptTokens() int64 {
	return int64(len(c.prompt)/bytesPerToken) + 1
}

// prefix returns the hash of the prompt's beginning.
func (c completion) prefix() uint64 {
	return maphash.Bytes(prefixSeed, c.prompt[:min(len(c.prompt), prefixBytes)])
}

// bodyFor returns the body for an endpoint: the model as the pool names it, and the bounded number of
// tokens. The caller's fields are copied as they came; they were checked when the body was parsed.
func (c completion) bodyFor(model, adapter string, limit int64) ([]byte, error) {
	size := len(model) + len(adapter) + bodyMargin
	for name, value := range c.fields {
		size += len(name) + len(value) + fieldMargin
	}
	body := append(make([]byte, 0, size), '{')
	var err error
	if body, err = appendText(append(body, `"model":`...), model); err != nil {
		return nil, err
	}
	body = strconv.AppendInt(append(body, `,"max_tokens":`...), limit, 10)
	if adapter != "" {
		if body, err = appendText(append(body, `,"adapter":`...), adapter); err != nil {
			return nil, err
		}
	}
	for name, value := range c.fields {
		switch name {
		case fieldModel, fieldAdapter, fieldMaxTokens, fieldMaxCompletionTokens:
			continue
		}
		if body, err = appendText(append(body, ','), name); err != nil {
			return nil, err
		}
		body = append(append(body, ':'), value...)
	}
	return append(body, '}'), nil
}

// Sizes with which the body for an endpoint is allocated at once.
const (
	bodyMargin  = 96 // bytes, for the fields that the host writes
	fieldMargin = 4  // bytes, for quotes, colon and comma
)

// appendText appends a JSON string; names without special characters need no encoder.
func appendText(body []byte, text string) ([]byte, error) {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			encoded, err := json.Marshal(text)
			return append(body, encoded...), err
		}
	}
	return append(append(append(body, '"'), text...), '"'), nil
}

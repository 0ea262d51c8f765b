package caller

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRelayPieces guards against events that are changed, lost or taken from another attempt, for reads of 1 byte, 7 bytes and the
// whole stream.
func TestRelayPieces(t *testing.T) {
	long := strings.Repeat("x", 3*lineBufferBytes)
	completeStream := "id: a:1\ndata: one\n\n: comment\n\nid:a:2\r\ndata:" + long + "\r\n\r\nid: a:3\ndata: [DONE]\n\n"
	forwarded := "data: one\n\ndata: " + long + "\n\ndata: [DONE]\n\n"
	for name, test := range map[string]struct {
		stream, want string
		err          error
	}{
		"complete":            {completeStream, forwarded, nil},
		"truncated":           {completeStream[:len(completeStream)-1], forwarded[:strings.LastIndex(forwarded, "data:")], errIncomplete},
		"other attempt":       {"id: b:1\ndata: one\n\n", "", errWrongAttempt},
		"gap":                 {"id: a:1\ndata: one\n\nid: a:3\ndata: three\n\n", "data: one\n\n", errMissingEvent},
		"offset 0":            {"id: a:0\ndata: zero\n\n", "", errIncomplete},
		"offset not a number": {"id: a:1x\ndata: one\n\n", "", errMissingEvent},
		"offset too long":     {"id: a:" + strings.Repeat("9", 30) + "\ndata: one\n\n", "", errMissingEvent},
		"no id":               {"data: one\n\n", "", errWrongAttempt},
		"line too long":       {"id: a:1\ndata: " + strings.Repeat("x", 2*maxEventBytes), "", errIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, size := range []int{1, 7, len(test.stream)} {
				recorder := httptest.NewRecorder()
				r := newRelay(recorder)
				r.flusher = recorder
				c.Assert(r.copyEvents(pieces{strings.NewReader(test.stream), size}), qt.Equals, test.err)
				c.Assert(recorder.Body.String(), qt.Equals, test.want)
				c.Assert(r.unflushed, qt.IsFalse)
			}
		})
	}
}

// pieces is a reader that returns at most size bytes for each read.
type pieces struct {
	from io.Reader
	size int
}

// Read reads at most size bytes.
func (p pieces) Read(b []byte) (int, error) { return p.from.Read(b[:min(len(b), p.size)]) }

// TestBodyFor guards against fields of the caller's body that are lost or changed, or that replace those of the host.
func TestBodyFor(t *testing.T) {
	c := qt.New(t)
	body := `{"model": "r", "adapter": "mine", "max_tokens": 7, "max_completion_tokens": 9, "prompt": "a\u0022 b",
		"stream": true, "strange \"na\\me\n\u00e9": [1, {"x": null}]}`
	parsed, refused := parseCompletion([]byte(body))
	c.Assert(refused, qt.IsNil)
	for _, adapter := range []string{"", `an"adapter`} {
		data, err := parsed.bodyFor("inspect-7b", adapter, 5)
		c.Assert(err, qt.IsNil)
		var want, got map[string]any
		c.Assert(json.Unmarshal([]byte(body), &want), qt.IsNil)
		want["model"], want["max_tokens"] = "inspect-7b", 5.0
		delete(want, "max_completion_tokens")
		delete(want, "adapter")
		if adapter != "" {
			want["adapter"] = adapter
		}
		c.Assert(json.Unmarshal(data, &got), qt.IsNil, qt.Commentf("%s", data))
		c.Assert(got, qt.DeepEquals, want)
	}
}

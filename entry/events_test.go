package entry

import (
	"bytes"
	"strings"
	"testing"
	"unicode"

	qt "github.com/frankban/quicktest"
)

// TestEvents guards against sending incomplete events, and against resuming a stream after any event but the last.
func TestEvents(t *testing.T) {
	for name, test := range map[string]struct {
		chunks []string
		whole  string
		last   string
	}{
		"one":                   {[]string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "1"},
		"cut":                   {[]string{"id: 1\nda", "ta: a\n", "\nid: 2\ndata"}, "id: 1\ndata: a\n\n", "1"},
		"several":               {[]string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3"}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2"},
		"id within data":        {[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: paid: 4\n\n"}, "id: 1\ndata: a\n\nid: 2\ndata: paid: 4\n\n", "2"},
		"no id":                 {[]string{"id: 1\ndata: a\n\n", "data: b\n\n"}, "id: 1\ndata: a\n\ndata: b\n\n", "1"},
		"carriage returns":      {[]string{"id: 1\r\ndata: a\r\n\r", "\nid: 2"}, "id: 1\r\ndata: a\r\n\r\n", "1"},
		"control characters":    {[]string{"id: 1\rX-Other: 2\ndata: a\n\n"}, "id: 1\rX-Other: 2\ndata: a\n\n", ""},
		"empty line after":      {[]string{"id: 1\ndata: a\n\n", "\n"}, "id: 1\ndata: a\n\n\n", "1"},
		"nothing but the start": {[]string{"id: 1\n", "data: a\n"}, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			var b eventBuffer
			whole := ""
			for _, chunk := range test.chunks {
				whole += string(b.add([]byte(chunk)))
			}
			qt.Check(t, whole, qt.Equals, test.whole)
			qt.Check(t, b.lastID, qt.Equals, test.last)
		})
	}
}

// FuzzEvents guards against losing or duplicating bytes of a stream and against sending part of an event, however the
// stream is split into pieces.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: paid: 4\n\nid: 3\nda"), 3)
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n"), 1)
	f.Add([]byte("\n\n\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(size%64, 1)
		var pieces, at eventBuffer
		var whole []byte
		for rest := data; len(rest) > 0; {
			n := min(size, len(rest))
			got := bytes.Clone(pieces.add(rest[:n]))
			rest = rest[n:]
			whole = append(whole, got...)
			if len(got) > 0 && !bytes.HasSuffix(append([]byte("\n"), got...), []byte("\n\n")) && !bytes.HasSuffix(append([]byte("\n"), got...), []byte("\n\r\n")) {
				t.Fatalf("sent part of an event: %q", got)
			}
		}
		if joined := append(bytes.Clone(whole), pieces.pending...); !bytes.Equal(joined, data) {
			t.Fatalf("complete and pending bytes are %q, want %q", joined, data)
		}
		if got := at.add(data); !bytes.Equal(got, whole) || at.lastID != pieces.lastID {
			t.Fatalf("added in pieces: %q with id %q; added at once: %q with id %q", whole, pieces.lastID, got, at.lastID)
		}
		if strings.ContainsFunc(pieces.lastID, unicode.IsControl) {
			t.Fatalf("id %q contains control characters", pieces.lastID)
		}
	})
}

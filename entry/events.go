package entry

import (
	"bytes"
	"strings"
	"unicode"
)

// maxEventBytes bounds an incomplete event. Endpoints send events below 1 KB, but a faulty one may send an endless
// event.
const maxEventBytes = 256 << 10

// eventBuffer splits an event stream into complete events. Lines end with LF or CR LF.
type eventBuffer struct {
	pending []byte
	lastID  string // id of the last complete event that has one
}

// empty reports whether no incomplete event is pending.
func (b *eventBuffer) empty() bool { return len(b.pending) == 0 }

// tooLong reports whether the pending event exceeds maxEventBytes.
func (b *eventBuffer) tooLong() bool { return len(b.pending) > maxEventBytes }

// add takes the next bytes of the stream and returns all bytes up to the end of the last complete event. The result is
// valid until the next call.
func (b *eventBuffer) add(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	// Pending bytes hold no empty line, so only one that ends in data is searched for: searching all of a long event again
	// with each read would take time that grows with the square of its length.
	from := max(len(b.pending)-len(longestBlank)+1, 0)
	joined := data
	if len(b.pending) > 0 {
		b.pending = append(b.pending, data...)
		joined = b.pending
	}
	end := completeLength(joined, from)
	if end == 0 {
		if len(b.pending) == 0 {
			b.pending = bytes.Clone(data)
		}
		return nil
	}
	complete := joined[:end]
	b.pending = nil
	if end < len(joined) {
		b.pending = bytes.Clone(joined[end:])
	}
	if id, found := findLastID(complete); found {
		b.lastID = id
	}
	return complete
}

// longestBlank is the longest end of a line with the empty line after it.
const longestBlank = "\n\r\n"

// completeLength returns the length of the complete events at the start of data, which is the end of the last empty
// line. The search begins at from; no empty line ends before it. Data starts at an event boundary, so an empty line at its
// start belongs to no later event.
func completeLength(data []byte, from int) int {
	end := 0
	for _, blank := range []string{"\n", "\r\n"} {
		if from == 0 && bytes.HasPrefix(data, []byte(blank)) {
			end = len(blank)
		}
	}
	for _, blank := range []string{"\n\n", longestBlank} {
		if at := bytes.LastIndex(data[from:], []byte(blank)); at >= 0 {
			end = max(end, from+at+len(blank))
		}
	}
	return end
}

// findLastID returns the id in the last line that starts with "id:"; the same text within an event's data doesn't
// count. The id goes into a header of the next attempt, so an id with control characters is returned as empty.
func findLastID(events []byte) (string, bool) {
	for end := len(events); ; {
		start := bytes.LastIndex(events[:end], []byte("id:"))
		if start < 0 {
			return "", false
		}
		if start > 0 && events[start-1] != '\n' {
			end = start
			continue
		}
		line, _, _ := bytes.Cut(events[start+len("id:"):], []byte("\n"))
		id := strings.TrimSpace(string(line))
		if strings.ContainsFunc(id, unicode.IsControl) {
			id = ""
		}
		return id, true
	}
}

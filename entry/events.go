package entry

import (
	"bytes"
	"strings"
	"unicode"
)

// maxEventBytes bounds an event whose end has not come. Endpoints send events below 1 KB; one in trouble may send bytes
// without end.
const maxEventBytes = 256 << 10

// eventBuffer cuts the bytes of an event stream into whole events. Lines end with LF or CR LF.
type eventBuffer struct {
	pending []byte
	last    string // id of the last whole event that states one
}

// empty reports whether no part of an event is pending.
func (b *eventBuffer) empty() bool { return len(b.pending) == 0 }

// tooLong reports whether an event is longer than any that an endpoint sends.
func (b *eventBuffer) tooLong() bool { return len(b.pending) > maxEventBytes }

// add takes bytes and returns those up to the end of the last whole event, valid until the next call.
func (b *eventBuffer) add(data []byte) []byte {
	if len(data) == 0 {
		return nil
	}
	all := data
	if len(b.pending) > 0 {
		all = append(b.pending, data...)
	}
	end := eventsEnd(all)
	if end == 0 {
		b.pending = bytes.Clone(all)
		return nil
	}
	whole := all[:end]
	b.pending = nil
	if end < len(all) {
		b.pending = bytes.Clone(all[end:])
	}
	if id, found := lastID(whole); found {
		b.last = id
	}
	return whole
}

// eventsEnd returns the length of the whole events at the start of data: up to the end of the last empty line. Data
// starts where an event may start, so that an empty line there belongs to no event that is still to come.
func eventsEnd(data []byte) int {
	end := 0
	for _, blank := range []string{"\n", "\r\n"} {
		if bytes.HasPrefix(data, []byte(blank)) {
			end = len(blank)
		}
	}
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if at := bytes.LastIndex(data, []byte(blank)); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// lastID returns the id in the last line that states one. Text within the data of an event is no such line. An id
// goes into a header of the next attempt: one with control characters counts as none.
func lastID(whole []byte) (string, bool) {
	for end := len(whole); ; {
		at := bytes.LastIndex(whole[:end], []byte("id:"))
		if at < 0 {
			return "", false
		}
		if at > 0 && whole[at-1] != '\n' {
			end = at
			continue
		}
		line, _, _ := bytes.Cut(whole[at+len("id:"):], []byte("\n"))
		id := strings.TrimSpace(string(line))
		if strings.ContainsFunc(id, unicode.IsControl) {
			id = ""
		}
		return id, true
	}
}

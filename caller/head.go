package caller

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// errSyntax is the error of a request that cannot be written as one.
var errSyntax = errors.New("caller: request holds a control character or a space")

// appendHead appends the request line and the headers of a request.
func appendHead(head []byte, address, attempt, resume string, out outgoing) ([]byte, error) {
	if unfit(out.method, ' ') || unfit(out.target, ' ') || unfit(address, ' ') {
		return head, errSyntax
	}
	head = append(head, out.method...)
	head = append(head, ' ')
	head = append(head, out.target...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = appendField(head, "Host", address)
	for name, values := range out.header {
		if unfit(name, ' ') || unfit(values[0], '\t'-1) {
			return head, errSyntax
		}
		head = appendField(head, name, values[0])
	}
	head = appendField(head, idHeader, attempt)
	if resume != "" {
		head = appendField(head, "Last-Event-Id", resume)
	}
	if len(out.body) > 0 || out.method != http.MethodGet && out.method != http.MethodHead {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(out.body)), 10)
		head = append(head, "\r\n"...)
	}
	return append(head, "\r\n"...), nil
}

func appendField(head []byte, name, value string) []byte {
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// unfit reports whether a text would break out of its place in the head: line breaks, NUL, and the
// characters up to a bound.
func unfit(text string, bound byte) bool {
	if strings.ContainsAny(text, "\r\n\x00\x7f") {
		return true
	}
	for i := range len(text) {
		if text[i] <= bound {
			return true
		}
	}
	return false
}

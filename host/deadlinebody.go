package host

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody removes the connection's read deadline once the body has been read to its end. After that, the HTTP
// server keeps reading the connection to detect that the caller has disconnected.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body and removes the read deadline at io.EOF.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

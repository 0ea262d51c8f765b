package host

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody lifts the deadline for reading once the body has been read to its end, because the
// server goes on reading the connection to notice that the caller has gone.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read reads the body.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Package object is the client of the platform's object store.
package object

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"
)

// ErrNotFound means that there is no object with the name.
const ErrNotFound = errors.ConstError("object does not exist")

// ErrConflict means that the object was not written: the object exists although it must not, or its
// entity tag is not the expected one, also because it does not exist.
const ErrConflict = errors.ConstError("object exists already or has another entity tag than expected")

// maxObjectBytes bounds the size of an object; the largest objects are the bodies of calls.
const maxObjectBytes = 64 << 20

// Object is the content of an object with its entity tag.
type Object struct {
	Data      []byte
	EntityTag string // the value of the ETag header, with its quotes
}

// Client is a client of one object store. It is safe for concurrent use.
type Client struct {
	baseURL string
	client  *http.Client
}

// New returns a client of the store at the address, which is host:port or a URL. It adds no timeouts to
// those of the HTTP client and of the contexts of its methods.
func New(address string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{baseURL: strings.TrimSuffix(address, "/"), client: client}
}

// Get returns the object with the name, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	response, data, err := c.call(ctx, http.MethodGet, name, nil, nil)
	if err != nil {
		return Object{}, errors.Annotatef(err, "object: unable to read %q", name)
	}
	return Object{Data: data, EntityTag: response.Header.Get("ETag")}, nil
}

// Create writes an object that must not exist and returns its entity tag. ErrConflict means that the
// object exists. After any other error the object may have been written.
func (c *Client) Create(ctx context.Context, name string, data []byte) (string, error) {
	return c.put(ctx, name, data, http.Header{"If-None-Match": {"*"}})
}

// Replace writes an object whose entity tag must be tag, and returns its new entity tag. An empty tag
// writes the object unconditionally. After an error other than ErrConflict the object may have been
// written.
func (c *Client) Replace(ctx context.Context, name, tag string, data []byte) (string, error) {
	header := http.Header{}
	if tag != "" {
		header.Set("If-Match", tag)
	}
	return c.put(ctx, name, data, header)
}

func (c *Client) put(ctx context.Context, name string, data []byte, header http.Header) (string, error) {
	response, _, err := c.call(ctx, http.MethodPut, name, data, header)
	if err != nil {
		return "", errors.Annotatef(err, "object: unable to write %q", name)
	}
	return response.Header.Get("ETag"), nil
}

// call sends one request and returns the response, whose body it has read and closed, with the body.
func (c *Client) call(ctx context.Context, method, name string, body []byte, header http.Header) (*http.Response, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+"/"+escapeName(name), bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for field, values := range header {
		request.Header[field] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObjectBytes+1))
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, nil, ErrNotFound
	case response.StatusCode == http.StatusPreconditionFailed:
		return nil, nil, ErrConflict
	case response.StatusCode < 200 || response.StatusCode > 299:
		return nil, nil, errors.Errorf("the object store responded with status %s", response.Status)
	case err != nil:
		return nil, nil, err
	case len(data) > maxObjectBytes:
		return nil, nil, errors.Errorf("the object is larger than the limit of %d bytes", maxObjectBytes)
	}
	return response, data, nil
}

// escapeName escapes a name for use in a URL path. Slashes stay: they separate the segments of the path.
func escapeName(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

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

// ErrAbsent means that there is no object of the name.
const ErrAbsent = errors.ConstError("object does not exist")

// ErrConflict means that the object was not written because it is not in the state required.
const ErrConflict = errors.ConstError("object has another entity tag")

// maxObject is the most bytes of an object; the largest are the bodies of calls.
const maxObject = 64 << 20

// Object is the content of an object with its entity tag.
type Object struct {
	Data []byte
	Tag  string
}

// Client calls one object store; it is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the store at the address, host:port or a URL. Timeouts are those of the
// contexts passed.
func New(address string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), client: client}
}

// Get returns the object, or ErrAbsent.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	response, data, err := c.call(ctx, http.MethodGet, name, nil, nil)
	if err != nil {
		return Object{}, errors.Annotatef(err, "object: unable to read %q", name)
	}
	return Object{Data: data, Tag: response.Header.Get("ETag")}, nil
}

// Create writes an object that must not exist and returns its entity tag. ErrConflict means that it
// exists; after any other error it may have been written.
func (c *Client) Create(ctx context.Context, name string, data []byte) (string, error) {
	return c.put(ctx, name, data, http.Header{"If-None-Match": {"*"}})
}

// Replace writes an object whose entity tag must be as given, any when it is empty, and returns the
// new one. After an error other than ErrConflict it may have been written.
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

func (c *Client) call(ctx context.Context, method, name string, body []byte, header http.Header) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+"/"+escape(name), bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for field, values := range header {
		r.Header[field] = values
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxObject+1))
	switch {
	case response.StatusCode == http.StatusNotFound:
		return nil, nil, ErrAbsent
	case response.StatusCode == http.StatusPreconditionFailed:
		return nil, nil, ErrConflict
	case response.StatusCode < 200 || response.StatusCode > 299:
		return nil, nil, errors.Errorf("the store answered %s", response.Status)
	case err != nil:
		return nil, nil, err
	case len(data) > maxObject:
		return nil, nil, errors.Errorf("the object is larger than %d bytes", maxObject)
	}
	return response, data, nil
}

// escape escapes each part of a name with slashes.
func escape(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

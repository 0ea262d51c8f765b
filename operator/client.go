package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/timeline"
)

// Client asks a host on behalf of an operator. Its errors are of type *Failure; where no
// answer came, Status is 0 and Run says whether the request may have had an effect.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// NewClient returns a client of the host at an address: IP number and port, or a URL.
func NewClient(address, credential string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), credential: credential, http: client}
}

// Routes returns the routes table and its revision.
func (c *Client) Routes(ctx context.Context) (route.Table, int64, error) {
	var table route.Table
	revision, err := c.getTable(ctx, Routes, &table)
	return table, revision, err
}

// Pools returns the pools table and its revision.
func (c *Client) Pools(ctx context.Context) (pool.Table, int64, error) {
	var table pool.Table
	revision, err := c.getTable(ctx, Pools, &table)
	return table, revision, err
}

func (c *Client) getTable(ctx context.Context, kind Kind, table any) (int64, error) {
	header, err := c.do(ctx, http.MethodGet, "/v1/tables/"+kind.String(), nil, nil, table)
	if err != nil {
		return 0, err
	}
	revision, err := parseETag(header.Get("ETag"))
	return revision, transportFailure(err, runNo)
}

// Put replaces a table by a document if the configuration is still at the revision. After
// an unknown outcome it may be repeated with the same id and revision.
func (c *Client) Put(ctx context.Context, kind Kind, id string, revision int64, data []byte) (Change, error) {
	var change Change
	header := http.Header{"If-Match": {formatETag(revision)}, "Idempotency-Key": {id}}
	_, err := c.do(ctx, http.MethodPut, "/v1/tables/"+kind.String(), header, data, &change)
	return change, err
}

// IssueKey issues a new key.
func (c *Client) IssueKey(ctx context.Context, request Request) (Issued, error) {
	var issued Issued
	data, err := json.Marshal(request)
	if err != nil {
		return issued, transportFailure(err, runNo)
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/keys", nil, data, &issued)
	return issued, err
}

// WithdrawKey withdraws the key with the id.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Change, error) {
	var change Change
	_, err := c.do(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id), nil, nil, &change)
	return change, err
}

// Keys returns the digests and accounts of all keys.
func (c *Client) Keys(ctx context.Context) ([]account.Key, error) {
	var body struct {
		Keys []account.Key `json:"keys"`
	}
	_, err := c.do(ctx, http.MethodGet, "/v1/keys", nil, nil, &body)
	return body.Keys, err
}

// Status returns the status of the host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	_, err := c.do(ctx, http.MethodGet, "/v1/status", nil, nil, &status)
	return status, err
}

// Change returns how far the change with the revision has come.
func (c *Client) Change(ctx context.Context, revision int64) (Change, error) {
	var change Change
	_, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/changes/%d", revision), nil, nil, &change)
	return change, err
}

// Drain begins a planned stop of the host.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.do(ctx, http.MethodPost, "/v1/drain", nil, nil, nil)
	return err
}

// Health returns the state of the host; one that doesn't serve is no error.
func (c *Client) Health(ctx context.Context) (Health, error) {
	response, err := c.send(ctx, http.MethodGet, "/health", nil, nil)
	if err != nil {
		return Health{}, err
	}
	defer response.Body.Close()
	var body struct {
		Health
		Error *Failure `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&body); err != nil {
		return Health{}, transportFailure(err, runNo)
	}
	if body.Error != nil {
		body.Error.Status = response.StatusCode
		return Health{}, body.Error
	}
	return body.Health, nil
}

// Timeline copies the chosen events to w in a format: json, text or trace.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter, format string, w io.Writer) error {
	response, err := c.send(ctx, http.MethodGet, "/v1/timeline?"+timelineQuery(filter, format).Encode(), nil, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readFailure(response)
	}
	_, err = io.Copy(w, response.Body)
	return transportFailure(err, runNo)
}

// do sends a request and reads the answer into result unless that is nil.
func (c *Client) do(ctx context.Context, method, path string, header http.Header, data []byte, result any) (http.Header, error) {
	response, err := c.send(ctx, method, path, header, data)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return nil, readFailure(response)
	}
	if result == nil {
		return response.Header, nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(result)
	return response.Header, transportFailure(err, runOf(method))
}

func (c *Client) send(ctx context.Context, method, path string, header http.Header, data []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, transportFailure(err, runNo)
	}
	// Without GetBody the transport doesn't repeat an edit by itself when a connection
	// breaks; the answer to a repetition could hide that the first one took effect.
	request.GetBody = nil
	if header != nil {
		request.Header = header
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return nil, transportFailure(err, runNo)
	}
	return response, transportFailure(err, runOf(method))
}

// runOf says whether a request that may have been sent can have had an effect.
func runOf(method string) string {
	if method == http.MethodGet {
		return runNo
	}
	return runUnknown
}

// transportFailure wraps an error that is not an answer of the server.
func transportFailure(err error, run string) error {
	if err == nil {
		return nil
	}
	return &Failure{Type: "transport", Message: "operator: unable to ask the host: " + err.Error(), Run: run, cause: err}
}

// readFailure reads an answer other than success. An answer without the typed body is not
// the host's own and promises nothing.
func readFailure(response *http.Response) error {
	var body struct {
		Error *Failure `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return &Failure{Status: response.StatusCode, Type: "transport", Message: "operator: unexpected answer " + response.Status, Run: runUnknown}
	}
	body.Error.Status = response.StatusCode
	return body.Error
}

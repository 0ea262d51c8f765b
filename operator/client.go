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

// Client sends an operator's requests to a host. Its errors are of type *Failure. Without a response of the host, Status is 0 and Run
// says whether the request may have had an effect.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// NewClient returns a client for the host at an address, which is an IP address with a port, or a URL.
func NewClient(address, credential string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), credential: credential, http: client}
}

// Routes returns the routes table and the revision of the configuration.
func (c *Client) Routes(ctx context.Context) (route.Table, int64, error) {
	var table route.Table
	revision, err := c.getTable(ctx, Routes, &table)
	return table, revision, err
}

// Pools returns the pools table and the revision of the configuration.
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

// Put replaces a table if the configuration is still at the revision; data is the new table as JSON. If the outcome is unknown, Put may
// be called again with the same id, revision and data.
func (c *Client) Put(ctx context.Context, kind Kind, id string, revision int64, data []byte) (Change, error) {
	var change Change
	header := http.Header{"If-Match": {formatETag(revision)}, "Idempotency-Key": {id}}
	_, err := c.do(ctx, http.MethodPut, "/v1/tables/"+kind.String(), header, data, &change)
	return change, err
}

// IssueKey issues a new key for a client account.
func (c *Client) IssueKey(ctx context.Context, request KeyRequest) (IssuedKey, error) {
	var issued IssuedKey
	data, err := json.Marshal(request)
	if err != nil {
		return issued, transportFailure(err, runNo)
	}
	_, err = c.do(ctx, http.MethodPost, "/v1/keys", nil, data, &issued)
	return issued, err
}

// WithdrawKey withdraws the key with the id, which is its digest.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Change, error) {
	var change Change
	_, err := c.do(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id), nil, nil, &change)
	return change, err
}

// Keys returns the records of all keys.
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

// Change returns the progress of the change with the revision.
func (c *Client) Change(ctx context.Context, revision int64) (Change, error) {
	var change Change
	_, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/changes/%d", revision), nil, nil, &change)
	return change, err
}

// Drain begins the planned stop of the host and doesn't wait for it.
func (c *Client) Drain(ctx context.Context) error {
	_, err := c.do(ctx, http.MethodPost, "/v1/drain", nil, nil, nil)
	return err
}

// Health returns the state of the host. It is not an error if the host isn't serving.
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

// Timeline writes the events that match the filter to w. The format is json, text or trace.
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

// do sends a request and decodes the response into result, unless result is nil. It returns the header of the response.
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
	// Without GetBody the transport doesn't send an edit again by itself when a connection breaks. The response to the second
	// request could hide that the first one took effect.
	request.GetBody = nil
	if header != nil {
		request.Header = header
	}
	if c.credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.credential)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return nil, transportFailure(err, runNo)
	}
	return response, transportFailure(err, runOf(method))
}

// runOf returns whether a request that may have been sent can have had an effect, as a value of the X-Run header.
func runOf(method string) string {
	if method == http.MethodGet {
		return runNo
	}
	return runUnknown
}

// transportFailure wraps an error of the connection or of decoding a response as a *Failure. It returns nil if err is nil.
func transportFailure(err error, run string) error {
	if err == nil {
		return nil
	}
	return &Failure{Type: "transport", Message: "operator: unable to get a response from the host: " + err.Error(), Run: run, cause: err}
}

// readFailure decodes a response other than success. Without the JSON body of a Failure it does not come from the host, and the
// request may have had an effect.
func readFailure(response *http.Response) error {
	var body struct {
		Error *Failure `json:"error"`
	}
	err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&body)
	if err != nil || body.Error == nil {
		return &Failure{Status: response.StatusCode, Type: "transport", Message: "operator: unexpected response " + response.Status, Run: runUnknown}
	}
	body.Error.Status = response.StatusCode
	return body.Error
}

package table

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

// maxResponseBytes bounds the body of one response; a read of the whole table at the target size stays
// below it.
const maxResponseBytes = 256 << 20

// errInvalidRequest is the cause in the ErrNotApplied for a request that the service rejects with 400.
const errInvalidRequest = errors.ConstError("the table service rejected the request as invalid")

// Client is a client of one table service. It is safe for concurrent use.
type Client struct {
	baseURL string
	client  *http.Client
}

// New returns a client of the service at the address, which is host:port or a URL. The client sets no
// timeouts of its own: the contexts of its methods bound each call.
func New(address string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{baseURL: strings.TrimSuffix(address, "/"), client: client}
}

// Read returns the rows whose key has the prefix and whose last write is later than the revision after.
// The snapshot carries the table's revision even if it has no rows. It does not report deleted rows.
func (c *Client) Read(ctx context.Context, prefix string, after int64) (Snapshot, error) {
	request := wireRangeRequest{}
	request.Key, request.RangeEnd = prefixRange(prefix)
	if after > 0 {
		request.MinModRevision = after + 1
	}
	var response wireSnapshot
	if _, err := c.post(ctx, "/v3/kv/range", request, &response); err != nil {
		return Snapshot{}, errors.Annotatef(err, "table: unable to read prefix %q", prefix)
	}
	if response.Header == nil {
		return Snapshot{}, errors.Errorf("table: unable to read prefix %q: the response has no header", prefix)
	}
	snapshot := Snapshot{Revision: response.Header.Revision, Rows: make([]Row, 0, len(response.Rows))}
	for _, row := range response.Rows {
		if row.ModRevision > after {
			snapshot.Rows = append(snapshot.Rows, Row{Key: string(row.Key), Value: row.Value, Revision: row.ModRevision})
		}
	}
	return snapshot, nil
}

// Commit applies the transaction. An error is ErrNotApplied or ErrOutcomeUnknown.
func (c *Client) Commit(ctx context.Context, txn Txn) (Result, error) {
	var response wireResult
	mayHaveRun, err := c.post(ctx, "/v3/kv/txn", encodeTxn(txn), &response)
	if err == nil && response.Header == nil {
		err = errors.New("the response has no header")
	}
	if err != nil {
		kind := ErrOutcomeUnknown
		if !mayHaveRun {
			kind = ErrNotApplied
		}
		return Result{}, commitError(kind, err)
	}
	return Result{Committed: response.Succeeded, Revision: response.Header.Revision}, nil
}

// commitError returns an error that wraps both the kind, ErrNotApplied or ErrOutcomeUnknown, and the cause.
func commitError(kind, cause error) error {
	return fmt.Errorf("table: unable to commit: %w: %w", kind, cause)
}

// post sends the request as JSON and decodes the response into result. It returns mayHaveRun false only
// if the service certainly did not carry out the request.
func (c *Client) post(ctx context.Context, path string, request, result any) (mayHaveRun bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, err
	}
	// The transport may retry on a second connection, so a request counts as possibly run as soon as it
	// has got any connection, whatever the last error is.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(httpRequest)
	if err != nil {
		return connected.Load(), err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode == http.StatusBadRequest {
		return false, fmt.Errorf("%w: %.200s", errInvalidRequest, data)
	}
	if response.StatusCode != http.StatusOK {
		notRun := response.Header.Get("X-Run") == "no"
		return !notRun, errors.Errorf("the table service responded with status %s: %.200s", response.Status, data)
	}
	if err != nil {
		return true, err
	}
	return true, json.Unmarshal(data, result)
}

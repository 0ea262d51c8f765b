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

// maxAnswer is the most bytes read of one answer; the whole table at the target size is below it.
const maxAnswer = 256 << 20

// errInvalid is the cause of the ErrNotSent of a request that the service does not accept.
const errInvalid = errors.ConstError("the service refused the request as invalid")

// Client calls one table service; it is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the service at the address, host:port or a URL. Timeouts are those of
// the contexts passed.
func New(address string, client *http.Client) *Client {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Client{base: strings.TrimSuffix(address, "/"), client: client}
}

// Read returns the rows with the prefix whose last write is after the revision. The snapshot has
// the table's revision also when no row changed. Deleted rows are not reported.
func (c *Client) Read(ctx context.Context, prefix string, after int64) (Snapshot, error) {
	request := wireRange{}
	request.Key, request.End = rangeOf(prefix)
	if after > 0 {
		request.MinRevision = after + 1
	}
	var answer wireRows
	if _, err := c.call(ctx, "/v3/kv/range", request, &answer); err != nil {
		return Snapshot{}, errors.Annotatef(err, "table: unable to read prefix %q", prefix)
	}
	if answer.Header == nil {
		return Snapshot{}, errors.Errorf("table: unable to read prefix %q: the answer has no header", prefix)
	}
	snapshot := Snapshot{Revision: answer.Header.Revision, Rows: make([]Row, 0, len(answer.Rows))}
	for _, row := range answer.Rows {
		if row.Revision > after {
			snapshot.Rows = append(snapshot.Rows, Row{Key: string(row.Key), Value: row.Value, Revision: row.Revision})
		}
	}
	return snapshot, nil
}

// Commit applies the transaction. An error is ErrNotSent or ErrUnknown.
func (c *Client) Commit(ctx context.Context, txn Txn) (Result, error) {
	var answer wireResult
	sent, err := c.call(ctx, "/v3/kv/txn", encode(txn), &answer)
	if err == nil && answer.Header == nil {
		err = errors.New("the answer has no header")
	}
	if err != nil {
		kind := ErrUnknown
		if !sent {
			kind = ErrNotSent
		}
		return Result{}, outcome(kind, err)
	}
	return Result{Committed: answer.Succeeded, Revision: answer.Header.Revision}, nil
}

// outcome returns an error that is both the kind, ErrNotSent or ErrUnknown, and the cause.
func outcome(kind, cause error) error {
	return fmt.Errorf("table: unable to commit: %w: %w", kind, cause)
}

// call posts the request; sent is false only when the service certainly did not carry it out.
func (c *Client) call(ctx context.Context, path string, request, answer any) (sent bool, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, err
	}
	// The transport may retry on a second connection, so one connection is enough to count as sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		return connected.Load(), err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if response.StatusCode == http.StatusBadRequest {
		return false, fmt.Errorf("%w: %.200s", errInvalid, data)
	}
	if response.StatusCode != http.StatusOK {
		promised := response.Header.Get("X-Run") == "no"
		return !promised, errors.Errorf("the service answered %s: %.200s", response.Status, data)
	}
	if err != nil {
		return true, err
	}
	return true, json.Unmarshal(data, answer)
}

package order

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"magnoliahoist/placement"
)

// ErrNoResult says that no definitive response to an order has arrived: the order may still take effect.
var ErrNoResult = errors.New("order: no definitive response")

// maxResponseBytes is how much of a response's body is read. Reading to the end lets the client use the connection again.
const maxResponseBytes = 64 << 10

// parameters are the parameters of an order, in the format of the model repository extension of the inference protocol.
type parameters struct {
	Kind          string `json:"kind"` // model, adapter or role
	Version       string `json:"version,omitempty"`
	FencingNumber int64  `json:"fence"`
	Sequence      int64  `json:"sequence"`
	Order         string `json:"order"`
	Memory        int64  `json:"memory"`          // bytes
	Model         string `json:"model,omitempty"` // in orders for adapters: the adapter's model
}

// Send sends a recorded order once and returns when the request has ended. After ErrNoResult, only the endpoint's report or
// sending the order again can show the outcome.
func (d *Driver) Send(ctx context.Context, address string, o placement.Order) (placement.Result, error) {
	name, operation, kind := o.Model, "load", "model"
	switch {
	case o.Kind == placement.Role:
		name, kind = "role", "role"
	case o.Adapter != "":
		name, kind = o.Adapter, "adapter"
	}
	if o.Kind == placement.Unload {
		operation = "unload"
	}
	body, err := json.Marshal(map[string]parameters{"parameters": {
		Kind: kind, Version: o.Version, FencingNumber: o.FencingNumber, Sequence: o.Sequence, Order: o.ID, Memory: o.Memory, Model: o.Model,
	}})
	if err != nil {
		return 0, errors.Annotatef(err, "order: unable to encode order %s to endpoint %q", o.ID, o.Endpoint)
	}
	orderURL := "http://" + address + "/v2/repository/models/" + url.PathEscape(name) + "/" + operation
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, orderURL, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Annotatef(err, "order: unable to build the request for order %s to endpoint %q", o.ID, o.Endpoint)
	}
	request.Header.Set("Content-Type", "application/json")
	// With GetBody set, net/http may repeat a request whose connection broke, and the manager's ledger would not account for
	// the copy.
	request.GetBody = nil
	response, err := d.client.Do(request)
	if err != nil {
		return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: %v", o.Endpoint, o.ID, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes)); err != nil {
		return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: %v", o.Endpoint, o.ID, err)
	}
	return resultOf(o, response.StatusCode)
}

// resultOf returns the result that a response's status stands for. Server errors and timeouts don't say whether the order took
// effect, so that they return ErrNoResult.
func resultOf(o placement.Order, status int) (placement.Result, error) {
	switch {
	case status == http.StatusOK || status == http.StatusNoContent:
		return placement.Applied, nil
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return placement.Rejected, nil
	}
	return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: status %d", o.Endpoint, o.ID, status)
}

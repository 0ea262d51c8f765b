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

// ErrNoResult says that no definitive answer came: the order may still take effect.
var ErrNoResult = errors.New("order: no definitive answer")

// maxAnswer is read of an answer, so that the connection can be used again.
const maxAnswer = 64 << 10 // bytes

// parameters go with an order in the form of the model repository extension.
type parameters struct {
	Kind     string `json:"kind"` // model, adapter or role
	Version  string `json:"version,omitempty"`
	Fence    int64  `json:"fence"`
	Sequence int64  `json:"sequence"`
	Order    string `json:"order"`
	Memory   int64  `json:"memory"`          // bytes
	Model    string `json:"model,omitempty"` // the adapter's model
}

// Send sends a recorded order once. Its request has ended when it returns;
// ErrNoResult means that the outcome must be learned from the endpoint's report or by sending the order again.
func (d *Driver) Send(ctx context.Context, address string, o placement.Order) (placement.Result, error) {
	name, verb, kind := o.Model, "load", "model"
	switch {
	case o.Kind == placement.Role:
		name, kind = "role", "role"
	case o.Adapter != "":
		name, kind = o.Adapter, "adapter"
	}
	if o.Kind == placement.Unload {
		verb = "unload"
	}
	body, err := json.Marshal(map[string]parameters{"parameters": {
		Kind: kind, Version: o.Version, Fence: o.Fence, Sequence: o.Sequence, Order: o.ID, Memory: o.Memory, Model: o.Model,
	}})
	if err != nil {
		return 0, errors.Annotate(err, "order: unable to encode an order")
	}
	target := "http://" + address + "/v2/repository/models/" + url.PathEscape(name) + "/" + verb
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Annotate(err, "order: unable to build a request")
	}
	request.Header.Set("Content-Type", "application/json")
	// Without it net/http may repeat a request whose connection broke; the copy would be unknown to the ledger.
	request.GetBody = nil
	response, err := d.client.Do(request)
	if err != nil {
		return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: %v", o.Endpoint, o.ID, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer)); err != nil {
		return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: %v", o.Endpoint, o.ID, err)
	}
	return resultOf(o, response.StatusCode)
}

// resultOf interprets an answer's status. Server errors and timeouts do not say whether the order took effect.
func resultOf(o placement.Order, status int) (placement.Result, error) {
	switch {
	case status == http.StatusOK || status == http.StatusNoContent:
		return placement.Applied, nil
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return placement.Rejected, nil
	}
	return 0, errors.Annotatef(ErrNoResult, "endpoint %q, order %s: status %d", o.Endpoint, o.ID, status)
}

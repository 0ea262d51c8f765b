// Package order records orders in the table service and sends them to endpoints.
package order

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"magnoliahoist/placement"
	"magnoliahoist/table"
)

// Table is the part of the table service client that Driver uses.
type Table interface {
	Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// row is the value stored under the key order/<pool>/<endpoint>.
type row struct {
	FencingNumber int64    `json:"number"` // fencing number of the lease holder that wrote the row
	WriteCount    int64    `json:"write"`  // number of this write by that lease holder, which identifies its own writes
	Orders        []record `json:"orders"`
}

// record is a placement.Record in the format of the row.
type record struct {
	ID            string `json:"id"`
	Kind          string `json:"kind"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter,omitempty"`
	Version       string `json:"version"`
	Memory        int64  `json:"memory"` // bytes
	FencingNumber int64  `json:"fence"`
	Sequence      int64  `json:"sequence"`
	HasResult     bool   `json:"known,omitempty"`
}

// encodeRow returns the row's value in JSON.
func encodeRow(fencingNumber, writeCount int64, records []placement.Record) ([]byte, error) {
	r := row{FencingNumber: fencingNumber, WriteCount: writeCount, Orders: make([]record, len(records))}
	for n, entry := range records {
		o := entry.Order
		r.Orders[n] = record{
			ID: o.ID, Kind: o.Kind.String(), Model: o.Model, Adapter: o.Adapter, Version: o.Version,
			Memory: o.Memory, FencingNumber: o.FencingNumber, Sequence: o.Sequence, HasResult: entry.HasResult,
		}
	}
	return json.Marshal(r)
}

// decodeRow returns the row and its orders from the row's value. An empty value is a row that doesn't exist.
func decodeRow(endpoint string, value []byte) (row, []placement.Record, error) {
	var r row
	if len(value) == 0 {
		return r, nil, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, nil, errors.Annotatef(err, "order: unable to decode the row of endpoint %q", endpoint)
	}
	records := make([]placement.Record, len(r.Orders))
	for n, o := range r.Orders {
		kind, err := parseKind(o.Kind)
		if err != nil {
			return row{}, nil, errors.Annotatef(err, "order: unable to decode the row of endpoint %q", endpoint)
		}
		records[n] = placement.Record{HasResult: o.HasResult, Order: placement.Order{
			ID: o.ID, Endpoint: endpoint, Kind: kind, Model: o.Model, Adapter: o.Adapter, Version: o.Version,
			Memory: o.Memory, FencingNumber: o.FencingNumber, Sequence: o.Sequence,
		}}
	}
	return r, records, nil
}

// parseKind returns the kind of order with this name.
func parseKind(name string) (placement.Kind, error) {
	for _, kind := range []placement.Kind{placement.Load, placement.Unload, placement.Role} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, errors.Errorf("order kind %q is not one of load, unload, role", name)
}

// rowPrefix returns the key prefix of a pool's rows.
func rowPrefix(pool string) string { return "order/" + pool + "/" }

// endpointFromKey returns the endpoint whose row has this key.
func endpointFromKey(pool, key string) string { return strings.TrimPrefix(key, rowPrefix(pool)) }

// Package order records orders to endpoints in the table service and sends them.
package order

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"magnoliahoist/placement"
	"magnoliahoist/table"
)

// Table is the part of the table service's client that the driver uses.
type Table interface {
	Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// row is the value of order/<pool>/<endpoint>.
type row struct {
	Number int64    `json:"number"` // fencing number of the holder that wrote the row
	Write  int64    `json:"write"`  // counts the holder's writes, so that it recognises its own
	Orders []record `json:"orders"`
}

// record is a placement.Record in the row's format.
type record struct {
	ID       string `json:"id"`
	Kind     string `json:"kind"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter,omitempty"`
	Version  string `json:"version"`
	Memory   int64  `json:"memory"` // bytes
	Fence    int64  `json:"fence"`
	Sequence int64  `json:"sequence"`
	Known    bool   `json:"known,omitempty"`
}

func encode(number, write int64, records []placement.Record) ([]byte, error) {
	r := row{Number: number, Write: write, Orders: make([]record, len(records))}
	for n, known := range records {
		o := known.Order
		r.Orders[n] = record{
			ID: o.ID, Kind: o.Kind.String(), Model: o.Model, Adapter: o.Adapter, Version: o.Version,
			Memory: o.Memory, Fence: o.Fence, Sequence: o.Sequence, Known: known.Known,
		}
	}
	return json.Marshal(r)
}

func decode(endpoint string, value []byte) (row, []placement.Record, error) {
	var r row
	if len(value) == 0 {
		return r, nil, nil // no row
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, nil, errors.Annotatef(err, "order: unable to read the row of endpoint %q", endpoint)
	}
	records := make([]placement.Record, len(r.Orders))
	for n, o := range r.Orders {
		kind, err := kindByName(o.Kind)
		if err != nil {
			return row{}, nil, errors.Annotatef(err, "order: unable to read the row of endpoint %q", endpoint)
		}
		records[n] = placement.Record{Known: o.Known, Order: placement.Order{
			ID: o.ID, Endpoint: endpoint, Kind: kind, Model: o.Model, Adapter: o.Adapter, Version: o.Version,
			Memory: o.Memory, Fence: o.Fence, Sequence: o.Sequence,
		}}
	}
	return r, records, nil
}

func kindByName(name string) (placement.Kind, error) {
	for _, kind := range []placement.Kind{placement.Load, placement.Unload, placement.Role} {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, errors.Errorf("kind %q is not one of load, unload, role", name)
}

// prefix is the key prefix of a pool's rows.
func prefix(pool string) string { return "order/" + pool + "/" }

func endpointOf(pool, key string) string { return strings.TrimPrefix(key, prefix(pool)) }

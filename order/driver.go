package order

import (
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"magnoliahoist/placement"
	"magnoliahoist/table"
)

// attempts bounds the writes of one row while outcomes are unknown or others write it.
const attempts = 5

var (
	// ErrSuperseded says that a holder with a higher fencing number has the pool.
	ErrSuperseded = errors.New("order: pool taken over by another host")
	// ErrForeign says that an earlier holder wrote a row after the takeover,
	// which must then be repeated because its orders may have been sent.
	ErrForeign = errors.New("order: row written by an earlier holder")
	// ErrNotRecorded says that the row could not be written: the orders must not be sent.
	ErrNotRecorded = errors.New("order: unable to record the orders")
)

// Driver records and sends the orders of one pool for the holder of its
// lease. Only one goroutine may use TakeOver and Record at a time; Send may be used by several.
type Driver struct {
	table     Table
	client    *http.Client
	pool      string
	number    int64
	write     int64
	revisions map[string]int64 // of the row of every endpoint
}

// New returns the driver of a pool under a fencing number.
func New(t Table, client *http.Client, pool string, number int64) *Driver {
	own := *client
	// A followed redirect would turn the order into a GET whose answer means nothing.
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Driver{table: t, client: &own, pool: pool, number: number, revisions: make(map[string]int64)}
}

// TakeOver rewrites every row of the pool with the driver's number, so that
// a write that an earlier holder left under way must fail, and returns the
// recorded orders. Endpoints without a row get an empty one for the same
// reason. Nothing may be sent before it has succeeded.
func (d *Driver) TakeOver(ctx context.Context, endpoints []string) ([]placement.Record, error) {
	snapshot, err := d.table.Read(ctx, prefix(d.pool), 0)
	if err != nil {
		return nil, errors.Annotate(err, "order: unable to read the pool's rows")
	}
	names := slices.Clone(endpoints)
	rows := make(map[string]table.Row, len(snapshot.Rows))
	for _, r := range snapshot.Rows {
		name := endpointOf(d.pool, r.Key)
		names = append(names, name)
		rows[name] = r
	}
	slices.Sort(names)
	var all []placement.Record
	for _, name := range slices.Compact(names) {
		records, err := d.adopt(ctx, name, rows[name])
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// adopt rewrites the row of an endpoint without changing its orders.
func (d *Driver) adopt(ctx context.Context, endpoint string, first table.Row) ([]placement.Record, error) {
	current, records, err := decode(endpoint, first.Value)
	if err != nil {
		return nil, err
	}
	revision := first.Revision
	for range attempts {
		if current.Number > d.number {
			return nil, ErrSuperseded
		}
		done, err := d.commit(ctx, endpoint, revision, records)
		if err != nil {
			return nil, err
		}
		if done {
			return records, nil
		}
		current, records, revision, err = d.read(ctx, endpoint)
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrNotRecorded
}

// Record writes what must be known of an endpoint before its orders are
// sent. On any error the orders must not be sent.
func (d *Driver) Record(ctx context.Context, endpoint string, records []placement.Record) error {
	for range attempts {
		done, err := d.commit(ctx, endpoint, d.revisions[endpoint], records)
		if err != nil || done {
			return err
		}
		current, _, revision, err := d.read(ctx, endpoint)
		if err != nil {
			return err
		}
		switch {
		case current.Number > d.number:
			return ErrSuperseded
		case current.Number < d.number && revision != d.revisions[endpoint]:
			return ErrForeign
		}
		d.revisions[endpoint] = revision
	}
	return ErrNotRecorded
}

// commit writes the row if it still has the revision. It returns false when
// the row is to be read again. After an unknown outcome the row is read: if it
// does not show the write, the next attempt's condition makes a late write fail or is failed by it.
func (d *Driver) commit(ctx context.Context, endpoint string, revision int64, records []placement.Record) (bool, error) {
	d.write++
	value, err := encode(d.number, d.write, records)
	if err != nil {
		return false, errors.Annotate(err, "order: unable to encode a row")
	}
	key := prefix(d.pool) + endpoint
	result, err := d.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: value}},
	})
	switch {
	case errors.Is(err, table.ErrUnknown):
		current, _, seen, err := d.read(ctx, endpoint)
		if err != nil {
			return false, err
		}
		if current.Number == d.number && current.Write == d.write {
			d.revisions[endpoint] = seen
			return true, nil
		}
		return false, nil
	case err != nil:
		return false, errors.Annotatef(ErrNotRecorded, "endpoint %q: %v", endpoint, err)
	case !result.Committed:
		return false, nil
	}
	d.revisions[endpoint] = result.Revision
	return true, nil
}

// read returns the row of an endpoint; its revision is 0 if there is none.
func (d *Driver) read(ctx context.Context, endpoint string) (row, []placement.Record, int64, error) {
	key := prefix(d.pool) + endpoint
	snapshot, err := d.table.Read(ctx, key, 0)
	if err != nil {
		return row{}, nil, 0, errors.Annotatef(err, "order: unable to read the row of endpoint %q", endpoint)
	}
	for _, r := range snapshot.Rows {
		if r.Key == key {
			value, records, err := decode(endpoint, r.Value)
			return value, records, r.Revision, err
		}
	}
	return row{}, nil, 0, nil
}

package order

import (
	"context"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"magnoliahoist/placement"
	"magnoliahoist/table"
)

// maxWriteAttempts limits the attempts to write one row while outcomes are unknown or other hosts write the row.
const maxWriteAttempts = 5

var (
	// ErrSuperseded says that a lease holder with a higher fencing number has taken over the pool.
	ErrSuperseded = errors.New("order: pool taken over by another host")
	// ErrWrittenByEarlierHolder says that an earlier lease holder wrote a row after the takeover. The takeover must be repeated, because
	// the orders in that row may have been sent.
	ErrWrittenByEarlierHolder = errors.New("order: row written by an earlier lease holder after the takeover")
	// ErrNotRecorded says that the row could not be written, so that its orders must not be sent.
	ErrNotRecorded = errors.New("order: unable to record the orders")
)

// Driver records and sends the orders of one pool for the lease holder. Only one goroutine at a time may call TakeOver and
// Record; several may call Send.
type Driver struct {
	table         Table
	client        *http.Client
	pool          string
	fencingNumber int64            // fencing number of the lease holder
	writes        int64            // row writes so far
	revisions     map[string]int64 // last known revision of each endpoint's row
}

// New returns the driver of a pool for the lease holder with this fencing number. Its copy of client doesn't follow redirects.
func New(t Table, client *http.Client, pool string, fencingNumber int64) *Driver {
	noRedirect := *client
	// Following a redirect would turn the order into a GET request, whose response says nothing about the order.
	noRedirect.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Driver{table: t, client: &noRedirect, pool: pool, fencingNumber: fencingNumber, revisions: make(map[string]int64)}
}

// TakeOver rewrites every row of the pool with the driver's fencing number and returns the recorded orders. The new revisions
// make writes fail that an earlier lease holder still has in flight. Endpoints without a row get an empty one for the same
// reason. No order may be sent before TakeOver has succeeded. It returns ErrSuperseded if a row has a higher fencing number,
// and ErrNotRecorded if a row could not be rewritten.
func (d *Driver) TakeOver(ctx context.Context, endpoints []string) ([]placement.Record, error) {
	snapshot, err := d.table.Read(ctx, rowPrefix(d.pool), 0)
	if err != nil {
		return nil, errors.Annotate(err, "order: unable to read the pool's rows")
	}
	names := slices.Clone(endpoints)
	rows := make(map[string]table.Row, len(snapshot.Rows))
	for _, r := range snapshot.Rows {
		name := endpointFromKey(d.pool, r.Key)
		names = append(names, name)
		rows[name] = r
	}
	slices.Sort(names)
	var all []placement.Record
	for _, name := range slices.Compact(names) {
		records, err := d.rewriteRow(ctx, name, rows[name])
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// rewriteRow writes the row of an endpoint again with the driver's fencing number, without changing its orders.
func (d *Driver) rewriteRow(ctx context.Context, endpoint string, stored table.Row) ([]placement.Record, error) {
	current, records, err := decodeRow(endpoint, stored.Value)
	if err != nil {
		return nil, err
	}
	revision := stored.Revision
	for range maxWriteAttempts {
		if current.FencingNumber > d.fencingNumber {
			return nil, ErrSuperseded
		}
		done, err := d.writeRow(ctx, endpoint, revision, records)
		if err != nil {
			return nil, err
		}
		if done {
			return records, nil
		}
		current, records, revision, err = d.readRow(ctx, endpoint)
		if err != nil {
			return nil, err
		}
	}
	return nil, ErrNotRecorded
}

// Record writes the endpoint's row, which must contain the orders before they are sent. After any error the orders must not be
// sent. ErrSuperseded, ErrWrittenByEarlierHolder and ErrNotRecorded give the reason.
func (d *Driver) Record(ctx context.Context, endpoint string, records []placement.Record) error {
	for range maxWriteAttempts {
		done, err := d.writeRow(ctx, endpoint, d.revisions[endpoint], records)
		if err != nil || done {
			return err
		}
		current, _, revision, err := d.readRow(ctx, endpoint)
		if err != nil {
			return err
		}
		switch {
		case current.FencingNumber > d.fencingNumber:
			return ErrSuperseded
		case current.FencingNumber < d.fencingNumber && revision != d.revisions[endpoint]:
			return ErrWrittenByEarlierHolder
		}
		d.revisions[endpoint] = revision
	}
	return ErrNotRecorded
}

// writeRow writes the row if it still has this revision. It returns false if the row must be read again before another attempt.
// After an unknown outcome it reads the row. If the row doesn't show the write, the write may still arrive late: the next
// attempt has the same revision as condition, so that only one of the two succeeds.
func (d *Driver) writeRow(ctx context.Context, endpoint string, revision int64, records []placement.Record) (bool, error) {
	d.writes++
	value, err := encodeRow(d.fencingNumber, d.writes, records)
	if err != nil {
		return false, errors.Annotatef(err, "order: unable to encode the row of endpoint %q", endpoint)
	}
	key := rowPrefix(d.pool) + endpoint
	result, err := d.table.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: key, Revision: revision}},
		Writes:   []table.Write{{Key: key, Value: value}},
	})
	switch {
	case errors.Is(err, table.ErrOutcomeUnknown):
		current, _, currentRevision, err := d.readRow(ctx, endpoint)
		if err != nil {
			return false, err
		}
		if current.FencingNumber == d.fencingNumber && current.WriteCount == d.writes {
			d.revisions[endpoint] = currentRevision
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

// readRow returns the row of an endpoint, its orders and its revision, which is 0 if there is no row.
func (d *Driver) readRow(ctx context.Context, endpoint string) (row, []placement.Record, int64, error) {
	key := rowPrefix(d.pool) + endpoint
	snapshot, err := d.table.Read(ctx, key, 0)
	if err != nil {
		return row{}, nil, 0, errors.Annotatef(err, "order: unable to read the row of endpoint %q", endpoint)
	}
	for _, r := range snapshot.Rows {
		if r.Key == key {
			value, records, err := decodeRow(endpoint, r.Value)
			return value, records, r.Revision, err
		}
	}
	return row{}, nil, 0, nil
}

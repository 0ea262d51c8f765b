package call

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"magnoliahoist/table"
)

const (
	minRetryWait     = 20 * time.Millisecond // after the first failed request to the table service; doubled after each further one
	maxRetryWait     = time.Second
	busyPollInterval = 250 * time.Millisecond // between two reads of the row of a busy call
)

// Table is the part of the table service that Calls needs.
type Table interface {
	Read(ctx context.Context, prefix string, after int64) (table.Snapshot, error)
	Commit(ctx context.Context, txn table.Txn) (table.Result, error)
}

// Clock waits for a duration, or returns the context's error when that ends first.
type Clock interface {
	Wait(ctx context.Context, d time.Duration) error
}

// Calls records the calls of a host in the table service. It is safe for concurrent use.
type Calls struct {
	table    Table
	host     string
	clock    Clock
	attempts atomic.Uint64
}

// New returns the calls of a host. The ids of attempts contain the host's id, which must be unique for each process.
func New(t Table, host string, c Clock) *Calls { return &Calls{table: t, host: host, clock: c} }

// Begin decides whether to send a call. The only error is ErrInvalid, for a call without an account or a key, which is
// refused; everything else is told by the decision.
func (c *Calls) Begin(ctx context.Context, account, key string, request Digest) (Decision, error) {
	if account == "" || key == "" {
		return Refused{ErrInvalid}, ErrInvalid
	}
	b := c.newBeginMachine(account, key, request)
	return c.decide(ctx, b, b.start()), nil
}

// Await decides on a call for which Begin returned Busy. It waits until the busy attempt has ended, and returns Unknown
// when ctx ends first. Its error is that of Begin.
func (c *Calls) Await(ctx context.Context, account, key string, request Digest) (Decision, error) {
	if account == "" || key == "" {
		return Refused{ErrInvalid}, ErrInvalid
	}
	for {
		d := c.decide(ctx, c.newBeginMachine(account, key, request), readStep{})
		if _, busy := d.(Busy); !busy {
			return d, nil
		}
		if err := c.clock.Wait(ctx, busyPollInterval); err != nil {
			return Unknown{err}, nil
		}
	}
}

// newBeginMachine returns the machine for a new attempt.
func (c *Calls) newBeginMachine(account, key string, request Digest) *beginMachine {
	id := c.host + "-" + strconv.FormatUint(c.attempts.Add(1), 10)
	return &beginMachine{attempt: Attempt{ID: id, row: rowKey(account, key), host: c.host, request: request.String()}}
}

// decide drives the machine from the step s to its decision.
func (c *Calls) decide(ctx context.Context, b *beginMachine, s step) Decision {
	switch end := c.drive(ctx, b, b.attempt.row, s).(type) {
	case decidedStep:
		return end.decision
	case closedStep:
		return b.giveUp(end.err).decision
	}
	return Unknown{}
}

// ClearIntent makes sure that the intent of an unrecorded attempt does not remain, so that its key can be used again. It
// retries until ctx ends; its errors are those of Finish.
func (c *Calls) ClearIntent(ctx context.Context, a Attempt) error {
	return c.end(ctx, &clearMachine{attempt: a, expectedRevision: a.revision})
}

// Finish records the outcome of an attempt. It retries until ctx ends and then returns the last error of the table service
// joined with the error of ctx. It returns ErrTooLarge at once for a body larger than MaxBodyBytes, ErrResultConflict when
// the row contains a different result, and an error when the row can't be decoded. The caller gets the outcome even
// when Finish fails.
func (c *Calls) Finish(ctx context.Context, a Attempt, o Outcome) error {
	if len(o.Body) > MaxBodyBytes {
		return ErrTooLarge
	}
	return c.end(ctx, a.newCloseMachine(Done, &o))
}

// Abandon records that the call was certainly not sent, so that its key can be used again. It retries until ctx ends; its
// errors are those of Finish.
func (c *Calls) Abandon(ctx context.Context, a Attempt) error {
	return c.end(ctx, a.newCloseMachine(Void, nil))
}

// FinishUnknown records that the call was sent and that its outcome is unknown. It retries until ctx ends; its errors are
// those of Finish.
func (c *Calls) FinishUnknown(ctx context.Context, a Attempt) error {
	return c.end(ctx, a.newCloseMachine(OutcomeUnknown, nil))
}

// endMachine is a state machine that ends an attempt: a closeMachine or a clearMachine.
type endMachine interface {
	stateMachine
	start() step
	row() string
}

// end drives the machine to its end and returns its error.
func (c *Calls) end(ctx context.Context, m endMachine) error {
	if end, ok := c.drive(ctx, m, m.row(), m.start()).(closedStep); ok {
		return end.err
	}
	return nil
}

// drive carries out the steps of the machine, beginning with s, and returns its last step. It waits after each failed
// request; when ctx ends while it waits, it returns a closedStep with the errors of ctx and of the request.
func (c *Calls) drive(ctx context.Context, m stateMachine, row string, s step) step {
	for wait := minRetryWait; ; {
		var err error
		switch next := s.(type) {
		case commitStep:
			var r table.Result
			r, err = c.table.Commit(ctx, next.txn)
			s = m.onCommit(r, err)
		case readStep:
			var found table.Row
			found, err = c.readRow(ctx, row)
			s = m.onRead(found, err)
		default:
			return s
		}
		switch s.(type) {
		case decidedStep, closedStep:
			return s
		}
		if err == nil {
			continue
		}
		if stopped := c.clock.Wait(ctx, wait); stopped != nil {
			return closedStep{errors.Join(stopped, err)}
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// readRow returns the row with the key, or a row with the revision 0 when it is absent.
func (c *Calls) readRow(ctx context.Context, key string) (table.Row, error) {
	s, err := c.table.Read(ctx, key, 0)
	if err != nil {
		return table.Row{}, err
	}
	for _, row := range s.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return table.Row{Key: key}, nil
}

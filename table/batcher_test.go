package table_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/fault"
	"magnoliahoist/table"
)

// commitConcurrently commits all transactions at the same time through one batcher.
func commitConcurrently(client *table.Client, txns []table.Txn) ([]table.Result, []error) {
	b := table.NewBatcher(client, len(txns), 20*time.Millisecond)
	defer b.Stop()
	results, errs := make([]table.Result, len(txns)), make([]error, len(txns))
	var group sync.WaitGroup
	for i, txn := range txns {
		group.Go(func() { results[i], errs[i] = b.Commit(context.Background(), txn) })
	}
	group.Wait()
	return results, errs
}

// Guards against a caller that gets the outcome of another caller's transaction, and against a batcher
// that does not reduce the number of writes.
func TestBatcher(t *testing.T) {
	c := qt.New(t)
	const callers = 20
	distinct := func(i int) table.Txn { return createTxn(fmt.Sprint("call/", i), "mine") }
	cases := map[string]struct {
		txn       func(i int) table.Txn
		faults    fault.Faults
		committed int
		maxWrites int64 // transactions that may reach the service
		wantErr   error // kind of every error
		failed    int   // transactions that return an error
	}{
		"independent": {distinct, fault.Faults{}, callers, callers / 2, nil, 0},
		"one fails alone": {func(i int) table.Txn {
			if i == 7 {
				return table.Txn{Compares: []table.Compare{{Key: "old", Revision: 99}}, Writes: putTxn("old", "").Writes}
			}
			return distinct(i)
		}, fault.Faults{}, callers - 1, 2 * callers, nil, 0},
		"same row": {func(int) table.Txn { return createTxn("call/one", "mine") }, fault.Faults{}, 1, callers, nil, 0},
		"one invalid": {func(i int) table.Txn {
			if i == 7 {
				return table.Txn{Writes: []table.Write{{Key: "x"}, {Key: "x"}}}
			}
			return distinct(i)
		}, fault.Faults{}, callers - 1, 2 * callers, table.ErrNotApplied, 1},
		"refused": {distinct, fault.Faults{Refuse: true}, 0, 0, table.ErrNotApplied, callers},
		"down":    {distinct, fault.Faults{Down: true}, 0, 0, table.ErrOutcomeUnknown, callers},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			client, fake := startFakeTable(c.TB)
			fake.Faults.Replace(test.faults)
			txns := make([]table.Txn, callers)
			for i := range txns {
				txns[i] = test.txn(i)
			}
			results, errs := commitConcurrently(client, txns)
			fake.Faults.Replace(fault.Faults{})
			writes := fake.RequestCounts().Writes
			c.Assert(writes <= test.maxWrites, qt.IsTrue, qt.Commentf("%d writes", writes))
			committed, failed := 0, 0
			for i, result := range results {
				if errs[i] != nil {
					failed++
					c.Assert(errors.Is(errs[i], test.wantErr), qt.IsTrue, qt.Commentf("%v", errs[i]))
					continue
				}
				if !result.Committed {
					continue
				}
				committed++
				snapshot, err := client.Read(context.Background(), txns[i].Writes[0].Key, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(snapshot.Rows[0].Revision, qt.Equals, result.Revision)
			}
			c.Assert(committed, qt.Equals, test.committed)
			c.Assert(failed, qt.Equals, test.failed)
		})
	}
}

// Guards against a transaction that is committed although its caller gave up and got ErrNotApplied.
func TestBatcherLeave(t *testing.T) {
	c := qt.New(t)
	client, fake := startFakeTable(t)
	b := table.NewBatcher(client, 10, 30*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := b.Commit(ctx, createTxn("a", ""))
	c.Assert(errors.Is(err, table.ErrNotApplied), qt.IsTrue, qt.Commentf("%v", err))
	b.Stop()
	<-b.Done()
	c.Assert(fake.RequestCounts().Writes, qt.Equals, int64(0))
	_, err = b.Commit(context.Background(), createTxn("a", ""))
	c.Assert(errors.Is(err, table.ErrNotApplied), qt.IsTrue)
}

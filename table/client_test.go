package table_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"magnoliahoist/document"
	"magnoliahoist/faketable"
	"magnoliahoist/fault"
	"magnoliahoist/table"
)

// startFakeTable runs a fake table service until the test ends and returns a client of it.
func startFakeTable(t testing.TB) (*table.Client, *faketable.Table) {
	fake := faketable.New(faketable.Settings{})
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(func() {
		server.Close()
		fake.Stop()
	})
	return table.New(server.URL, server.Client()), fake
}

// putTxn writes a row unconditionally.
func putTxn(key, value string) table.Txn {
	return table.Txn{Writes: []table.Write{{Key: key, Value: []byte(value)}}}
}

// createTxn writes a row that must be absent.
func createTxn(key, value string) table.Txn {
	txn := putTxn(key, value)
	txn.Compares = []table.Compare{{Key: key}}
	return txn
}

// Guards against a read after a revision that leaves out a changed row or returns an unchanged one.
func TestReadAfter(t *testing.T) {
	c := qt.New(t)
	client, _ := startFakeTable(t)
	ctx := context.Background()
	first, err := client.Commit(ctx, table.Txn{Writes: []table.Write{{Key: "fleet/a", Value: []byte("1")}, {Key: "fleet/b"}, {Key: "fleeu"}}})
	c.Assert(err, qt.IsNil)
	second, err := client.Commit(ctx, putTxn("fleet/a", "2"))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Revision, qt.Equals, first.Revision+1)
	cases := map[string]struct {
		prefix string
		after  int64
		keys   []string
	}{
		"all":                   {"", 0, []string{"fleet/a", "fleet/b", "fleeu"}},
		"prefix":                {"fleet/", 0, []string{"fleet/a", "fleet/b"}},
		"changed since first":   {"fleet/", first.Revision, []string{"fleet/a"}},
		"nothing changed since": {"fleet/", second.Revision, nil},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			snapshot, err := client.Read(ctx, test.prefix, test.after)
			c.Assert(err, qt.IsNil)
			c.Assert(snapshot.Revision, qt.Equals, second.Revision)
			var keys []string
			for _, row := range snapshot.Rows {
				keys = append(keys, row.Key)
			}
			c.Assert(keys, qt.DeepEquals, test.keys)
		})
	}
}

// Guards against a transaction that takes effect, in part or in whole, although its condition does not
// hold.
func TestCommitCondition(t *testing.T) {
	c := qt.New(t)
	client, _ := startFakeTable(t)
	ctx := context.Background()
	created, err := client.Commit(ctx, createTxn("a", "1"))
	c.Assert(err, qt.IsNil)
	c.Assert(created.Committed, qt.IsTrue)
	recreated, err := client.Commit(ctx, createTxn("a", "2"))
	c.Assert(err, qt.IsNil)
	c.Assert(recreated, qt.Equals, table.Result{Committed: false, Revision: created.Revision})
	deleted, err := client.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: "a", Revision: created.Revision}},
		Writes:   []table.Write{{Key: "a", Delete: true}, {Key: "b", Value: []byte("3")}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(deleted.Committed, qt.IsTrue)
	snapshot, err := client.Read(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Rows, qt.DeepEquals, []table.Row{{Key: "b", Value: []byte("3"), Revision: deleted.Revision}})
}

// Guards against ErrNotApplied for a transaction that has taken effect or will.
func TestCommitErrors(t *testing.T) {
	c := qt.New(t)
	const delay = 20 * time.Millisecond
	cases := map[string]struct {
		faults  fault.Faults
		wantErr error
		rows    int // rows in the table in the end
	}{
		"reply lost": {fault.Faults{LoseReply: 1}, table.ErrOutcomeUnknown, 1},
		"late write": {fault.Faults{LateWrite: document.Duration(delay)}, table.ErrOutcomeUnknown, 1},
		"down":       {fault.Faults{Down: true}, table.ErrOutcomeUnknown, 0},
		"refused":    {fault.Faults{Refuse: true}, table.ErrNotApplied, 0},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			client, fake := startFakeTable(c.TB)
			fake.Faults.Replace(test.faults)
			_, err := client.Commit(context.Background(), createTxn("a", "1"))
			c.Assert(errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
			fake.Faults.Replace(fault.Faults{})
			rows := 0
			for range 100 {
				snapshot, err := client.Read(context.Background(), "a", 0)
				c.Assert(err, qt.IsNil)
				if rows = len(snapshot.Rows); rows == test.rows {
					break
				}
				time.Sleep(delay)
			}
			c.Assert(rows, qt.Equals, test.rows)
		})
	}
	c.Run("connection refused", func(c *qt.C) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		_, err = table.New(l.Addr().String(), http.DefaultClient).Commit(context.Background(), putTxn("a", ""))
		c.Assert(errors.Is(err, table.ErrNotApplied), qt.IsTrue)
	})
	c.Run("written twice in one transaction", func(c *qt.C) {
		client, _ := startFakeTable(c.TB)
		_, err := client.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "a"}, {Key: "a"}}})
		c.Assert(errors.Is(err, table.ErrNotApplied), qt.IsTrue)
	})
}

// Guards against a fake that checks the condition of a delayed write when the write arrives instead of
// when it is applied: the write would take effect after another one had made its condition false.
func TestLateWriteComparesLate(t *testing.T) {
	c := qt.New(t)
	client, fake := startFakeTable(t)
	const delay = 50 * time.Millisecond
	fake.Faults.Replace(fault.Faults{LateWrite: document.Duration(delay)})
	_, err := client.Commit(context.Background(), createTxn("a", "late"))
	c.Assert(errors.Is(err, table.ErrOutcomeUnknown), qt.IsTrue)
	fake.Faults.Replace(fault.Faults{})
	competing, err := client.Commit(context.Background(), createTxn("a", "void"))
	c.Assert(err, qt.IsNil)
	time.Sleep(2 * delay)
	snapshot, err := client.Read(context.Background(), "a", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(competing.Committed, qt.Equals, string(snapshot.Rows[0].Value) == "void")
	c.Assert(fake.RequestCounts().Writes, qt.Equals, int64(2))
}

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

func start(t testing.TB) (*table.Client, *faketable.Table) {
	fake := faketable.New(faketable.Settings{})
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(func() {
		server.Close()
		fake.Stop()
	})
	return table.New(server.URL, server.Client()), fake
}

func put(key, value string) table.Txn {
	return table.Txn{Writes: []table.Write{{Key: key, Value: []byte(value)}}}
}

func create(key, value string) table.Txn {
	txn := put(key, value)
	txn.Compares = []table.Compare{{Key: key}}
	return txn
}

// Guards against rows missed or repeated by a reader that follows revisions.
func TestReadAfter(t *testing.T) {
	c := qt.New(t)
	client, _ := start(t)
	ctx := context.Background()
	first, err := client.Commit(ctx, table.Txn{Writes: []table.Write{{Key: "fleet/a", Value: []byte("1")}, {Key: "fleet/b"}, {Key: "fleeu"}}})
	c.Assert(err, qt.IsNil)
	second, err := client.Commit(ctx, put("fleet/a", "2"))
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

// Guards against a write whose condition does not hold taking effect, in part or in whole.
func TestCommitCondition(t *testing.T) {
	c := qt.New(t)
	client, _ := start(t)
	ctx := context.Background()
	made, err := client.Commit(ctx, create("a", "1"))
	c.Assert(err, qt.IsNil)
	c.Assert(made.Committed, qt.IsTrue)
	again, err := client.Commit(ctx, create("a", "2"))
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, table.Result{Committed: false, Revision: made.Revision})
	gone, err := client.Commit(ctx, table.Txn{
		Compares: []table.Compare{{Key: "a", Revision: made.Revision}},
		Writes:   []table.Write{{Key: "a", Delete: true}, {Key: "b", Value: []byte("3")}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(gone.Committed, qt.IsTrue)
	snapshot, err := client.Read(ctx, "", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Rows, qt.DeepEquals, []table.Row{{Key: "b", Value: []byte("3"), Revision: gone.Revision}})
}

// Guards against a write that took effect, or will, being reported as not carried out.
func TestCommitErrors(t *testing.T) {
	c := qt.New(t)
	const late = 20 * time.Millisecond
	cases := map[string]struct {
		faults fault.Faults
		kind   error
		rows   int
	}{
		"reply lost": {fault.Faults{LoseReply: 1}, table.ErrUnknown, 1},
		"late write": {fault.Faults{LateWrite: document.Duration(late)}, table.ErrUnknown, 1},
		"down":       {fault.Faults{Down: true}, table.ErrUnknown, 0},
		"refused":    {fault.Faults{Refuse: true}, table.ErrNotSent, 0},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			client, fake := start(c.TB)
			fake.Faults.Replace(test.faults)
			_, err := client.Commit(context.Background(), create("a", "1"))
			c.Assert(errors.Is(err, test.kind), qt.IsTrue, qt.Commentf("%v", err))
			fake.Faults.Replace(fault.Faults{})
			rows := 0
			for range 100 {
				snapshot, err := client.Read(context.Background(), "a", 0)
				c.Assert(err, qt.IsNil)
				if rows = len(snapshot.Rows); rows == test.rows {
					break
				}
				time.Sleep(late)
			}
			c.Assert(rows, qt.Equals, test.rows)
		})
	}
	c.Run("connection refused", func(c *qt.C) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Assert(l.Close(), qt.IsNil)
		_, err = table.New(l.Addr().String(), http.DefaultClient).Commit(context.Background(), put("a", ""))
		c.Assert(errors.Is(err, table.ErrNotSent), qt.IsTrue)
	})
	c.Run("written twice in one transaction", func(c *qt.C) {
		client, _ := start(c.TB)
		_, err := client.Commit(context.Background(), table.Txn{Writes: []table.Write{{Key: "a"}, {Key: "a"}}})
		c.Assert(errors.Is(err, table.ErrNotSent), qt.IsTrue)
	})
}

// Guards against the late write's condition being judged when it was sent instead of when it is
// applied, which would let it pass after the row was fenced.
func TestLateWriteComparesLate(t *testing.T) {
	c := qt.New(t)
	client, fake := start(t)
	const late = 50 * time.Millisecond
	fake.Faults.Replace(fault.Faults{LateWrite: document.Duration(late)})
	_, err := client.Commit(context.Background(), create("a", "late"))
	c.Assert(errors.Is(err, table.ErrUnknown), qt.IsTrue)
	fake.Faults.Replace(fault.Faults{})
	void, err := client.Commit(context.Background(), create("a", "void"))
	c.Assert(err, qt.IsNil)
	time.Sleep(2 * late)
	snapshot, err := client.Read(context.Background(), "a", 0)
	c.Assert(err, qt.IsNil)
	c.Assert(void.Committed, qt.Equals, string(snapshot.Rows[0].Value) == "void")
	c.Assert(fake.Count().Writes, qt.Equals, int64(2))
}

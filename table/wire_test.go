package table_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/table"
)

// Guards against messages that only package faketable understands: the texts below are those of the
// etcd v3 KV JSON mapping.
func TestWire(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	cases := map[string]struct {
		path, request, response string
		call                    func(*table.Client) (any, error)
		want                    any
	}{
		"range": {"/v3/kv/range", `{"key":"ZmxlZXQv","range_end":"ZmxlZXQw","min_mod_revision":"8"}`,
			`{"header":{"cluster_id":"1","revision":"9"},"kvs":[{"key":"ZmxlZXQvYQ==","mod_revision":"9","value":"MQ=="}],"count":"1"}`,
			func(client *table.Client) (any, error) { return client.Read(ctx, "fleet/", 7) },
			table.Snapshot{Revision: 9, Rows: []table.Row{{Key: "fleet/a", Value: []byte("1"), Revision: 9}}}},
		"everything": {"/v3/kv/range", `{"key":"AA==","range_end":"AA=="}`, `{"header":{"revision":"9"}}`,
			func(client *table.Client) (any, error) { return client.Read(ctx, "", 0) },
			table.Snapshot{Revision: 9, Rows: []table.Row{}}},
		"txn": {"/v3/kv/txn", `{"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],` +
			`"success":[{"request_put":{"key":"YQ==","value":"MQ=="}},{"request_delete_range":{"key":"Yg=="}}]}`,
			`{"header":{"revision":"9"}}`,
			func(client *table.Client) (any, error) {
				return client.Commit(ctx, table.Txn{Compares: []table.Compare{{Key: "a"}},
					Writes: []table.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Delete: true}}})
			}, table.Result{Revision: 9}},
	}
	for name, test := range cases {
		c.Run(name, func(c *qt.C) {
			var path, request string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				path, request = r.URL.Path, string(body)
				_, _ = io.WriteString(w, test.response)
			}))
			defer server.Close()
			got, err := test.call(table.New(server.URL, server.Client()))
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, test.want)
			c.Assert(path, qt.Equals, test.path)
			c.Assert(request, qt.Equals, test.request)
		})
	}
}

package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// TestOddRegistration guards against a malformed row that hides the other endpoints, or that leaves an endpoint in use whose row it
// has replaced.
func TestOddRegistration(t *testing.T) {
	const good = `{"service":"p","address":"10.0.0.1:80","slots":1,"state":"ready"}`
	for name, test := range map[string]struct {
		id    string // of the malformed row
		value string
		want  int // known endpoints
	}{
		"row of its own":             {"odd", `{"service":"p","address":"10.0.0.1:70000","slots":1,"state":"ready"}`, 2},
		"no JSON":                    {"odd", "\xff", 2},
		"in the place of an earlier": {"a", `{}`, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(config.Entry{Name: "self"}, hclog.NewNullLogger())
			key := platform.EndpointTable + "/"
			h.mu.Lock()
			defer h.mu.Unlock()
			h.applyEndpointRows([]table.Row{{Key: key + "a", Value: []byte(good), Revision: 1}})
			h.directory.SetReachable(0)
			h.applyEndpointRows([]table.Row{{Key: key + test.id, Value: []byte(test.value), Revision: 2}, {Key: key + "b", Value: []byte(good), Revision: 3}})
			qt.Check(t, h.directory.Endpoints(), qt.HasLen, test.want)
			_, known := h.directory.Endpoint("b")
			qt.Check(t, known, qt.IsTrue)
		})
	}
}

package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/lease"
	"magnoliahoist/residency"
)

// TestExchangeAfterLease guards against a host that was suspended until its lease expired and, before it notices, still
// responds to other hosts as the lease holder, with outdated loads and notices.
func TestExchangeAfterLease(t *testing.T) {
	const pool = "llm"
	for name, test := range map[string]struct {
		age  time.Duration // time since the last renewal
		want bool
	}{
		"renewed":   {leaseHoldDuration / 2, true},
		"suspended": {2 * leaseHoldDuration, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := New(config.Entry{Name: "self", Domain: "near", Store: "127.0.0.1:1", HandoverGap: document.Duration(time.Second)}, hclog.NewNullLogger())
			h.holdings[pool] = &holding{planner: residency.New(0, 0), loads: dispatch.NewLoadReports()}
			began := sinceBoot() - test.age
			poolLease := h.leaseOf(pool)
			poolLease.Observe(began, began, lease.Record{}, 0, 0)
			_, row, _ := poolLease.NextWrite(began)
			poolLease.RecordWrite(row, 1, true)
			h.mu.Lock()
			defer h.mu.Unlock()
			_, held := h.recordUse(pool, "other", poolUse{})
			qt.Check(t, held, qt.Equals, test.want)
		})
	}
}

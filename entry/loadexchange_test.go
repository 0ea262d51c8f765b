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
			poolLease.Observe(lease.Read{Started: began, Ended: began}, lease.Record{}, 0)
			_, row, _ := poolLease.NextWrite(began)
			poolLease.RecordWrite(row, 1, true)
			h.mu.Lock()
			defer h.mu.Unlock()
			_, held := h.recordUse(pool, "other", poolUse{})
			qt.Check(t, held, qt.Equals, test.want)
		})
	}
}

// TestLoadExchangeInterval guards against traffic of the lease holder that grows with the square of the fleet, and against reports so
// rare that hosts take a lease holder's changes for outdated.
func TestLoadExchangeInterval(t *testing.T) {
	for name, test := range map[string]struct {
		hosts int
		want  time.Duration
	}{
		"alone":    {1, 100 * time.Millisecond},
		"small":    {30, 100 * time.Millisecond},
		"large":    {118, 201200 * time.Microsecond},
		"hundreds": {400, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, loadExchangeInterval(test.hosts), qt.Equals, test.want)
			qt.Check(t, endpointValidityFraction > endpointWaitFraction+holderBatchFraction+loadExchangeInterval(test.hosts).Seconds()/2, qt.IsTrue)
		})
	}
}

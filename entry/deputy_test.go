package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/dispatch"
	"magnoliahoist/document"
	"magnoliahoist/lease"
	"magnoliahoist/peer"
	"magnoliahoist/residency"
)

const testPool = "llm"

// newMemberHost returns one of a number of hosts, at a position of the succession of the lease of testPool. The host with the
// id "holder" holds the lease and is none of them.
func newMemberHost(position, hosts int) *Host {
	var candidates []lease.Candidate
	for i := range hosts {
		candidates = append(candidates, lease.Candidate{Host: fmt.Sprint("host-", i)})
	}
	self := lease.NewSuccession(testPool, candidates).First(position + 1)[position]
	h := New(config.Entry{Name: self, Domain: "near", Store: "127.0.0.1:1", HandoverGap: document.Duration(3 * time.Second), DrainLimit: document.Duration(4 * time.Second), ApplyLimit: document.Duration(4 * time.Second)}, hclog.NewNullLogger())
	for _, c := range candidates {
		h.fleet.members[c.Host] = member{ID: "id-" + c.Host, Address: "10.0.0.1:1"}
	}
	h.fleet.self.ID = "id-" + self
	h.fleet.members[self] = h.fleet.self
	h.fleet.members["zz-holder"] = member{ID: "holder", Address: "10.0.0.2:1"}
	h.fleet.successions[testPool] = lease.NewSuccession(testPool, candidates)
	h.fleet.client = peer.NewClient(&http.Client{}, "secret")
	h.leaseOf(testPool).Observe(lease.Read{Started: sinceBoot(), Ended: sinceBoot(), Revision: 7}, lease.Record{Holder: "holder", FencingNumber: 1}, 7)
	return h
}

// TestExchangeTarget guards against hundreds of hosts that all turn to the store when the lease holder ends: they exchange
// with the deputies, and now and then try the holder again.
func TestExchangeTarget(t *testing.T) {
	h := newMemberHost(20, 40)
	to, known := h.exchangeTarget(testPool)
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, to.ID, qt.Equals, "holder")
	h.markUnresponsive(testPool)
	asked := map[string]int{}
	for range 24 {
		to, known = h.exchangeTarget(testPool)
		qt.Assert(t, known, qt.IsTrue)
		asked[to.ID]++
	}
	qt.Check(t, asked, qt.HasLen, deputyCount+1, qt.Commentf("%v", asked))
	qt.Check(t, asked["holder"], qt.Equals, 6)
}

// TestDeputyFollows guards against a fleet without a responding holder in which all hosts follow the tables in the store, and
// against one in which none does.
func TestDeputyFollows(t *testing.T) {
	for name, test := range map[string]struct {
		position int
		want     bool
	}{
		"first in the succession": {0, true},
		"third":                   {2, true},
		"fourth":                  {3, false},
		"twentieth":               {19, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newMemberHost(test.position, 40)
			qt.Check(t, h.actsAsDeputy(), qt.IsFalse)
			h.markUnresponsive(testPool)
			qt.Check(t, h.actsAsDeputy(), qt.Equals, test.want)
			for _, wake := range []chan struct{}{h.configChanged, h.endpointsWake, h.membersWake} {
				qt.Check(t, len(wake) == 1, qt.Equals, test.want, qt.Commentf("a deputy follows at once"))
			}
		})
	}
}

// TestNamedHolder guards against a host that does not learn the new lease holder from a deputy, and against one that stays
// with a holder that a deputy has named but that does not respond.
func TestNamedHolder(t *testing.T) {
	h := newMemberHost(20, 40)
	h.markUnresponsive(testPool)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "")
	h.noteDeputyResponse(testPool, "id-host-1", "")
	h.noteDeputyResponse(testPool, "id-host-1", "holder")
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "", qt.Commentf("the holder that does not respond"))
	h.noteDeputyResponse(testPool, "id-host-1", "id-host-2")
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "id-host-2")
	to, _ := h.exchangeTarget(testPool)
	qt.Check(t, to.ID, qt.Equals, "id-host-2")
	h.handleExchange(testPool, "id-host-2", true, nil, peer.ErrNoResponse)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "id-host-2", qt.Commentf("one failure may be a connection that was closed just then"))
	h.handleExchange(testPool, "id-host-2", true, nil, peer.ErrNoResponse)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "")
	qt.Check(t, h.leaseReadDue(), qt.IsFalse, qt.Commentf("no configuration yet"))
}

// TestHolderGivesUp guards against a host that keeps exchanging with one that no longer holds the lease.
func TestHolderGivesUp(t *testing.T) {
	h := newMemberHost(20, 40)
	h.handleExchange(testPool, "holder", false, &peer.SummaryResponse{Deputy: true}, nil)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "holder", qt.Commentf("it acquired the lease after it had responded"))
	h.handleExchange(testPool, "holder", true, &peer.SummaryResponse{Deputy: true}, nil)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "")
	h.handleExchange(testPool, "holder", true, &peer.SummaryResponse{}, nil)
	qt.Check(t, h.respondingHolder(testPool), qt.Equals, "holder")
}

// TestSingleExchange guards against exchanges that pile up at a slow or silent host.
func TestSingleExchange(t *testing.T) {
	h := newMemberHost(20, 40)
	h.fleet.exchanging[testPool] = true
	h.markUnresponsive(testPool)
	h.exchangePoolLoad(testPool)
	qt.Check(t, h.fleet.exchangeTurns[testPool], qt.Equals, 0)
}

// TestLeaseReadPause guards against hundreds of hosts that read a lease without a holder several times a second.
func TestLeaseReadPause(t *testing.T) {
	reads := 0.0
	for position := range 400 {
		stage := 0
		for 1<<(stage+1) <= position+1 {
			stage++
		}
		reads += 1 / leaseReadPause(stage).Seconds()
	}
	qt.Check(t, reads < 400*0.3+30, qt.IsTrue, qt.Commentf("%.0f reads a second", reads))
	qt.Check(t, leaseReadPause(0), qt.Equals, leaseReadInterval)
}

// TestDeputySource guards against a log line for each exchange while no lease holder responds: hosts exchange with several
// deputies by turns, and deputies with each other.
func TestDeputySource(t *testing.T) {
	for name, test := range map[string]struct {
		position int
		want     string
	}{
		"deputy":     {1, storeSource},
		"other host": {20, deputySource},
	} {
		t.Run(name, func(t *testing.T) {
			h := newMemberHost(test.position, 40)
			h.store.ConfirmConfig(time.Second)
			h.setSource(fleetTable, &h.fleet.rows, storeSource)
			h.markUnresponsive(testPool)
			for range 3 {
				response := &peer.SummaryResponse{Deputy: true, Members: &peer.Changes{Revision: 9, Clock: int64(time.Second)}}
				h.handleExchange(testPool, "id-host-1", false, response, nil)
				qt.Check(t, h.fleet.rows.source, qt.Equals, test.want)
			}
		})
	}
}

// TestOrdersAfterTakeover guards against a host that places no orders for adapters after it has acquired the lease itself,
// because of the failed exchanges with the holder before it.
func TestOrdersAfterTakeover(t *testing.T) {
	h := newMemberHost(0, 3)
	for range maxFailedExchanges + 1 { // the last one is a later try
		h.handleExchange(testPool, "holder", true, nil, peer.ErrNoResponse)
	}
	h.updateOrderable(testPool)
	qt.Check(t, h.orderable[testPool], qt.IsFalse)
	h.holdings[testPool] = &holding{planner: residency.New(0, 0), loads: dispatch.NewLoadReports()}
	h.updateOrderable(testPool)
	qt.Check(t, h.orderable[testPool], qt.IsTrue)
}

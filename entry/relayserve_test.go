package entry

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"magnoliahoist/config"
	"magnoliahoist/dispatch"
	"magnoliahoist/peer"
	"magnoliahoist/platform"
)

// TestRelayedReadOutOfRange guards against a faulty host whose calls make this one take the store for unreachable, or fill its metrics
// with ever other names.
func TestRelayedReadOutOfRange(t *testing.T) {
	for name, request := range map[string]*peer.ReadRequest{
		"negative wait": {Table: platform.OperatorTable, Wait: math.MinInt64, Eras: true},
		"unknown table": {Table: "none", Whole: true, Eras: true},
		"empty table":   {Whole: true, Eras: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startStore(t)
			h := New(config.Entry{Name: "self", Domain: "near", Store: address}, hclog.NewNullLogger())
			_, err := (&peerService{h}).Read(t.Context(), request)
			qt.Check(t, err != nil, qt.Equals, request.GetTable() != platform.OperatorTable)
			_, err = (&peerService{h}).Write(t.Context(), &peer.WriteRequest{Changes: []*peer.Change{{Key: "none/1"}}})
			qt.Check(t, err, qt.IsNotNil)
			qt.Check(t, h.store.Unreachable(), qt.IsFalse)
			families, err := h.metrics.registry.Gather()
			qt.Assert(t, err, qt.IsNil)
			for _, family := range families {
				qt.Check(t, strings.Contains(family.String(), `"none"`), qt.IsFalse)
			}
		})
	}
}

// TestLoanOutOfRange guards against a faulty lender whose response lets this host admit tokens that nobody has lent.
func TestLoanOutOfRange(t *testing.T) {
	asked := dispatch.RequestLoan{Tokens: 500, LargestShortfall: 800}
	for received, want := range map[int64]int64{-1: 0, 0: 0, 300: 300, 800: 800, 801: 0, math.MaxInt64: 0} {
		qt.Check(t, lentTokens(asked, received), qt.Equals, want, qt.Commentf("%d", received))
	}
}

// TestRelayedReadWithoutEras guards against a host of an earlier version that takes a revision with an era for a version of the store.
func TestRelayedReadWithoutEras(t *testing.T) {
	_, address := startStore(t)
	h := New(config.Entry{Name: "self", Domain: "near", Store: address}, hclog.NewNullLogger())
	_, err := (&peerService{h}).Read(t.Context(), &peer.ReadRequest{Table: platform.OperatorTable, Whole: true})
	qt.Check(t, err, qt.ErrorMatches, ".*revisions contain the era.*")
}

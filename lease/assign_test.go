package lease_test

import (
	"fmt"
	"slices"
	"testing"

	"magnoliahoist/lease"
	"magnoliahoist/replica"
)

// TestRankStable guards against a change of the rendezvous weights. Hosts of two versions would then rank the
// candidates for a takeover differently.
func TestRankStable(t *testing.T) {
	members := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for name, want := range map[string]string{"x": "bdace", "account-00001": "dbeac"} {
		got := ""
		for _, m := range lease.Rank(members, name) {
			got += m.ID
		}
		if got != want {
			t.Errorf("%s: %s, want %s", name, got, want)
		}
	}
}

// TestSpreadSearch guards against a choice that differs from a search over all members. Earlier versions searched all
// members, and the holders in stored rows were chosen by them.
func TestSpreadSearch(t *testing.T) {
	var members []replica.Member
	for i := range 60 {
		members = append(members, replica.Member{ID: fmt.Sprintf("h%d", i), Domain: fmt.Sprintf("d%d", i*i%7)})
	}
	for i := range 200 {
		name, chosen := fmt.Sprint(i), members[i%50:i%50+i%4]
		want := slices.Clone(chosen)
		order := lease.Rank(members, name)
		for range i % 61 {
			best, least := -1, 0
			for at, m := range order {
				used := 0
				for _, c := range want {
					if c.Domain == m.Domain {
						used++
					}
				}
				if !slices.Contains(want, m) && (best < 0 || used < least) {
					best, least = at, used
				}
			}
			if best >= 0 && len(want) < i%61 {
				want = append(want, order[best])
			}
		}
		if got := lease.SpreadAcrossDomains(chosen, members, name, i%61); !slices.Equal(got, want) {
			t.Fatalf("name %s, %d chosen: %v, want %v", name, len(chosen), got, want)
		}
	}
}

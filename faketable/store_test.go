package faketable

import (
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a range read or delete that misses rows or includes wrong ones because rows are grouped
// by segment. The model is one flat map from keys to revisions.
func TestPropertyStoreRanges(t *testing.T) {
	key := rapid.StringMatching(`[ab0/]{1,5}`)
	rapid.Check(t, func(t *rapid.T) {
		s, model := newStore(), map[string]int64{}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				k := key.Draw(t, "key")
				response := s.commit(txnRequest{Success: []operation{{Put: &putRequest{Key: []byte(k)}}}})
				model[k] = response.Header.Revision
			},
			"delete": func(t *rapid.T) {
				first, end := key.Draw(t, "first"), rapid.OneOf(key, rapid.Just("")).Draw(t, "end")
				s.commit(txnRequest{Success: []operation{{Delete: &deleteRequest{Key: []byte(first), RangeEnd: []byte(end)}}}})
				for k := range model {
					if end == "" && k == first || end != "" && first <= k && k < end {
						delete(model, k)
					}
				}
			},
			"": func(t *rapid.T) {
				prefix := rapid.OneOf(key, rapid.Just("")).Draw(t, "prefix")
				after := rapid.Int64Range(0, s.revision).Draw(t, "after")
				first, end := []byte(prefix), []byte(prefix)
				if prefix == "" {
					first, end = []byte{0}, []byte{0}
				} else {
					end[len(end)-1]++
				}
				var got, want []string
				for _, row := range s.read(rangeRequest{Key: first, RangeEnd: end, MinModRevision: after + 1}).Rows {
					got = append(got, string(row.Key))
				}
				for k, revision := range model {
					if strings.HasPrefix(k, prefix) && revision > after {
						want = append(want, k)
					}
				}
				sort.Strings(want)
				if strings.Join(got, " ") != strings.Join(want, " ") {
					t.Fatalf("prefix %q after %d: got %q, want %q", prefix, after, got, want)
				}
			},
		})
	})
}

// Guards against a stand-in that accepts what it does not implement and so hides a wrong request.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	cases := map[string]txnRequest{
		"compare of a value": {Compare: []compare{{Key: []byte("a"), Target: "VALUE"}}},
		"greater":            {Compare: []compare{{Key: []byte("a"), Target: "MOD", Result: "GREATER"}}},
		"range":              {Success: []operation{{Range: &rangeRequest{}}}},
		"failure operations": {Failure: []operation{{}}},
		"no key":             {Success: []operation{{Put: &putRequest{}}}},
	}
	for name, txn := range cases {
		c.Run(name, func(c *qt.C) { c.Assert(validateTxn(txn), qt.IsNotNil) })
	}
}

// Package lease decides which member holds which pool lease and which part of an account's allowance.
package lease

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"magnoliahoist/replica"
)

// score is the rendezvous weight of a member for a name.
func score(member, name string) uint64 {
	hash := fnv.New64a()
	io.WriteString(hash, member+"\x00"+name)
	sum := hash.Sum64()
	// FNV spreads the last bytes poorly over the high bits; this is the finalizer of splitmix64.
	sum = (sum ^ sum>>30) * 0xbf58476d1ce4e5b9
	sum = (sum ^ sum>>27) * 0x94d049bb133111eb
	return sum ^ sum>>31
}

// Rank returns the members in rendezvous order for the name, highest weight first.
func Rank(members []replica.Member, name string) []replica.Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b replica.Member) int {
		return cmp.Or(cmp.Compare(score(b.ID, name), score(a.ID, name)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// Spread extends the chosen members to at most k, in rendezvous order, each time from a failure
// domain that has the fewest chosen members.
func Spread(chosen, members []replica.Member, name string, k int) []replica.Member {
	list := slices.Clone(chosen)
	used := map[string]int{}
	taken := map[string]bool{}
	for _, m := range list {
		used[m.Domain]++
		taken[m.ID] = true
	}
	ranked := Rank(members, name)
	for len(list) < k {
		best := -1
		for i, m := range ranked {
			if !taken[m.ID] && (best < 0 || used[m.Domain] < used[ranked[best].Domain]) {
				best = i
			}
		}
		if best < 0 {
			return list
		}
		list = append(list, ranked[best])
		used[ranked[best].Domain]++
		taken[ranked[best].ID] = true
	}
	return list
}

// Assign divides an account's allowance equally among k members, or all when there are fewer.
func Assign(members []replica.Member, account string, k int) []replica.Part {
	return equalParts(Spread(nil, members, account, k))
}

func equalParts(holders []replica.Member) []replica.Part {
	parts := make([]replica.Part, len(holders))
	for i, m := range holders {
		parts[i] = replica.Part{Host: m.ID, Part: 1 / float64(len(holders))}
	}
	return parts
}

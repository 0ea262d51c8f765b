package lease

import (
	"cmp"
	"math/bits"
	"slices"
)

// Succession is the order in which hosts acquire a lease that is free. It answers the load of hundreds of hosts that find a
// lease free at the same moment: if all of them wrote its row and read it again, the table service would refuse most calls.
// The first host acquires the lease at once. The others follow in stages, each with twice as many hosts as the one before,
// so that few stages suffice when many hosts are down. Strong hosts come first, because the holder of a lease exchanges with
// all hosts and engines. All hosts that know the same hosts agree on the order. A Succession is immutable; the zero value
// has no hosts.
type Succession struct {
	hosts  []string
	stages map[string]int
}

// strongShare is the share of the strongest host's power from which a host counts as strong.
const strongShare = 0.5

// Candidate is a host that may acquire a lease.
type Candidate struct {
	Host  string  // name
	Power float64 // what the host can process and send, in any unit that all hosts share; 0 if unknown
}

// NewSuccession returns the order for a lease among hosts: the strong ones first, and otherwise by rendezvous hashing.
func NewSuccession(lease string, candidates []Candidate) Succession {
	strongest := 0.0
	for _, c := range candidates {
		strongest = max(strongest, c.Power)
	}
	weights := make(map[string]uint64, len(candidates))
	s := Succession{stages: make(map[string]int, len(candidates))}
	for _, c := range candidates {
		weight := rendezvousWeight(c.Host, lease) >> 1
		if c.Power >= strongShare*strongest {
			weight |= 1 << 63
		}
		weights[c.Host] = weight
		s.hosts = append(s.hosts, c.Host)
	}
	slices.SortFunc(s.hosts, func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
	for position, host := range s.hosts {
		s.stages[host] = bits.Len(uint(position+1)) - 1
	}
	return s
}

// First returns the first hosts in the order, at most count.
func (s Succession) First(count int) []string { return s.hosts[:min(count, len(s.hosts))] }

// Stage returns the stage of a host, 0 for the first one. A host that is not in the order comes after all others.
func (s Succession) Stage(host string) int {
	if stage, found := s.stages[host]; found {
		return stage
	}
	return bits.Len(uint(len(s.hosts) + 1))
}

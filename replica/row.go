package replica

import (
	"encoding/json"
	"fmt"

	"magnoliahoist/account"
	"magnoliahoist/pool"
	"magnoliahoist/route"
	"magnoliahoist/table"
)

// Head is the row on which every configuration edit is conditional.
type Head struct {
	EditCount  int64  `json:"edits"`
	LastEditID string `json:"edit"`
}

// Member is a host that counts for the majority of its group. Its row is written once and later replaced by a tombstone,
// so that the row's revision is the revision at which the member joined.
type Member struct {
	ID           string `json:"-"`       // of the process
	Address      string `json:"address"` // of the peer listener
	Domain       string `json:"domain"`  // failure domain
	Group        string `json:"group"`   // whose majority a host must reach to be fresh
	JoinRevision int64  `json:"-"`
}

// Part is one host's fraction of an account's allowance, 0 to 1.
type Part struct {
	Host     string  `json:"host"`
	Fraction float64 `json:"part"`
}

// Share divides an account's allowance among hosts. ReplacedRevision is the revision of the share row that this one
// replaced, so that a holder notices when it missed a row in between.
type Share struct {
	Parts            []Part `json:"parts"`
	ReplacedRevision int64  `json:"after,omitempty"`
	Revision         int64  `json:"-"`
}

// PartOf returns the host's fraction of the allowance, 0 when the host holds none.
func (s Share) PartOf(host string) float64 {
	for _, part := range s.Parts {
		if part.Host == host {
			return part.Fraction
		}
	}
	return 0
}

// Lease is the right to manage a pool. FencingNumber is increased by every new holder.
type Lease struct {
	Holder        string `json:"holder"`
	FencingNumber int64  `json:"number"`
	Revision      int64  `json:"-"`
}

// maxPartSum is the largest valid sum of an account's parts. The margin covers the rounding of equal parts.
const maxPartSum = 1 + 1e-9

// encode returns the JSON of a row's value. It panics on an error, which the types of rows never cause.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("replica: unable to encode %T: %v", value, err))
	}
	return data
}

// EncodeTombstone returns the value of a tombstone, which replaces a deleted row.
func EncodeTombstone() []byte { return []byte(`{"gone":true}`) }

// EncodeHead returns the value of the head row.
func EncodeHead(h Head) []byte { return encode(h) }

// EncodeAccount returns the value of an account's row.
func EncodeAccount(a account.Account) []byte { return encode(a) }

// EncodeRoute returns the value of a route's row.
func EncodeRoute(r route.Route) []byte { return encode(r) }

// EncodePool returns the value of a pool's row.
func EncodePool(p pool.Pool) []byte { return encode(p) }

// EncodeKey returns the value of an account key's row.
func EncodeKey(k account.Key) []byte { return encode(k) }

// EncodeMember returns the value of a member's row.
func EncodeMember(m Member) []byte { return encode(m) }

// EncodeShare returns the value of a share row.
func EncodeShare(s Share) []byte { return encode(s) }

// EncodeLease returns the value of a lease row.
func EncodeLease(l Lease) []byte { return encode(l) }

// tombstone is the value of a deleted row.
type tombstone struct {
	Gone          bool         `json:"gone"`
	RemovedMember *removedInfo `json:"removed,omitempty"`
}

// removedInfo describes a member that others removed. It is kept because the member may still run for a while.
type removedInfo struct {
	Group  string `json:"group"`
	Joined int64  `json:"joined"` // revision at which the member joined
}

// EncodeRemovedMember returns the value of the tombstone with which another host removes the member.
func EncodeRemovedMember(m Member) []byte {
	return encode(tombstone{Gone: true, RemovedMember: &removedInfo{Group: m.Group, Joined: m.JoinRevision}})
}

// isTombstone reports whether a value is a tombstone.
func isTombstone(value []byte) bool {
	var decoded tombstone
	return json.Unmarshal(value, &decoded) == nil && decoded.Gone
}

// decode decodes the value of a row. It ignores unknown fields, so that hosts can read rows of newer versions.
func decode[T any](row table.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, err
}

// requireSameName returns an error unless the name in a row's value is the name in its key.
func requireSameName(inValue, inKey string) error {
	if inValue != inKey {
		return fmt.Errorf("value has the name %q, expected %q as in the key", inValue, inKey)
	}
	return nil
}

func decodeHead(_ string, row table.Row) (Head, error) { return decode[Head](row) }

// decodeUnknown accepts rows of kinds that this version doesn't know; only their raw values are used.
func decodeUnknown(_ string, row table.Row) (struct{}, error) { return struct{}{}, nil }

func decodeAccount(name string, row table.Row) (account.Account, error) {
	a, err := decode[account.Account](row)
	if err != nil {
		return a, err
	}
	return a, requireSameName(a.Name, name)
}

func decodeRoute(name string, row table.Row) (route.Route, error) {
	r, err := decode[route.Route](row)
	if err != nil {
		return r, err
	}
	return r, requireSameName(r.Name, name)
}

func decodePool(name string, row table.Row) (pool.Pool, error) {
	p, err := decode[pool.Pool](row)
	if err != nil {
		return p, err
	}
	return p, requireSameName(p.Name, name)
}

func decodeKey(digest string, row table.Row) (account.Key, error) {
	k, err := decode[account.Key](row)
	if err != nil {
		return k, err
	}
	return k, requireSameName(k.Digest, digest)
}

func decodeMember(id string, row table.Row) (Member, error) {
	m, err := decode[Member](row)
	m.ID, m.JoinRevision = id, row.Revision
	return m, err
}

func decodeShare(_ string, row table.Row) (Share, error) {
	s, err := decode[Share](row)
	if err != nil {
		return s, err
	}
	s.Revision = row.Revision
	sum := 0.0
	hosts := map[string]bool{}
	for _, part := range s.Parts {
		if !(part.Fraction >= 0) || hosts[part.Host] {
			return s, fmt.Errorf("part %v of host %q is negative, not a number or repeated", part.Fraction, part.Host)
		}
		hosts[part.Host] = true
		sum += part.Fraction
	}
	if sum > maxPartSum {
		return s, fmt.Errorf("parts sum to %v, expected at most 1", sum)
	}
	return s, nil
}

func decodeLease(_ string, row table.Row) (Lease, error) {
	l, err := decode[Lease](row)
	l.Revision = row.Revision
	return l, err
}

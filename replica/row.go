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
	Edits int64  `json:"edits"`
	Edit  string `json:"edit"` // id of the last edit
}

// Member is a host that counts in the majority of its group.
// Its row is written once and then replaced by a tombstone, so Revision is the revision of joining.
type Member struct {
	ID       string `json:"-"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Group    string `json:"group"`
	Revision int64  `json:"-"`
}

// Part is the part of an account's allowance that a host holds, 0 to 1.
type Part struct {
	Host string  `json:"host"`
	Part float64 `json:"part"`
}

// Share divides an account's allowance among holders. After is the revision of the row that it
// replaced, so that a holder notices when it missed a division in between.
type Share struct {
	Parts    []Part `json:"parts"`
	After    int64  `json:"after,omitempty"`
	Revision int64  `json:"-"`
}

// PartOf returns the part of the host, 0 when it holds none.
func (s Share) PartOf(host string) float64 {
	for _, part := range s.Parts {
		if part.Host == host {
			return part.Part
		}
	}
	return 0
}

// Lease is the right to manage a pool; Number grows with every holder.
type Lease struct {
	Holder   string `json:"holder"`
	Number   int64  `json:"number"`
	Revision int64  `json:"-"`
}

// maxPartSum is the largest sum of an account's parts; the margin covers rounding of equal parts.
const maxPartSum = 1 + 1e-9

// encode marshals a row value; the types of this package always marshal.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("replica: unable to encode %T: %v", value, err))
	}
	return data
}

// EncodeGone returns the value of a tombstone.
func EncodeGone() []byte { return []byte(`{"gone":true}`) }

// EncodeHead returns the value of the head row.
func EncodeHead(h Head) []byte { return encode(h) }

// EncodeAccount returns the value of an account's row.
func EncodeAccount(a account.Account) []byte { return encode(a) }

// EncodeRoute returns the value of a route's row.
func EncodeRoute(r route.Route) []byte { return encode(r) }

// EncodePool returns the value of a pool's row.
func EncodePool(p pool.Pool) []byte { return encode(p) }

// EncodeKey returns the value of the row of an account key.
func EncodeKey(k account.Key) []byte { return encode(k) }

// EncodeMember returns the value of a member's row.
func EncodeMember(m Member) []byte { return encode(m) }

// EncodeShare returns the value of a share row.
func EncodeShare(s Share) []byte { return encode(s) }

// EncodeLease returns the value of a lease row.
func EncodeLease(l Lease) []byte { return encode(l) }

// tombstone is the value of a row whose entry is gone.
type tombstone struct {
	Gone    bool     `json:"gone"`
	Removed *removal `json:"removed,omitempty"`
}

// removal is kept of a member that others removed, because it may still run for a while.
type removal struct {
	Group  string `json:"group"`
	Joined int64  `json:"joined"` // revision
}

// EncodeRemoved returns the tombstone of a member that another host removes.
func EncodeRemoved(m Member) []byte {
	return encode(tombstone{Gone: true, Removed: &removal{Group: m.Group, Joined: m.Revision}})
}

// isGone reports whether a value is a tombstone.
func isGone(value []byte) bool {
	var mark tombstone
	return json.Unmarshal(value, &mark) == nil && mark.Gone
}

// decode reads a row. Unknown fields are allowed, so that hosts of an older version read newer rows.
func decode[T any](row table.Row) (T, error) {
	var value T
	err := json.Unmarshal(row.Value, &value)
	return value, err
}

// requireName checks that the name in a row's value is the one in its key.
func requireName(inside, outside string) error {
	if inside != outside {
		return fmt.Errorf("value names %q, key names %q", inside, outside)
	}
	return nil
}

func decodeHead(_ string, row table.Row) (Head, error) { return decode[Head](row) }

func decodeOther(_ string, row table.Row) (struct{}, error) { return struct{}{}, nil }

func decodeAccount(name string, row table.Row) (account.Account, error) {
	a, err := decode[account.Account](row)
	if err != nil {
		return a, err
	}
	return a, requireName(a.Name, name)
}

func decodeRoute(name string, row table.Row) (route.Route, error) {
	r, err := decode[route.Route](row)
	if err != nil {
		return r, err
	}
	return r, requireName(r.Name, name)
}

func decodePool(name string, row table.Row) (pool.Pool, error) {
	p, err := decode[pool.Pool](row)
	if err != nil {
		return p, err
	}
	return p, requireName(p.Name, name)
}

func decodeKey(digest string, row table.Row) (account.Key, error) {
	k, err := decode[account.Key](row)
	if err != nil {
		return k, err
	}
	return k, requireName(k.Digest, digest)
}

func decodeMember(id string, row table.Row) (Member, error) {
	m, err := decode[Member](row)
	m.ID, m.Revision = id, row.Revision
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
		if !(part.Part >= 0) || hosts[part.Host] {
			return s, fmt.Errorf("part %v of host %q is negative, undefined or repeated", part.Part, part.Host)
		}
		hosts[part.Host] = true
		sum += part.Part
	}
	if sum > maxPartSum {
		return s, fmt.Errorf("parts sum to %v, allowed is 1", sum)
	}
	return s, nil
}

func decodeLease(_ string, row table.Row) (Lease, error) {
	l, err := decode[Lease](row)
	l.Revision = row.Revision
	return l, err
}

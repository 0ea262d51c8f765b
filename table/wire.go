package table

// The types below are the messages of the etcd v3 KV JSON mapping that the client uses. Keys and values
// are base64, 64-bit integers are strings, and fields with a zero value may be missing.

type wireHeader struct {
	Revision int64 `json:"revision,string"`
}

type wireRangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
}

type wireRow struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wireSnapshot struct {
	Header *wireHeader `json:"header"`
	Rows   []wireRow   `json:"kvs"`
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type wireDelete struct {
	Key []byte `json:"key"`
}

type wireOp struct {
	Put    *wirePut    `json:"request_put,omitempty"`
	Delete *wireDelete `json:"request_delete_range,omitempty"`
}

type wireTxn struct {
	Compare []wireCompare `json:"compare"`
	Success []wireOp      `json:"success"`
}

type wireResult struct {
	Header    *wireHeader `json:"header"`
	Succeeded bool        `json:"succeeded"`
}

// prefixRange returns the key and the range end that select all keys with the prefix.
func prefixRange(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	key = []byte(prefix)
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return key, end[:i+1]
		}
	}
	// A range end of one zero byte selects all keys from key on.
	return key, []byte{0}
}

func encodeTxn(txn Txn) wireTxn {
	wire := wireTxn{Compare: []wireCompare{}, Success: []wireOp{}}
	for _, c := range txn.Compares {
		wire.Compare = append(wire.Compare, wireCompare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: c.Revision})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			wire.Success = append(wire.Success, wireOp{Delete: &wireDelete{Key: []byte(w.Key)}})
			continue
		}
		wire.Success = append(wire.Success, wireOp{Put: &wirePut{Key: []byte(w.Key), Value: w.Value}})
	}
	return wire
}

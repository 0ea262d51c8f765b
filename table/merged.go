package table

// maxOperations bounds the compares and the writes of a merged transaction; etcd refuses more than
// 128 of either.
const maxOperations = 128

// maxMerged bounds the bytes of a merged transaction's keys and values; etcd refuses requests above
// 1.5 MiB, of which base64 takes a third.
const maxMerged = 768 << 10

// merged is a set of transactions that do not touch each other's rows.
type merged struct {
	items    []*pending
	compared map[string]bool
	written  map[string]bool
	compares int
	writes   int
	bytes    int
}

func newMerged() *merged {
	return &merged{compared: map[string]bool{}, written: map[string]bool{}}
}

// accepts tells whether the transaction is independent of the others and fits.
func (m *merged) accepts(txn Txn) bool {
	if m.compares+len(txn.Compares) > maxOperations || m.writes+len(txn.Writes) > maxOperations ||
		m.bytes+sizeOf(txn) > maxMerged {
		return false
	}
	for _, c := range txn.Compares {
		if m.written[c.Key] {
			return false
		}
	}
	for _, w := range txn.Writes {
		if m.written[w.Key] || m.compared[w.Key] {
			return false
		}
	}
	return true
}

func (m *merged) add(p *pending) {
	m.items = append(m.items, p)
	m.compares += len(p.txn.Compares)
	m.writes += len(p.txn.Writes)
	m.bytes += sizeOf(p.txn)
	for _, c := range p.txn.Compares {
		m.compared[c.Key] = true
	}
	for _, w := range p.txn.Writes {
		m.written[w.Key] = true
	}
}

func sizeOf(txn Txn) int {
	size := 0
	for _, c := range txn.Compares {
		size += len(c.Key)
	}
	for _, w := range txn.Writes {
		size += len(w.Key) + len(w.Value)
	}
	return size
}

package table

// maxOperations bounds the compares, and likewise the writes, of a merged transaction; etcd rejects more
// than 128 of either.
const maxOperations = 128

// maxMergedBytes bounds the keys and values of a merged transaction, before their base64 encoding; etcd
// rejects requests above 1.5 MiB, of which base64 takes a third.
const maxMergedBytes = 768 << 10

// mergedTxn is a batch of transactions none of which writes a row that another one compares or writes.
type mergedTxn struct {
	txns         []*pendingTxn
	comparedKeys map[string]bool
	writtenKeys  map[string]bool
	compareCount int
	writeCount   int
	bytes        int
}

func newMergedTxn() *mergedTxn {
	return &mergedTxn{comparedKeys: map[string]bool{}, writtenKeys: map[string]bool{}}
}

// canAdd reports whether the transaction is independent of those in the batch and fits the size limits.
func (m *mergedTxn) canAdd(txn Txn) bool {
	if m.compareCount+len(txn.Compares) > maxOperations || m.writeCount+len(txn.Writes) > maxOperations ||
		m.bytes+txnBytes(txn) > maxMergedBytes {
		return false
	}
	for _, c := range txn.Compares {
		if m.writtenKeys[c.Key] {
			return false
		}
	}
	for _, w := range txn.Writes {
		if m.writtenKeys[w.Key] || m.comparedKeys[w.Key] {
			return false
		}
	}
	return true
}

func (m *mergedTxn) add(p *pendingTxn) {
	m.txns = append(m.txns, p)
	m.compareCount += len(p.txn.Compares)
	m.writeCount += len(p.txn.Writes)
	m.bytes += txnBytes(p.txn)
	for _, c := range p.txn.Compares {
		m.comparedKeys[c.Key] = true
	}
	for _, w := range p.txn.Writes {
		m.writtenKeys[w.Key] = true
	}
}

// txnBytes returns the size of the transaction's keys and values in bytes.
func txnBytes(txn Txn) int {
	size := 0
	for _, c := range txn.Compares {
		size += len(c.Key)
	}
	for _, w := range txn.Writes {
		size += len(w.Key) + len(w.Value)
	}
	return size
}

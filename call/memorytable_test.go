package call

import (
	"context"
	"strings"
	"sync"

	"magnoliahoist/table"
)

// fault is the way in which the table of the tests handles a request.
type fault int

const (
	noFault   fault = iota
	replyLost       // takes effect, but the result is lost
	late            // takes effect when applyLate is called, if its compares hold then
	dropped         // never takes effect, but its result is unknown
	notSent         // reported as not sent; has no effect
	faultCount
)

// memoryTable is a table service in memory that injects faults.
type memoryTable struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	revision    int64
	lateTxns    []table.Txn
	chooseFault func(write bool) fault // returns the fault of the next request; nil: no faults
}

func newMemoryTable() *memoryTable { return &memoryTable{rows: map[string]table.Row{}} }

func (m *memoryTable) nextFault(write bool) fault {
	if m.chooseFault == nil {
		return noFault
	}
	return m.chooseFault(write)
}

func (m *memoryTable) Read(_ context.Context, prefix string, _ int64) (table.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nextFault(false) != noFault {
		return table.Snapshot{}, table.ErrNotApplied
	}
	s := table.Snapshot{Revision: m.revision}
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			s.Rows = append(s.Rows, row)
		}
	}
	return s, nil
}

func (m *memoryTable) Commit(_ context.Context, txn table.Txn) (table.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.nextFault(true) {
	case notSent:
		return table.Result{}, table.ErrNotApplied
	case dropped:
		return table.Result{}, table.ErrOutcomeUnknown
	case late:
		m.lateTxns = append(m.lateTxns, txn)
		return table.Result{}, table.ErrOutcomeUnknown
	case replyLost:
		m.apply(txn)
		return table.Result{}, table.ErrOutcomeUnknown
	}
	return m.apply(txn), nil
}

func (m *memoryTable) apply(txn table.Txn) table.Result {
	for _, c := range txn.Compares {
		if m.rows[c.Key].Revision != c.Revision {
			return table.Result{Revision: m.revision}
		}
	}
	m.revision++
	for _, w := range txn.Writes {
		m.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
	}
	return table.Result{Committed: true, Revision: m.revision}
}

// applyLate applies the late transaction with the index.
func (m *memoryTable) applyLate(index int) {
	txn := m.lateTxns[index]
	m.lateTxns = append(m.lateTxns[:index:index], m.lateTxns[index+1:]...)
	m.apply(txn)
}

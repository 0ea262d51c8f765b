package call

import (
	"context"
	"strings"
	"sync"

	"magnoliahoist/table"
)

// fate is what the table of the tests does with a request.
type fate int

const (
	works     fate = iota
	replyLost      // takes effect, but the answer is lost
	late           // takes effect after land is called, if its compares hold then
	dropped        // never takes effect, but the answer does not tell
	notSent        // certainly has no effect
	fates
)

// memory is a table in memory with faults.
type memory struct {
	mu       sync.Mutex
	rows     map[string]table.Row
	revision int64
	waiting  []table.Txn
	next     func(write bool) fate // works when nil
}

func newMemory() *memory { return &memory{rows: map[string]table.Row{}} }

func (m *memory) fate(write bool) fate {
	if m.next == nil {
		return works
	}
	return m.next(write)
}

func (m *memory) Read(_ context.Context, prefix string, _ int64) (table.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fate(false) != works {
		return table.Snapshot{}, table.ErrNotSent
	}
	s := table.Snapshot{Revision: m.revision}
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			s.Rows = append(s.Rows, row)
		}
	}
	return s, nil
}

func (m *memory) Commit(_ context.Context, txn table.Txn) (table.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.fate(true) {
	case notSent:
		return table.Result{}, table.ErrNotSent
	case dropped:
		return table.Result{}, table.ErrUnknown
	case late:
		m.waiting = append(m.waiting, txn)
		return table.Result{}, table.ErrUnknown
	case replyLost:
		m.apply(txn)
		return table.Result{}, table.ErrUnknown
	}
	return m.apply(txn), nil
}

func (m *memory) apply(txn table.Txn) table.Result {
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

// land applies the late write at a position.
func (m *memory) land(at int) {
	txn := m.waiting[at]
	m.waiting = append(m.waiting[:at:at], m.waiting[at+1:]...)
	m.apply(txn)
}

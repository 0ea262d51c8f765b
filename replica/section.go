package replica

import (
	"maps"
	"slices"

	"magnoliahoist/table"
)

// section holds the rows of one kind, raw and decoded, by the part of the key after the kind's prefix.
type section[T any] struct {
	rows   map[string]table.Row
	items  map[string]T
	sorted []string // names of the items
	broken map[string]string
}

// with returns the section with the rows applied; it returns the same section when none is newer.
func (s *section[T]) with(prefix string, rows []table.Row, decode func(string, table.Row) (T, error)) *section[T] {
	next := s
	for _, row := range rows {
		name := row.Key[len(prefix):]
		if held, found := next.rows[name]; found && held.Revision >= row.Revision {
			continue
		}
		if next == s {
			next = s.clone()
		}
		next.set(name, row, decode)
	}
	if next != s {
		next.sorted = slices.Sorted(maps.Keys(next.items))
	}
	return next
}

func (s *section[T]) clone() *section[T] {
	next := &section[T]{rows: maps.Clone(s.rows), items: maps.Clone(s.items), broken: maps.Clone(s.broken)}
	if next.rows == nil {
		next.rows, next.items, next.broken = map[string]table.Row{}, map[string]T{}, map[string]string{}
	}
	return next
}

func (s *section[T]) set(name string, row table.Row, decode func(string, table.Row) (T, error)) {
	s.rows[name] = row
	delete(s.items, name)
	delete(s.broken, name)
	if isGone(row.Value) {
		return
	}
	item, err := decode(name, row)
	if err != nil {
		s.broken[name] = row.Key + ": " + err.Error()
		return
	}
	s.items[name] = item
}

// list returns the items sorted by name.
func (s *section[T]) list() []T {
	items := make([]T, len(s.sorted))
	for i, name := range s.sorted {
		items[i] = s.items[name]
	}
	return items
}

// appendAfter appends the raw rows written after the revision.
func (s *section[T]) appendAfter(rows []table.Row, revision int64) []table.Row {
	for _, row := range s.rows {
		if row.Revision > revision {
			rows = append(rows, row)
		}
	}
	return rows
}

func (s *section[T]) appendBroken(list []string) []string {
	for _, name := range slices.Sorted(maps.Keys(s.broken)) {
		list = append(list, s.broken[name])
	}
	return list
}

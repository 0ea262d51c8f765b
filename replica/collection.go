package replica

import (
	"maps"
	"slices"

	"magnoliahoist/table"
)

// collection contains the rows of one kind by name, which is the row's key without the prefix of the kind.
type collection[T any] struct {
	rows         map[string]table.Row // raw, tombstones included
	items        map[string]T         // decoded
	sortedNames  []string             // names of the items
	decodeErrors map[string]string    // of the rows that fail to decode, with the key
}

// withRows returns a copy of the collection with the rows applied. It returns the collection itself when none of the rows
// is newer.
func (c *collection[T]) withRows(prefix string, rows []table.Row, decode func(string, table.Row) (T, error)) *collection[T] {
	next := c
	for _, row := range rows {
		name := row.Key[len(prefix):]
		if held, found := next.rows[name]; found && held.Revision >= row.Revision {
			continue
		}
		if next == c {
			next = c.clone()
		}
		next.set(name, row, decode)
	}
	if next != c {
		next.sortedNames = slices.Sorted(maps.Keys(next.items))
	}
	return next
}

// clone returns a copy whose maps are never nil; sortedNames stays unset.
func (c *collection[T]) clone() *collection[T] {
	next := &collection[T]{rows: maps.Clone(c.rows), items: maps.Clone(c.items), decodeErrors: maps.Clone(c.decodeErrors)}
	if next.rows == nil {
		next.rows, next.items, next.decodeErrors = map[string]table.Row{}, map[string]T{}, map[string]string{}
	}
	return next
}

// set stores the row and its decoded value or decoding error.
func (c *collection[T]) set(name string, row table.Row, decode func(string, table.Row) (T, error)) {
	c.rows[name] = row
	delete(c.items, name)
	delete(c.decodeErrors, name)
	if isTombstone(row.Value) {
		return
	}
	item, err := decode(name, row)
	if err != nil {
		c.decodeErrors[name] = row.Key + ": " + err.Error()
		return
	}
	c.items[name] = item
}

// list returns the items sorted by name.
func (c *collection[T]) list() []T {
	items := make([]T, len(c.sortedNames))
	for i, name := range c.sortedNames {
		items[i] = c.items[name]
	}
	return items
}

// appendAfter appends the raw rows written after the revision.
func (c *collection[T]) appendAfter(rows []table.Row, revision int64) []table.Row {
	for _, row := range c.rows {
		if row.Revision > revision {
			rows = append(rows, row)
		}
	}
	return rows
}

// appendDecodeErrors appends the decoding errors sorted by name.
func (c *collection[T]) appendDecodeErrors(list []string) []string {
	for _, name := range slices.Sorted(maps.Keys(c.decodeErrors)) {
		list = append(list, c.decodeErrors[name])
	}
	return list
}

package replica

import "time"

// Source is the origin of a snapshot: FromTable or FromMember.
type Source interface{ isSource() }

// FromTable is the source of a snapshot that was read from the table service.
type FromTable struct{}

// FromMember is the source of a snapshot that another member returned.
type FromMember struct {
	ID              string
	TableContactAge time.Duration // negative: never
}

func (FromTable) isSource()  {}
func (FromMember) isSource() {}

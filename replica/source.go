package replica

import "time"

// Source says from whom a snapshot came.
type Source interface{ isSource() }

// FromTable marks a snapshot read from the table service.
type FromTable struct{}

// FromMember marks a snapshot that a member returned.
type FromMember struct {
	ID       string
	TableAge time.Duration // age of that member's last table contact; negative: never
}

func (FromTable) isSource()  {}
func (FromMember) isSource() {}

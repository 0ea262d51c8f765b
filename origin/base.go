package origin

import (
	"cmp"
	"maps"
	"slices"
)

// Base is the version of a pool at which streams begin that no record names. It changes only when it has been out of service for longer
// than Retention, so that none of its streams can be taken up any more.
type Base struct {
	Software string
	Term     int64 // one higher with each change
}

// Next returns the base that follows one: the version with the most endpoints, the first by its name if there are several. It returns
// false without endpoints.
func (b Base) Next(endpoints map[string]int) (Base, bool) {
	if len(endpoints) == 0 {
		return Base{}, false
	}
	names := slices.Sorted(maps.Keys(endpoints))
	software := slices.MaxFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(endpoints[x], endpoints[y]), cmp.Compare(y, x)) })
	return Base{Software: software, Term: b.Term + 1}, true
}

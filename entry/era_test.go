package entry

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEraNoted guards against a restored store that looks like one that was away: hosts say when its era has risen, once.
func TestEraNoted(t *testing.T) {
	f := newAccessFixture(t, 0)
	var noted [][2]int64
	f.access.onRestored = func(before, era int64) { noted = append(noted, [2]int64{before, era}) }
	read := func() {
		_, err := f.access.ReadAll(context.Background(), "op")
		qt.Assert(t, err, qt.IsNil)
	}
	read()
	f.ownStore.Restore(f.ownStore.Backup(), 0)
	read()
	read()
	qt.Check(t, noted, qt.DeepEquals, [][2]int64{{1, 2}})
	qt.Check(t, f.access.Era(), qt.Equals, int64(2))
}

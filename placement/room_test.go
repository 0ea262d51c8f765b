package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/pool"
)

// Guards against models that stay unreachable although spare replicas take
// the memory, and against unloads of the last replica where memory is short.
func TestPlanMakesRoom(t *testing.T) {
	for what, test := range map[string]struct {
		sizes    []int64
		replicas int
		holders  []int
	}{
		"second replica gives way":   {[]int64{60, 60}, 2, []int{1, 1}},
		"two second replicas":        {[]int64{45, 45, 90}, 2, []int{1, 1, 1}},
		"only replicas move":         {[]int64{40, 40, 90}, 1, []int{1, 1, 1}},
		"last replicas stay":         {[]int64{60, 60, 60}, 2, []int{1, 1, 0}},
		"too large for any endpoint": {[]int64{60, 200}, 2, []int{2, 0}},
	} {
		t.Run(what, func(t *testing.T) {
			w := newWorld(2, len(test.sizes), func(n int) int64 { return test.sizes[n] })
			all := w.pool.Models
			for n := range all {
				all[n].Replicas, all[n].Adapters = test.replicas, nil
			}
			for n := range all {
				w.pool.Models = append([]pool.Model(nil), all[:n+1]...)
				w.manager.SetPool(w.pool)
				for range 200 {
					w.run(t)
					for earlier := range n {
						qt.Assert(t, w.holders(current(all[earlier])) > 0, qt.IsTrue, qt.Commentf("model %d", earlier))
					}
				}
			}
			for n, model := range all {
				qt.Assert(t, w.holders(current(model)), qt.Equals, test.holders[n], qt.Commentf("model %d", n))
			}
		})
	}
}

package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/pool"
)

// Guards against models that stay unreachable while second replicas of others take the memory, and against unloading the last
// replica when memory is short.
func TestPlanEvictsForUnreachableModels(t *testing.T) {
	for name, test := range map[string]struct {
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
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(2, len(test.sizes), func(n int) int64 { return test.sizes[n] })
			all := sim.pool.Models
			for n := range all {
				all[n].Replicas, all[n].Adapters = test.replicas, nil
			}
			for n := range all {
				sim.pool.Models = append([]pool.Model(nil), all[:n+1]...)
				sim.manager.SetPool(sim.pool)
				for range 200 {
					sim.runSecond(t)
					for earlier := range n {
						qt.Assert(t, sim.holders(tableItem(all[earlier])) > 0, qt.IsTrue, qt.Commentf("model %d", earlier))
					}
				}
			}
			for n, model := range all {
				qt.Assert(t, sim.holders(tableItem(model)), qt.Equals, test.holders[n], qt.Commentf("model %d", n))
			}
		})
	}
}

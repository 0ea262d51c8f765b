package fakeengine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/document"
	"magnoliahoist/fakeengine"
	"magnoliahoist/fault"
)

// Guards against memory that is overcommitted, leaked or counted twice by concurrent orders.
func TestMemoryConcurrent(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	for name, checkFencingNumbers := range map[string]bool{"fenced": true, "not fenced": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := startEngine(t, fakeengine.Settings{CheckFencingNumbers: checkFencingNumbers, AdapterLoadTime: 1})
			e.Faults.Replace(fault.Faults{DoubleOrder: 20, LoseReply: 20, LateOrder: document.Duration(1)})
			var group sync.WaitGroup
			for worker := range uint64(8) {
				random := rand.New(rand.NewPCG(seed, worker))
				group.Go(func() {
					for i := range 30 {
						action := []string{"load", "unload"}[random.IntN(2)]
						e.sendOrder(action, fmt.Sprint("n", random.IntN(4)), fmt.Sprint(worker, "-", i), 1, 0, 20)
						e.send("/v1/completions", `{"model":"n0","prompt":"p"}`)
					}
				})
			}
			group.Wait()
			e.Faults.Replace(fault.Faults{})
			// Delayed copies of loads may still be carried out, so the unloads are repeated.
			round := 0
			waitUntil(c, func() bool {
				round++
				for i := range 4 {
					e.sendOrder("unload", fmt.Sprint("n", i), fmt.Sprint("end", round, "-", i), 2, 0, 0)
				}
				return e.MemoryUsage().Used == 50
			})
			report := e.LoadReport()
			c.Assert(report.Resident, qt.HasLen, 2)
			c.Assert(report.FreeMemory, qt.Equals, int64(50))
		})
	}
}

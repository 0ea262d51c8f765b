package system_test

import (
	"sync"
	"testing"

	"magnoliahoist/fault"
)

// maxFleets is the largest number of fleets that run at once; each has about a dozen processes.
const maxFleets = 4

var fleetSlots = make(chan struct{}, maxFleets)

// parallelFleet marks the test as parallel and waits until fewer than maxFleets other tests run that call it.
func parallelFleet(t *testing.T) {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// setFaults replaces the injected faults of several stand-ins.
func setFaults(t *testing.T, faults fault.Faults, standins ...*testProcess) {
	t.Helper()
	for _, s := range standins {
		setFault(t, s.address(), faults)
	}
}

// runConcurrently runs count calls of a function concurrently, with the numbers from 0, and waits for all of them.
func runConcurrently(count int, run func(i int)) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { run(i) })
	}
	group.Wait()
}

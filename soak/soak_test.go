package soak_test

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"magnoliahoist/platform/fakeplatform"
	"magnoliahoist/process"
	"magnoliahoist/soak"
)

var (
	seeds = flag.Int("seeds", 0, "number of seeds to run instead of the usual ones")
	first = flag.Uint64("first", 1, "first seed when -seeds is set")
	hosts = flag.Int("hosts", 0, "number of hosts instead of the usual 3; there are four endpoints for every three hosts")
	logs  = flag.String("logs", "", "directory for the hosts' logs of failed trials and of replaced processes")
)

const (
	// planLength is the time within which faults begin; afterRecovery is how long callers go on after every host has recovered.
	planLength    = 10 * time.Second
	afterRecovery = time.Second
	// recoveryTimeout is how long after the last fault every host must serve every kind of request again. Hosts rely on a lapsed
	// registration for 2 s, a lease takeover takes up to 5.6 s, and the machine is shared.
	recoveryTimeout = 15 * time.Second
	// maxPause is the longest time for which a process may be suspended while it shuts down.
	maxPause = 10 * time.Second
	// freshnessWindow is the time within which a host that no fault affects has learned of a change.
	freshnessWindow = 2 * time.Second
	// drainPeriod and recoveryTime have the values of the platform's settings drain_ms and contact_ms.
	drainPeriod  = 2 * time.Second
	recoveryTime = 3 * time.Second
)

// usualSeeds are the seeds that the tests run by default.
var usualSeeds = []uint64{1, 2}

// regressionSeeds are seeds that failed in the past, by cause. A change of NewPlan changes their faults.
var regressionSeeds = map[string]uint64{
	"keys relied on after a response that did not confirm the configuration":    300,
	"endpoint used after it left, because a stale host reported it":             21,
	"changes not in force after the store has come back from a backup":          46009,
	"keys relied on because unconfirmed hosts agreed on the state of the store": 2016,
}

// binary is the path of the program under test.
var binary string

// TestMain builds the binary for all tests.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.BuildAndRun("..", &binary, m.Run))
}

// TestSoak injects faults into hosts, endpoints and the store, and guards against every violation of the project's guarantees
// that callers and endpoints can observe.
func TestSoak(t *testing.T) {
	if *seeds > 0 {
		for n := range *seeds {
			seed := *first + uint64(n)
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
		}
		return
	}
	for _, seed := range usualSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
	for cause, seed := range regressionSeeds {
		t.Run(fmt.Sprint(cause, ", seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// TestSoakReleases guards against streams that are joined from two software versions, or refused without need, while engines of other versions
// join and leave and hosts are killed, stopped, suspended and cut off.
func TestSoakReleases(t *testing.T) {
	for n := range max(*seeds, len(usualSeeds)) {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runPlan(t, seed, func(sizes soak.Sizes) []soak.Step { return soak.NewReleasePlan(seed, sizes, planLength) }, true)
		})
	}
}

// runSeed runs the plan of a seed.
func runSeed(t *testing.T, seed uint64) {
	runPlan(t, seed, func(sizes soak.Sizes) []soak.Step { return soak.NewPlan(seed, sizes, planLength) }, false)
}

// runPlan runs a plan against a new deployment, in which callers take up streams if takeUp is set, and checks the guarantees.
func runPlan(t *testing.T, seed uint64, plan func(soak.Sizes) []soak.Step, takeUp bool) {
	t.Parallel()
	sizes := usualSizes
	if *hosts > 0 {
		sizes = soak.Sizes{Hosts: *hosts, Engines: 2 * *hosts / 3, Services: 2 * *hosts / 3, Endpoints: 2 * (2 * *hosts / 3)}
	}
	steps := plan(sizes)
	delay := responseDelay
	if takeUp {
		delay = longResponseDelay
	}
	d := newDeployment(t, sizes, delay)
	callers := d.startCallers(seed, takeUp)
	var activeSteps sync.WaitGroup
	for _, s := range steps {
		activeSteps.Go(func() { d.runStep(s) })
	}
	activeSteps.Wait()
	d.clearFaults()
	recoveryExchanges := d.checkRecovery(seed)
	time.Sleep(afterRecovery)
	for _, h := range d.hosts {
		d.checkRunning(h)
	}
	trial := soak.Trial{
		Guarantees: soak.Guarantees{
			EventsPerStream: eventsPerStream, LimitedRate: limitedRate, LimitedBurst: limitedBurst, LimitedTokensPerCall: limitedTokensPerCall, LimitedKey: limitedKey,
			CallerTimeout: callerTimeout, WithdrawnKey: "k2", FreshnessWindow: freshnessWindow, TrustPeriod: trustPeriod, MinOrderGap: handoverGap,
			DrainPeriod: drainPeriod, RecoveryTime: recoveryTime,
		},
		Exchanges: append(recoveryExchanges, callers.stop()...), StartedAt: d.startedAt, WithdrawnAt: d.withdrawnAt, Steps: steps,
	}
	trial.Endpoints = d.histories()
	violations := append(trial.Violations(), d.violations...)
	t.Log(summary(trial.Exchanges))
	t.Log(trial.DescribeVersions())
	if !qt.Check(t, violations, qt.HasLen, 0) {
		for _, s := range steps {
			t.Log(s)
		}
		for _, h := range d.hosts {
			d.saveLog(h.currentProcess())
		}
	}
}

// checkRecovery checks that every host serves every kind of request again, and returns the requests that it sent with the responses.
func (d *deployment) checkRecovery(seed uint64) []soak.Exchange {
	var checks sync.WaitGroup
	var callers []*caller
	for n := range d.hosts {
		c := d.newCaller(n, callersPerHost, seed)
		callers = append(callers, c)
		checks.Go(func() {
			end := time.Now().Add(recoveryTimeout)
			for _, kind := range requestKinds {
				d.awaitRequestServed(c, kind, end)
			}
		})
	}
	checks.Wait()
	var exchanges []soak.Exchange
	for _, c := range callers {
		exchanges = append(exchanges, c.exchanges...)
	}
	return exchanges
}

// awaitRequestServed repeats a request until the host serves it or the end is reached.
func (d *deployment) awaitRequestServed(c *caller, request fakeplatform.Request, end time.Time) {
	request.Key = "k1"
	for {
		e := c.send(request)
		if e.Status == 200 && e.Complete {
			return
		}
		if time.Now().After(end) {
			d.reportViolation("host %d does not serve path %s, model %q %v after the last fault: status %d, body %.100q", c.host, request.Path, request.Model, recoveryTimeout, e.Status, e.ResponseBody)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// summary returns the number of requests and counts the responses by status; status 0 stands for no response.
func summary(exchanges []soak.Exchange) string {
	counts := map[int]int{}
	for _, e := range exchanges {
		counts[e.Status]++
	}
	return fmt.Sprintf("%d requests, responses by status %v", len(exchanges), counts)
}

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
	seeds = flag.Int("seeds", 0, "number of seeds to play in place of the usual ones")
	first = flag.Uint64("first", 1, "first of these seeds")
	hosts = flag.Int("hosts", 0, "number of hosts in place of the usual one; endpoints are a third more")
	logs  = flag.String("logs", "", "directory for the logs of plays that fail")
)

const (
	// playLength is the time within which faults begin; playTail that which callers go on after the last one.
	playLength = 10 * time.Second
	playTail   = time.Second
	// recoverLimit is how long after all faults every host must serve every kind of request again. Registrations that
	// lapsed are believed for 2 s, a lease takes up to 5.6 s to change hands, and the machine is shared.
	recoverLimit = 15 * time.Second
	// mostPause is how long a process can be frozen while it stops.
	mostPause = 10 * time.Second
	// inTouch is the bound on a change for a host that nothing disturbs.
	inTouch = 2 * time.Second
	// drain and contact are drain_ms and contact_ms of the platform.
	drain   = 2 * time.Second
	contact = 3 * time.Second
)

// usual are the seeds of each run of the tests.
var usual = []uint64{1, 2}

// regressions are the seeds that failed once, by the cause. A change of NewPlan changes what they play.
var regressions = map[string]uint64{
	"keys relied on after an answer that was no proof":               300,
	"endpoint used after it left, told of by an outdated host":       21,
	"keys relied on because hosts without proof agreed on the store": 2016,
}

// binary is the path of the program under test.
var binary string

// TestMain builds the binary once.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.Main("..", &binary, m.Run))
}

// TestSoak plays faults against hosts, endpoints and the store, and guards against every promise of the project that
// callers and endpoints can see broken.
func TestSoak(t *testing.T) {
	if *seeds > 0 {
		for n := range *seeds {
			seed := *first + uint64(n)
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSeed(t, seed) })
		}
		return
	}
	for _, seed := range usual {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSeed(t, seed) })
	}
	for cause, seed := range regressions {
		t.Run(fmt.Sprint(cause, ", seed ", seed), func(t *testing.T) { playSeed(t, seed) })
	}
}

func playSeed(t *testing.T, seed uint64) {
	t.Parallel()
	sizes := usualSizes
	if *hosts > 0 {
		sizes = soak.Sizes{Hosts: *hosts, Engines: 2 * *hosts / 3, Services: 2 * *hosts / 3, Endpoints: 2 * (2 * *hosts / 3)}
	}
	steps := soak.NewPlan(seed, sizes, playLength)
	w := newWorld(t, sizes)
	crowd := w.newCrowd(seed)
	var playing sync.WaitGroup
	for _, s := range steps {
		playing.Go(func() { w.play(s) })
	}
	playing.Wait()
	w.mend()
	asked := w.recover(seed)
	time.Sleep(playTail)
	for _, h := range w.hosts {
		w.checkRuns(h)
	}
	play := soak.Play{
		Promises: soak.Promises{
			Events: events, Rate: limitedRate, Burst: limitedBurst, Cost: limitedCost, Limited: limitedKey,
			Patience: patience, Withdrawn: "k2", InTouch: inTouch, Trust: trust, Lease: lease,
			Drain: drain, Contact: contact,
		},
		Asked: append(asked, crowd.stop()...), Began: w.started, Acked: w.acked, Steps: steps,
	}
	play.Endpoints = w.histories()
	broken := append(play.Judge(), w.findings...)
	t.Log(summary(play.Asked))
	if !qt.Check(t, broken, qt.HasLen, 0) {
		for _, s := range steps {
			t.Log(s)
		}
		for _, h := range w.hosts {
			w.keepLog(h.current())
		}
	}
}

// recover checks that every host serves every kind of request again, and returns what was asked for that.
func (w *world) recover(seed uint64) []soak.Asked {
	var waiting sync.WaitGroup
	var callers []*caller
	for n := range w.hosts {
		c := w.newCaller(n, callersPerHost, seed)
		callers = append(callers, c)
		waiting.Go(func() {
			end := time.Now().Add(recoverLimit)
			for _, kind := range kinds {
				w.recoverKind(c, kind, end)
			}
		})
	}
	waiting.Wait()
	var asked []soak.Asked
	for _, c := range callers {
		asked = append(asked, c.asked...)
	}
	return asked
}

func (w *world) recoverKind(c *caller, kind fakeplatform.Request, end time.Time) {
	kind.Key = "k1"
	for {
		a := c.ask(kind)
		if a.Status == 200 && a.Whole {
			return
		}
		if time.Now().After(end) {
			w.find("host %d does not serve %s %s %v after the last fault: status %d, %.100q", c.host, kind.Path, kind.Model, recoverLimit, a.Status, a.Answer)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// summary counts the answers by their status.
func summary(asked []soak.Asked) string {
	counts := map[int]int{}
	for _, a := range asked {
		counts[a.Status]++
	}
	return fmt.Sprintf("%d requests, answers by status %v", len(asked), counts)
}

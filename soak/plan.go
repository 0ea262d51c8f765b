// Package soak injects faults into the real programs, run as separate processes on one machine, and checks the project's
// guarantees against what callers and endpoints observe.
//
// A plan is drawn from a seed: the same seed gives the same faults at the same times. The timing that the operating
// system's scheduler adds is not reproducible.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Sizes are the numbers of processes in the deployment that a plan is for.
type Sizes struct {
	Hosts     int
	Engines   int
	Services  int
	Endpoints int // engines and services; engines have the lower numbers
}

// Step is a fault or an operator's action that begins At after the start of the trial and lasts For.
type Step struct {
	At  time.Duration
	For time.Duration
	Act Act
}

// End returns the time since the start of the trial at which the step ends.
func (s Step) End() time.Duration { return s.At + s.For }

func (s Step) String() string { return fmt.Sprintf("%v for %v: %T%+v", s.At, s.For, s.Act, s.Act) }

// Act is the fault or operator's action of a step.
type Act interface{ isAct() }

// KillHost kills a host's process with SIGKILL and starts a new one at the end of the step.
type KillHost struct{ Host int }

// StopHost asks a host to shut down with SIGTERM and starts a new process once the old one has ended.
type StopHost struct{ Host int }

// PauseHost suspends a host's process.
type PauseHost struct{ Host int }

// PauseEndpoint suspends an endpoint's process.
type PauseEndpoint struct{ Endpoint int }

// HangUpHost sends SIGHUP to a host, which reloads its settings.
type HangUpHost struct{ Host int }

// Disturb applies a network fault to a link.
type Disturb struct {
	Link    Link
	Index   int // of the host or endpoint
	Trouble Trouble
}

// Isolate cuts all links between hosts and all links from hosts to the store. The operator still reaches the store.
type Isolate struct{}

// FailStore injects a fault into the store.
type FailStore struct{ Failure Failure }

// FailEndpoint injects a fault into an endpoint.
type FailEndpoint struct {
	Endpoint int
	Failure  Failure
}

// LeaveEndpoint has an endpoint announce that it leaves; at the end of the step it starts again under the same ID.
type LeaveEndpoint struct{ Endpoint int }

// RestoreStore makes the store come back from a copy that it makes when the step begins. The operator then writes the newest
// configuration again.
type RestoreStore struct{}

// Withdraw removes an API key from the configuration.
type Withdraw struct{}

// Reconfigure writes a new version of the configuration that changes nothing for callers.
type Reconfigure struct{}

func (KillHost) isAct()      {}
func (StopHost) isAct()      {}
func (PauseHost) isAct()     {}
func (PauseEndpoint) isAct() {}
func (HangUpHost) isAct()    {}
func (Disturb) isAct()       {}
func (Isolate) isAct()       {}
func (FailStore) isAct()     {}
func (RestoreStore) isAct()  {}
func (FailEndpoint) isAct()  {}
func (LeaveEndpoint) isAct() {}
func (Withdraw) isAct()      {}
func (Reconfigure) isAct()   {}

// Link is a kind of network link that passes through a proxy.
type Link int

//go:generate go tool stringer -type=Link,Trouble,Failure -output=kind_string.go

// Kinds of links.
const (
	StoreLink    Link = iota // from a host to the store
	PeerLink                 // from the other hosts to a host
	EndpointLink             // from all hosts to an endpoint
	links                    // number of kinds
)

// Failure is a fault inside a stand-in for the store or an endpoint, as opposed to one of its links.
type Failure int

// Failures. Those without a note apply to the store and to endpoints.
const (
	Down        Failure = iota // connections are closed without a response
	Slow                       // each request is delayed before it is carried out
	LoseReplies                // the request is carried out, then the connection is closed without a response
	LateWrites                 // store only: writes are carried out after the connection was closed
	Compact                    // store only: the history of changes is discarded
	CutStreams                 // endpoints only: the connection is closed in the middle of a stream
	SwapReplies                // endpoints only: responses are swapped between requests
	Full                       // endpoints only: requests are refused as not run
	LateOrders                 // engines only: orders are carried out after the connection was closed
	Rest                       // endpoints only: requests are refused as not run, and none are wanted for restTime
)

var storeFailures = []Failure{Down, Slow, LoseReplies, LateWrites, Compact}
var endpointFailures = []Failure{Down, Slow, LoseReplies, CutStreams, SwapReplies, Full, LateOrders}

const (
	minSteps = 8
	maxSteps = 18
	// isolationProbability is the probability that a plan isolates all hosts, for isolationDuration: longer than hosts rely on keys
	// without contact with the store.
	isolationProbability = 0.1
	isolationDuration    = 15 * time.Second
	// minFaultDuration and maxFaultDuration bound the duration of a fault; the maximum is above the time after which another host takes
	// over a lease.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	// At most maxLeaves endpoints leave in a trial, each for minLeaveDuration to maxLeaveDuration: longer than hosts may still send requests to them.
	maxLeaves        = 4
	minLeaveDuration = 3 * time.Second
	maxLeaveDuration = 6 * time.Second
	// At most maxRests endpoints ask for rest in a trial; each refuses for restDuration.
	maxRests     = 2
	restDuration = time.Second
	// The store is restored at most maxRestorations times in a trial, from a copy that is minBackupAge to maxBackupAge old.
	maxRestorations = 3
	minBackupAge    = 500 * time.Millisecond
	maxBackupAge    = 8 * time.Second
	// restorationOnlyProbability is the probability that a plan has only one restoration and two killed hosts: other faults would
	// excuse a host that learns of changes late.
	restorationOnlyProbability = 0.2
	// silentStoreProbability is the probability that one host loses contact with the store around an endpoint's leaving, beginning
	// silentStoreLead before it.
	silentStoreProbability = 0.5
	silentStoreLead        = 300 * time.Millisecond
	// leavesOnlyProbability is the probability that a plan has no faults besides leaving endpoints and hosts without the store: other faults
	// would excuse a host that learns late that an endpoint leaves.
	leavesOnlyProbability = 0.15
)

// NewPlan draws the steps of a trial, sorted by their start. They begin within the given length, may overlap, and include the withdrawal of one key.
func NewPlan(seed uint64, sizes Sizes, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	if r.Float64() < isolationProbability {
		start := randomDuration(r, 0, time.Second)
		return []Step{{At: start, For: isolationDuration, Act: Isolate{}}, {At: start + randomDuration(r, time.Second/2, time.Second), Act: Withdraw{}}}
	}
	restorations, restorationOnly := drawRestorations(seed, sizes, length)
	if restorationOnly {
		return sortByTime(restorations)
	}
	steps := []Step{{At: randomDuration(r, length/8, length/2), Act: Withdraw{}}}
	leaves, leavesOnly := drawLeaves(seed, sizes, length)
	if leavesOnly {
		return sortByTime(append(steps, leaves...))
	}
	for range minSteps + r.IntN(maxSteps-minSteps+1) {
		steps = append(steps, Step{At: randomDuration(r, 0, length), For: randomDuration(r, minFaultDuration, maxFaultDuration), Act: drawAct(r, sizes)})
	}
	steps = append(append(steps, leaves...), drawRests(seed, sizes, length)...)
	return sortByTime(append(steps, restorations...))
}

// drawRestorations draws the restorations of the store, which may overlap; only is true when the plan has no other faults besides
// two killed hosts, one of which may have become the lease holder after the backup. It has its own random source, like drawLeaves.
func drawRestorations(seed uint64, sizes Sizes, length time.Duration) (steps []Step, only bool) {
	r := rand.New(rand.NewPCG(seed, 4))
	if r.Float64() < restorationOnlyProbability {
		backup, age := randomDuration(r, 0, length/4), randomDuration(r, maxBackupAge/2, maxBackupAge)
		restored := backup + age
		first := r.IntN(sizes.Hosts)
		second := (first + 1 + r.IntN(sizes.Hosts-1)) % sizes.Hosts
		return []Step{
			{At: backup, For: age, Act: RestoreStore{}},
			{At: backup + randomDuration(r, 0, time.Second/2), For: maxFaultDuration, Act: KillHost{first}},
			{At: restored - randomDuration(r, time.Second/10, time.Second/2), For: maxFaultDuration, Act: KillHost{second}},
			{At: restored + randomDuration(r, time.Second, 2*time.Second), Act: Withdraw{}},
		}, true
	}
	for range r.IntN(maxRestorations + 1) {
		steps = append(steps, Step{At: randomDuration(r, 0, length), For: randomDuration(r, minBackupAge, maxBackupAge), Act: RestoreStore{}})
	}
	return steps, false
}

// drawRests draws the endpoints that ask for rest. It has its own random source, like drawLeaves.
func drawRests(seed uint64, sizes Sizes, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 3))
	var steps []Step
	for range r.IntN(maxRests + 1) {
		at := randomDuration(r, 0, length)
		steps = append(steps, Step{At: at, For: restDuration, Act: FailEndpoint{r.IntN(sizes.Endpoints), Rest}})
	}
	return steps
}

// randomDuration draws a duration from the shortest to the longest, rounded to milliseconds.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return (shortest + time.Duration(r.Int64N(int64(longest-shortest)))).Round(time.Millisecond)
}

// sortByTime sorts steps by their start, in place.
func sortByTime(steps []Step) []Step {
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawLeaves draws the services that leave and the hosts that have no contact with the store meanwhile; leavesOnly is true when the plan
// has no other faults. It has its own random source, so that it does not change the other steps of a seed.
func drawLeaves(seed uint64, sizes Sizes, length time.Duration) (steps []Step, leavesOnly bool) {
	r := rand.New(rand.NewPCG(seed, 2))
	minLeaves, silentProbability := 0, silentStoreProbability
	if leavesOnly = r.Float64() < leavesOnlyProbability; leavesOnly {
		minLeaves, silentProbability = 1, 1
	}
	for range minLeaves + r.IntN(maxLeaves+1-minLeaves) {
		at, duration := randomDuration(r, silentStoreLead, silentStoreLead+length), randomDuration(r, minLeaveDuration, maxLeaveDuration)
		steps = append(steps, Step{At: at, For: duration, Act: LeaveEndpoint{sizes.Engines + r.IntN(sizes.Services)}})
		if r.Float64() < silentProbability {
			steps = append(steps, Step{At: at - silentStoreLead, For: duration, Act: Disturb{StoreLink, r.IntN(sizes.Hosts), Silent}})
		}
	}
	return steps, leavesOnly
}

// drawAct draws a fault or an operator's action.
func drawAct(r *rand.Rand, sizes Sizes) Act {
	host, endpoint := r.IntN(sizes.Hosts), r.IntN(sizes.Endpoints)
	switch r.IntN(13) {
	case 0:
		return KillHost{host}
	case 1, 2:
		return StopHost{host}
	case 3, 4:
		return PauseHost{host}
	case 5:
		return PauseEndpoint{endpoint}
	case 6:
		return HangUpHost{host}
	case 7:
		return FailStore{storeFailures[r.IntN(len(storeFailures))]}
	case 8, 9:
		return FailEndpoint{endpoint, endpointFailures[r.IntN(len(endpointFailures))]}
	case 10:
		return Reconfigure{}
	default:
		link := Link(r.IntN(int(links)))
		index := host
		if link == EndpointLink {
			index = endpoint
		}
		return Disturb{link, index, Trouble(r.IntN(int(troubles)))}
	}
}

// MayMakeStale reports whether the step may keep the given host from learning of changes, alone or with all other hosts.
func (s Step) MayMakeStale(host int) bool {
	switch a := s.Act.(type) {
	case KillHost:
		return a.Host == host
	case StopHost:
		return a.Host == host
	case PauseHost:
		return a.Host == host
	case Disturb:
		return a.Link == StoreLink && a.Index == host || a.Link == PeerLink
	case FailStore, Isolate:
		return true
	default:
		return false
	}
}

// Package soak plays faults against the real programs, run as separate processes on one machine, and checks what the
// project promises from what callers and endpoints see.
//
// A plan is drawn from a seed: the same seed gives the same faults at the same times. What the machine's scheduler
// adds is not repeatable.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Sizes of the deployment that a plan is for.
type Sizes struct {
	Hosts     int
	Engines   int
	Services  int
	Endpoints int // engines, then services
}

// Step is a fault that lasts from At for a time.
type Step struct {
	At  time.Duration
	For time.Duration
	Act Act
}

// End returns when the step is over.
func (s Step) End() time.Duration { return s.At + s.For }

func (s Step) String() string { return fmt.Sprintf("%v for %v: %T%+v", s.At, s.For, s.Act, s.Act) }

// Act is what a step does.
type Act interface{ isAct() }

// KillHost ends a host's process at once and starts another in its place.
type KillHost struct{ Host int }

// StopHost asks a host to stop and starts another in its place once it has ended.
type StopHost struct{ Host int }

// PauseHost freezes a host's process.
type PauseHost struct{ Host int }

// PauseEndpoint freezes an endpoint's process.
type PauseEndpoint struct{ Endpoint int }

// HangUpHost sends a host the signal to load its settings.
type HangUpHost struct{ Host int }

// Disturb puts a trouble on a link.
type Disturb struct {
	Link    Link
	Index   int // of the host or endpoint
	Trouble Trouble
}

// Isolate silences all links between hosts, and those from all hosts to the store. The operator still reaches it.
type Isolate struct{}

// FailStore makes the store fail.
type FailStore struct{ Failure Failure }

// FailEndpoint makes an endpoint fail.
type FailEndpoint struct {
	Endpoint int
	Failure  Failure
}

// LeaveEndpoint has an endpoint say that it leaves; at the end of the step it starts anew under its id.
type LeaveEndpoint struct{ Endpoint int }

// Withdraw takes a key away.
type Withdraw struct{}

// Reconfigure writes a version of the configuration that changes nothing for callers.
type Reconfigure struct{}

func (KillHost) isAct()      {}
func (StopHost) isAct()      {}
func (PauseHost) isAct()     {}
func (PauseEndpoint) isAct() {}
func (HangUpHost) isAct()    {}
func (Disturb) isAct()       {}
func (Isolate) isAct()       {}
func (FailStore) isAct()     {}
func (FailEndpoint) isAct()  {}
func (LeaveEndpoint) isAct() {}
func (Withdraw) isAct()      {}
func (Reconfigure) isAct()   {}

// Link names the links that proxies stand in.
type Link int

//go:generate go tool stringer -type=Link,Trouble,Failure -output=kind_string.go

// Links: from a host to the store, from other hosts to a host, from hosts to an endpoint.
const (
	StoreLink Link = iota
	PeerLink
	EndpointLink
	links
)

// Failure is how a stand-in fails by itself.
type Failure int

// Failures. The first ones are for the store and for endpoints, the rest for one of them.
const (
	Down Failure = iota // connections are closed without an answer
	Slow
	LoseReplies // carried out, then the connection is closed
	LateWrites  // of the store: carried out after the connection was closed
	Compact     // of the store: the history is gone
	CutStreams  // of an endpoint
	SwapReplies // of an endpoint: answers belong to other requests
	Full        // of an endpoint
	LateOrders  // of an engine: carried out after the connection was closed
)

var storeFailures = []Failure{Down, Slow, LoseReplies, LateWrites, Compact}
var endpointFailures = []Failure{Down, Slow, LoseReplies, CutStreams, SwapReplies, Full, LateOrders}

const (
	leastSteps = 8
	mostSteps  = 18
	// isolatedShare of the plays isolate all hosts for isolatedFor, longer than hosts rely on keys without contact.
	isolatedShare = 0.1
	isolatedFor   = 15 * time.Second
	// leastFor and mostFor bound the time of a fault; the longest is above the time after which another host takes a
	// lease over.
	leastFor = 300 * time.Millisecond
	mostFor  = 5 * time.Second
	// mostLeaves endpoints leave in a play, each for leastLeft to mostLeft: longer than hosts may go on to use them.
	mostLeaves = 4
	leastLeft  = 3 * time.Second
	mostLeft   = 6 * time.Second
	// silentShare of the departures come while one host is without the store, since silentBefore.
	silentShare  = 0.5
	silentBefore = 300 * time.Millisecond
	// calmShare of the plays have no other faults, which would excuse hosts that learn late.
	calmShare = 0.15
)

// NewPlan draws the faults of a play: they begin within the length, overlap, and include one key that is withdrawn.
func NewPlan(seed uint64, sizes Sizes, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	between := func(least, most time.Duration) time.Duration {
		return (least + time.Duration(r.Int64N(int64(most-least)))).Round(time.Millisecond)
	}
	if r.Float64() < isolatedShare {
		start := between(0, time.Second)
		return []Step{{At: start, For: isolatedFor, Act: Isolate{}}, {At: start + between(time.Second/2, time.Second), Act: Withdraw{}}}
	}
	steps := []Step{{At: between(length/8, length/2), Act: Withdraw{}}}
	leaves, calm := drawLeaves(seed, sizes, length)
	if calm {
		return sorted(append(steps, leaves...))
	}
	for range leastSteps + r.IntN(mostSteps-leastSteps+1) {
		steps = append(steps, Step{At: between(0, length), For: between(leastFor, mostFor), Act: drawAct(r, sizes)})
	}
	return sorted(append(steps, leaves...))
}

func sorted(steps []Step) []Step {
	slices.SortFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

// drawLeaves draws the plain services that leave, and hosts that are without the store meanwhile; calm says that the play
// has no other faults. It has its own numbers, so that the other steps of a seed stay.
func drawLeaves(seed uint64, sizes Sizes, length time.Duration) (steps []Step, calm bool) {
	r := rand.New(rand.NewPCG(seed, 2))
	least, share := 0, silentShare
	if calm = r.Float64() < calmShare; calm {
		least, share = 1, 1
	}
	for range least + r.IntN(mostLeaves+1-least) {
		at, left := silentBefore+time.Duration(r.Int64N(int64(length))), leastLeft+time.Duration(r.Int64N(int64(mostLeft-leastLeft)))
		at, left = at.Round(time.Millisecond), left.Round(time.Millisecond)
		steps = append(steps, Step{At: at, For: left, Act: LeaveEndpoint{sizes.Engines + r.IntN(sizes.Services)}})
		if r.Float64() < share {
			steps = append(steps, Step{At: at - silentBefore, For: left, Act: Disturb{StoreLink, r.IntN(sizes.Hosts), Silent}})
		}
	}
	return steps, calm
}

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

// Touches reports whether a step may keep a host from learning of changes, or the whole deployment.
func (s Step) Touches(host int) bool {
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

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Release starts engines of a newer software version with a number. They leave at the end of the step.
type Release struct{ Version int }

func (Release) isAct() {}

const (
	// minReleaseDuration and maxReleaseDuration bound how long the engines of a release are in service.
	minReleaseDuration = 2 * time.Second
	maxReleaseDuration = 7 * time.Second
	// maxReleases is the largest number of releases of a plan; minHostFaults and maxHostFaults bound the number of further steps.
	maxReleases   = 3
	minHostFaults = 3
	maxHostFaults = 9
	// herdKillProbability is the probability that a plan kills all hosts at once.
	herdKillProbability = 0.4
	herdKillDuration    = 500 * time.Millisecond
)

// NewReleasePlan draws the steps of a trial in which engines of other software versions join and leave while hosts are killed, stopped,
// suspended and cut off. The store and the endpoints have no faults.
func NewReleasePlan(seed uint64, sizes Sizes, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 5))
	var steps []Step
	for n := range 1 + r.IntN(maxReleases) {
		steps = append(steps, Step{At: randomDuration(r, 0, length), For: randomDuration(r, minReleaseDuration, maxReleaseDuration), Act: Release{Version: n + 2}})
	}
	for range minHostFaults + r.IntN(maxHostFaults-minHostFaults+1) {
		s := Step{At: randomDuration(r, 0, length), For: randomDuration(r, minFaultDuration, maxFaultDuration)}
		host := r.IntN(sizes.Hosts)
		switch r.IntN(5) {
		case 0, 1:
			s.Act = KillHost{host}
		case 2:
			s.Act = StopHost{host}
		case 3:
			s.Act = PauseHost{host}
		default:
			s.Act = Disturb{StoreLink, host, Silent}
			steps = append(steps, Step{At: s.At, For: s.For, Act: Disturb{PeerLink, host, Silent}})
		}
		steps = append(steps, s)
	}
	if r.Float64() < herdKillProbability {
		at := randomDuration(r, 0, length)
		for host := range sizes.Hosts {
			steps = append(steps, Step{At: at, For: herdKillDuration, Act: KillHost{host}})
		}
	}
	return sortByTime(steps)
}

const (
	// maxJoined is how many streams may hold events of two software versions.
	maxJoined = 2
	// minTakenUp is how many streams must be taken up for the share of those that go on to be judged.
	minTakenUp = 12
)

// checkVersions checks that streams don't hold events of two software versions, and that those which callers take up at hosts in touch go on at
// least half as often as new ones begin while engines of their version are in service.
func (t Trial) checkVersions(report reportFunc) {
	v := t.versionCounts()
	if v.joined > maxJoined {
		report("%d streams hold events of engines of two software versions, %d are allowed", v.joined, maxJoined)
	}
	if v.goneOn.all >= minTakenUp && v.goneOn.of() < v.began.of()/2 {
		report("%d of %d streams that were taken up at hosts in touch went on, and %d of %d new ones began", v.goneOn.done, v.goneOn.all, v.began.done, v.began.all)
	}
}

// DescribeVersions returns what checkVersions has judged.
func (t Trial) DescribeVersions() string {
	v := t.versionCounts()
	return fmt.Sprintf("%d of %d new streams began, %d of %d that were taken up at hosts in touch went on, %d joined", v.began.done, v.began.all, v.goneOn.done, v.goneOn.all, v.joined)
}

// versionCounts are what checkVersions judges: the streams that began and went on, of those at hosts in touch, and all that were joined.
type versionCounts struct {
	began, goneOn share
	joined        int
}

func (t Trial) versionCounts() versionCounts {
	var v versionCounts
	byID := map[string]Exchange{}
	for _, e := range t.Exchanges {
		byID[e.ID] = e
	}
	for _, e := range t.Exchanges {
		if e.Route != "free" {
			continue
		}
		inTouch := !t.mayBeStale(e.Host, e.SentAt-t.Guarantees.RecoveryTime, e.EndedAt)
		if e.Resumes == "" {
			v.began.count(inTouch, e.hasEvents())
			continue
		}
		first := byID[e.Resumes]
		versions := slices.Compact(append(first.softwareVersions(), e.softwareVersions()...))
		if len(versions) > 1 {
			v.joined++
		}
		v.goneOn.count(inTouch && t.inService(versions[0], e.SentAt, e.EndedAt), e.hasEvents())
	}
	return v
}

// share counts how many of all were done.
type share struct{ done, all int }

func (s *share) count(counts, done bool) {
	if counts {
		s.all++
		if done {
			s.done++
		}
	}
}

func (s share) of() float64 { return float64(s.done) / float64(max(s.all, 1)) }

// inService reports whether engines of a software version, as it is named in events, were in service in the whole period between two times. They
// count as joined once hosts must have learned of them.
func (t Trial) inService(version string, from, to time.Duration) bool {
	if version == FirstVersion {
		return true
	}
	return slices.ContainsFunc(t.Steps, func(s Step) bool {
		release, isRelease := s.Act.(Release)
		return isRelease && VersionName(release.Version) == version && s.At+t.Guarantees.FreshnessWindow <= from && s.End() > to
	})
}

// FirstVersion is the software version of the engines that are in service from the start.
const FirstVersion = "v1"

// VersionName returns the software version of a release.
func VersionName(number int) string { return "v" + string(rune('0'+number)) }

// hasEvents reports whether an exchange has received an event.
func (e Exchange) hasEvents() bool { return len(e.softwareVersions()) > 0 }

// softwareVersions returns the versions that the complete events of a stream name, in their order, without repetitions in a row.
func (e Exchange) softwareVersions() []string {
	var versions []string
	body := e.ResponseBody[:strings.LastIndex("\n\n"+e.ResponseBody, "\n\n")]
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		if _, version, found := strings.Cut(strings.TrimSpace(line), " by "); found {
			versions = append(versions, version)
		}
	}
	return slices.Compact(versions)
}

package origin

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Sighting says how long ago an endpoint of a version was last in service; 0 if one is now.
type Sighting struct {
	Version Version
	Age     time.Duration
}

// Service says which versions are in service and which were until lately. It is not safe for concurrent use.
type Service struct {
	present  map[Version]bool
	lastSeen map[Version]time.Duration // of versions that are not present
}

// NewService returns a service without versions.
func NewService() *Service {
	return &Service{present: map[Version]bool{}, lastSeen: map[Version]time.Duration{}}
}

// Observe records the versions of all registered endpoints.
func (s *Service) Observe(now time.Duration, versions map[Version]bool) {
	for v := range s.present {
		if !versions[v] {
			s.lastSeen[v] = now
		}
	}
	s.present = maps.Clone(versions)
	maps.DeleteFunc(s.lastSeen, func(v Version, at time.Duration) bool { return versions[v] || now-at > Retention })
}

// Recall adds sightings from before this process started.
func (s *Service) Recall(now time.Duration, sightings []Sighting) {
	for _, seen := range sightings {
		if at, known := s.lastSeen[seen.Version]; !s.present[seen.Version] && (!known || at < now-seen.Age) {
			s.lastSeen[seen.Version] = now - seen.Age
		}
	}
}

// Sightings returns the versions that were in service within Retention, in the order of their names.
func (s *Service) Sightings(now time.Duration) []Sighting {
	var list []Sighting
	for v := range s.present {
		list = append(list, Sighting{Version: v})
	}
	for v, at := range s.lastSeen {
		if now-at <= Retention && !s.present[v] {
			list = append(list, Sighting{Version: v, Age: now - at})
		}
	}
	slices.SortFunc(list, func(a, b Sighting) int {
		return strings.Compare(a.Version.Pool+"\x00"+a.Version.Software, b.Version.Pool+"\x00"+b.Version.Software)
	})
	return list
}

// Only returns the version of a pool if no other one was in service within Retention.
func (s *Service) Only(now time.Duration, pool string) (Version, bool) {
	var only Version
	count := 0
	for _, seen := range s.Sightings(now) {
		if seen.Version.Pool == pool {
			only = seen.Version
			count++
		}
	}
	return only, count == 1
}

// Mixed returns the sightings of the pools that had several versions in service within Retention.
func (s *Service) Mixed(now time.Duration) []Sighting {
	sightings := s.Sightings(now)
	count := map[string]int{}
	for _, seen := range sightings {
		count[seen.Version.Pool]++
	}
	return slices.DeleteFunc(sightings, func(seen Sighting) bool { return count[seen.Version.Pool] < 2 })
}

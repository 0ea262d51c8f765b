package origin

import (
	"cmp"
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

// recent returns the versions that were in service within Retention.
func (s *Service) recent(now time.Duration) []Sighting {
	var list []Sighting
	for v := range s.present {
		list = append(list, Sighting{Version: v})
	}
	for v, at := range s.lastSeen {
		if now-at <= Retention && !s.present[v] {
			list = append(list, Sighting{Version: v, Age: now - at})
		}
	}
	return list
}

// Only returns the version of a pool if no other one was in service within Retention.
func (s *Service) Only(now time.Duration, pool string) (Version, bool) {
	list := slices.DeleteFunc(s.recent(now), func(seen Sighting) bool { return seen.Version.Pool != pool })
	if len(list) != 1 {
		return Version{}, false
	}
	return list[0].Version, true
}

// Mixed returns the sightings of the pools that had several versions in service within Retention, in the order of their names.
func (s *Service) Mixed(now time.Duration) []Sighting {
	list := s.recent(now)
	count := map[string]int{}
	for _, seen := range list {
		count[seen.Version.Pool]++
	}
	list = slices.DeleteFunc(list, func(seen Sighting) bool { return count[seen.Version.Pool] < 2 })
	slices.SortFunc(list, func(a, b Sighting) int {
		return cmp.Or(strings.Compare(a.Version.Pool, b.Version.Pool), strings.Compare(a.Version.Software, b.Version.Software))
	})
	return list
}

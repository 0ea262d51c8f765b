package origin_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/origin"
)

// journalStore is a store with the rows of one journal. Writes without a response are carried out late, or never.
type journalStore struct {
	journal *origin.Journal
	rows    map[string]origin.Segment
	late    []origin.Write
	now     time.Duration
}

func (s *journalStore) apply(w origin.Write) {
	if len(w.Records) > 0 {
		segment, err := origin.DecodeSegment(origin.EncodeSegment(time.UnixMilli(0), w.Records))
		if err != nil {
			panic(err)
		}
		s.rows[fmt.Sprintf("%08d", w.Segment)] = segment
	}
	for _, number := range w.Removed {
		delete(s.rows, fmt.Sprintf("%08d", number))
	}
}

// find returns what the rows say of a stream.
func (s *journalStore) find(key origin.Key) (origin.Version, bool) {
	return origin.NewRows(s.rows, nil).Find(key)
}

// TestPropertyJournal guards against a stream whose record counts as written but is not in the store, or is an outdated one: because a write
// without a response is carried out late, over a newer one, or because the segment was removed or its row was lost in a restoration.
func TestPropertyJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &journalStore{journal: origin.NewJournal(), rows: map[string]origin.Segment{}}
		type stream struct {
			number  int
			version origin.Version
			addedAt time.Duration
		}
		streams := map[origin.Key]stream{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "count") {
					key := origin.Key(rapid.IntRange(1, 400).Draw(t, "key"))
					version := rapid.SampledFrom([]origin.Version{old, newer}).Draw(t, "version")
					streams[key] = stream{s.journal.Add(s.now, origin.Record{Key: key, Version: version}), version, s.now}
				}
			},
			"write": func(t *rapid.T) {
				w, due := s.journal.Next(s.now)
				if !due {
					return
				}
				outcome := rapid.SampledFrom([]origin.Outcome{origin.Written, origin.Written, origin.NotWritten, origin.Unknown}).Draw(t, "outcome")
				if outcome == origin.Written {
					s.apply(w)
				}
				if outcome == origin.Unknown {
					s.late = append(s.late, w)
				}
				s.journal.Settle(s.now, w, outcome)
			},
			"late": func(*rapid.T) {
				if len(s.late) > 0 {
					s.apply(s.late[0])
					s.late = s.late[1:]
				}
			},
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond
			},
			"restore": func(*rapid.T) {
				clear(s.rows)
				s.journal.Restore(s.now)
			},
			"": func(t *rapid.T) {
				for key, stream := range streams {
					if stream.number > s.journal.Written() || s.now-stream.addedAt > origin.Retention {
						continue
					}
					version, found := s.find(key)
					if !found || version != stream.version {
						t.Fatalf("stream %d, record %d of %d, has version %v, %v, want %v", key, stream.number, s.journal.Written(), version, found, stream.version)
					}
				}
			},
		})
	})
}

// TestJournalSize guards against segments that grow without end, rows that are never removed, and records without end while the store does
// not respond.
func TestJournalSize(t *testing.T) {
	s := &journalStore{journal: origin.NewJournal(), rows: map[string]origin.Segment{}}
	largest := 0
	for n := range 6000 {
		s.now += 20 * time.Millisecond
		s.journal.Add(s.now, origin.Record{Key: origin.Key(n), Version: old})
		if w, due := s.journal.Next(s.now); due && n%3 == 0 {
			largest = max(largest, len(w.Records))
			s.apply(w)
			s.journal.Settle(s.now, w, origin.Written)
		}
	}
	qt.Check(t, largest <= 300, qt.IsTrue, qt.Commentf("%d", largest))
	qt.Check(t, len(s.rows) <= 20, qt.IsTrue, qt.Commentf("%d", len(s.rows)))
	for n := range 6000 {
		s.journal.Add(s.now, origin.Record{Key: origin.Key(n), Version: old})
	}
	w, due := s.journal.Next(s.now)
	qt.Check(t, due, qt.IsTrue)
	qt.Check(t, w.Records, qt.HasLen, 2000)
	s.apply(w)
	s.journal.Settle(s.now, w, origin.Written)
	s.now += 2 * origin.Retention
	for range 20 {
		if w, due = s.journal.Next(s.now); !due {
			break
		}
		qt.Check(t, w.Records, qt.HasLen, 0)
		s.apply(w)
		s.journal.Settle(s.now, w, origin.Written)
	}
	qt.Check(t, due, qt.IsFalse)
	qt.Check(t, len(s.rows) <= 1, qt.IsTrue, qt.Commentf("%d", len(s.rows)))
}

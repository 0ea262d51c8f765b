package faketable

import (
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// store is the table itself: every commit that writes raises the revision by one. Rows are kept by
// the part of the key up to the first slash, so that a read of fleet/ does not pass over every call/.
type store struct {
	mutex    sync.Mutex
	revision int64
	rows     map[string]map[string]row
}

func newStore() *store {
	// etcd's first revision is 1, so that 0 is that of an absent row.
	return &store{revision: 1, rows: map[string]map[string]row{}}
}

func segmentOf(key string) string {
	return key[:strings.IndexByte(key, '/')+1]
}

// segments returns the segments in which keys of the range can be.
func (s *store) segments(first, end []byte) []string {
	one := segmentOf(string(first))
	last := strings.TrimSuffix(one, "/") + string(rune('/'+1))
	if len(end) == 0 || one != "" && string(end) != "\x00" && string(end) <= last {
		return []string{one}
	}
	all := make([]string, 0, len(s.rows))
	for segment := range s.rows {
		all = append(all, segment)
	}
	return all
}

func inRange(key string, first, end []byte) bool {
	if len(end) == 0 {
		return key == string(first)
	}
	if key < string(first) {
		return false
	}
	return string(end) == "\x00" || key < string(end)
}

func (s *store) read(r rangeRequest) rangeAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := rangeAnswer{Header: header{s.revision}}
	for _, segment := range s.segments(r.Key, r.End) {
		for key, one := range s.rows[segment] {
			if inRange(key, r.Key, r.End) && one.Mod >= r.MinRevision {
				answer.Rows = append(answer.Rows, one)
			}
		}
	}
	sort.Slice(answer.Rows, func(i, j int) bool { return string(answer.Rows[i].Key) < string(answer.Rows[j].Key) })
	answer.Count = int64(len(answer.Rows))
	return answer
}

func (s *store) commit(txn txnRequest) txnAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := txnAnswer{Succeeded: true}
	for _, c := range txn.Compare {
		if s.row(string(c.Key)).Mod != c.Revision {
			answer.Succeeded = false
		}
	}
	if answer.Succeeded {
		s.apply(txn.Success)
	}
	answer.Header.Revision = s.revision
	return answer
}

func (s *store) row(key string) row { return s.rows[segmentOf(key)][key] }

func (s *store) put(key string, one row) {
	segment := segmentOf(key)
	if s.rows[segment] == nil {
		s.rows[segment] = map[string]row{}
	}
	s.rows[segment][key] = one
}

func (s *store) apply(operations []operation) {
	next, changed := s.revision+1, false
	for _, o := range operations {
		if o.Put != nil {
			key := string(o.Put.Key)
			old := s.row(key)
			one := row{Key: o.Put.Key, Value: o.Put.Value, Create: next, Mod: next, Version: old.Version + 1}
			if old.Version > 0 {
				one.Create = old.Create
			}
			s.put(key, one)
			changed = true
			continue
		}
		for _, key := range s.keys(o.Delete) {
			delete(s.rows[segmentOf(key)], key)
			changed = true
		}
	}
	if changed {
		s.revision = next
	}
}

func (s *store) keys(d *deleteRequest) []string {
	if len(d.End) == 0 {
		if s.row(string(d.Key)).Version == 0 {
			return nil
		}
		return []string{string(d.Key)}
	}
	var keys []string
	for _, segment := range s.segments(d.Key, d.End) {
		for key := range s.rows[segment] {
			if inRange(key, d.Key, d.End) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// check refuses what the service refuses and what the stand-in does not implement.
func check(txn txnRequest) error {
	for _, c := range txn.Compare {
		if c.Target != "MOD" || (c.Result != "EQUAL" && c.Result != "") {
			return errors.Errorf("compare of %q by %s %s is not supported", c.Key, c.Target, c.Result)
		}
	}
	if len(txn.Failure) > 0 {
		return errors.New("failure operations are not supported")
	}
	seen := map[string]bool{}
	for _, o := range txn.Success {
		var key string
		switch {
		case o.Put != nil:
			key = string(o.Put.Key)
		case o.Delete != nil:
			key = string(o.Delete.Key)
		default:
			return errors.New("only puts and deletes are supported")
		}
		if key == "" {
			return errors.New("key is not provided")
		}
		if seen[key] {
			return errors.New("duplicate key given in txn request")
		}
		seen[key] = true
	}
	return nil
}

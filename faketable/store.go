package faketable

import (
	"sort"
	"sync"

	"github.com/juju/errors"
)

// store is the table itself: every commit that writes raises the revision by one.
type store struct {
	mutex    sync.Mutex
	revision int64
	rows     map[string]row
}

func newStore() *store {
	// etcd's first revision is 1, so that 0 is that of an absent row.
	return &store{revision: 1, rows: map[string]row{}}
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
	for key, one := range s.rows {
		if inRange(key, r.Key, r.End) && one.Mod >= r.MinRevision {
			answer.Rows = append(answer.Rows, one)
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
		if s.rows[string(c.Key)].Mod != c.Revision {
			answer.Succeeded = false
		}
	}
	if answer.Succeeded {
		s.apply(txn.Success)
	}
	answer.Header.Revision = s.revision
	return answer
}

func (s *store) apply(operations []operation) {
	next, changed := s.revision+1, false
	for _, o := range operations {
		if o.Put != nil {
			key := string(o.Put.Key)
			old, exists := s.rows[key]
			one := row{Key: o.Put.Key, Value: o.Put.Value, Create: next, Mod: next, Version: old.Version + 1}
			if exists {
				one.Create = old.Create
			}
			s.rows[key] = one
			changed = true
			continue
		}
		for _, key := range s.keys(o.Delete) {
			delete(s.rows, key)
			changed = true
		}
	}
	if changed {
		s.revision = next
	}
}

func (s *store) keys(d *deleteRequest) []string {
	if len(d.End) == 0 {
		if _, exists := s.rows[string(d.Key)]; !exists {
			return nil
		}
		return []string{string(d.Key)}
	}
	var keys []string
	for key := range s.rows {
		if inRange(key, d.Key, d.End) {
			keys = append(keys, key)
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

package faketable

import (
	"sort"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// store holds the rows of the table. Every commit that changes a row raises the revision by one. Rows are
// grouped by segment, the key up to and with its first slash, so that a read of fleet/ does not scan the
// rows of call/.
type store struct {
	mutex    sync.Mutex
	revision int64
	rows     map[string]map[string]row // by segment and key
}

func newStore() *store {
	// The first revision of etcd is 1; 0 stands for an absent row.
	return &store{revision: 1, rows: map[string]map[string]row{}}
}

// segmentOf returns the key up to and with its first slash; empty if it has none.
func segmentOf(key string) string {
	return key[:strings.IndexByte(key, '/')+1]
}

// segmentsInRange returns the segments that can contain keys of the range: one segment if the range lies
// within it, else all.
func (s *store) segmentsInRange(first, end []byte) []string {
	segment := segmentOf(string(first))
	segmentEnd := strings.TrimSuffix(segment, "/") + string(rune('/'+1))
	if len(end) == 0 || segment != "" && string(end) != "\x00" && string(end) <= segmentEnd {
		return []string{segment}
	}
	names := make([]string, 0, len(s.rows))
	for name := range s.rows {
		names = append(names, name)
	}
	return names
}

// inRange reports whether the key is first, if end is empty, or lies from first on and before end. An end
// of one zero byte means that the range has no end.
func inRange(key string, first, end []byte) bool {
	if len(end) == 0 {
		return key == string(first)
	}
	if key < string(first) {
		return false
	}
	return string(end) == "\x00" || key < string(end)
}

func (s *store) read(r rangeRequest) rangeResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := rangeResponse{Header: header{s.revision}}
	for _, segment := range s.segmentsInRange(r.Key, r.RangeEnd) {
		for key, row := range s.rows[segment] {
			if inRange(key, r.Key, r.RangeEnd) && row.ModRevision >= r.MinModRevision {
				response.Rows = append(response.Rows, row)
			}
		}
	}
	sort.Slice(response.Rows, func(i, j int) bool { return string(response.Rows[i].Key) < string(response.Rows[j].Key) })
	response.Count = int64(len(response.Rows))
	return response
}

// commit applies the operations if all compares hold. The transaction must have passed validateTxn.
func (s *store) commit(txn txnRequest) txnResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	response := txnResponse{Succeeded: true}
	for _, c := range txn.Compare {
		if s.row(string(c.Key)).ModRevision != c.ModRevision {
			response.Succeeded = false
		}
	}
	if response.Succeeded {
		s.apply(txn.Success)
	}
	response.Header.Revision = s.revision
	return response
}

func (s *store) row(key string) row { return s.rows[segmentOf(key)][key] }

func (s *store) put(key string, value row) {
	segment := segmentOf(key)
	if s.rows[segment] == nil {
		s.rows[segment] = map[string]row{}
	}
	s.rows[segment][key] = value
}

func (s *store) apply(operations []operation) {
	next, changed := s.revision+1, false
	for _, o := range operations {
		if o.Put != nil {
			key := string(o.Put.Key)
			old := s.row(key)
			written := row{Key: o.Put.Key, Value: o.Put.Value, CreateRevision: next, ModRevision: next, Version: old.Version + 1}
			if old.Version > 0 {
				written.CreateRevision = old.CreateRevision
			}
			s.put(key, written)
			changed = true
			continue
		}
		for _, key := range s.keysToDelete(o.Delete) {
			delete(s.rows[segmentOf(key)], key)
			changed = true
		}
	}
	if changed {
		s.revision = next
	}
}

// keysToDelete returns the existing keys that the request deletes.
func (s *store) keysToDelete(d *deleteRequest) []string {
	if len(d.RangeEnd) == 0 {
		if s.row(string(d.Key)).Version == 0 {
			return nil
		}
		return []string{string(d.Key)}
	}
	var keys []string
	for _, segment := range s.segmentsInRange(d.Key, d.RangeEnd) {
		for key := range s.rows[segment] {
			if inRange(key, d.Key, d.RangeEnd) {
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// validateTxn returns an error for transactions that etcd rejects and for those that use what the stand-in
// does not implement.
func validateTxn(txn txnRequest) error {
	for _, c := range txn.Compare {
		if c.Target != "MOD" || (c.Result != "EQUAL" && c.Result != "") {
			return errors.Errorf("compare of %q by %s %s is not supported", c.Key, c.Target, c.Result)
		}
	}
	if len(txn.Failure) > 0 {
		return errors.New("failure operations are not supported")
	}
	written := map[string]bool{}
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
		if written[key] {
			return errors.New("duplicate key given in txn request")
		}
		written[key] = true
	}
	return nil
}

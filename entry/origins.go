package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/origin"
	"magnoliahoist/table"
)

// A caller may take up a stream at any host, also after all hosts were killed. A stream that did not begin at the base version of its pool
// has a record in the store since before its first event was passed on (records.go), so that a read of the records which begins after the
// caller's request has arrived says which version began the stream: that of its record, or else the base version.

// Table and keys of the rows of records, by the name of the host, the id of the process and the number of the segment.
const (
	streamTable  = "streams"
	streamPrefix = streamTable + "/"
)

const (
	// streamReadLimit bounds one read of the rows.
	streamReadLimit = 400 * time.Millisecond
	// restorationGrace is how long after a restoration of the store records and bases may still be missing that hosts write again.
	restorationGrace = 3 * time.Second
	// streamRowExpiry is the age at which a lease holder removes the rows of a process that no longer exists; maxExpiredRows bounds those
	// of one transaction.
	streamRowExpiry = 10 * origin.Retention
	maxExpiredRows  = 50
)

// origins is what this host knows of the versions that began streams. The host's lock guards all but the fields on the last read.
type origins struct {
	ledger     *origin.Ledger  // of the streams that began at this host
	journal    *origin.Journal // of the records of this host
	journaled  chan struct{}   // closed when the journal was written
	writable   bool            // the last write of the journal took effect
	slowUntil  time.Duration   // until then the last slow write of the journal makes new streams avoid records
	avoiding   bool            // new streams begin at base versions where possible, because records can't be written
	recalled   bool            // the rows were read since this process started
	restoredAt time.Duration   // when the store was last found to be restored; 0 if it was not since this host started

	reading sync.Mutex    // held by the one read of the rows
	readAt  time.Duration // start of the last read; guarded by reading
	rows    *origin.Rows  // result of the last read, nil if there was no response; guarded by reading
}

func newOrigins() origins {
	return origins{ledger: origin.NewLedger(), journal: origin.NewJournal(), journaled: make(chan struct{}), writable: true}
}

// noteOrigin remembers which version has begun a stream that a caller may take up at this host.
func (h *Host) noteOrigin(t *task) {
	if !begins(t) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.origins.ledger.Begin(h.Now(), origin.KeyOf(t.request.ID), versionOf(t))
}

// begins reports whether the last attempt of a request may begin a stream that may be resumed.
func begins(t *task) bool {
	return t.lastSend.Route.Resumable && !t.headWritten && t.request.Resumption.LastEventID == ""
}

// versionOf returns the software version of the endpoint of the last attempt.
func versionOf(t *task) origin.Version {
	return origin.Version{Pool: t.lastSend.Endpoint.Pool, Software: t.lastSend.Endpoint.Software}
}

// originOf returns what is known of the version that began the stream that a request takes up. It reads the records of all hosts unless
// the stream began at this one.
func (h *Host) originOf(ctx context.Context, arrival dispatch.RequestArrived) dispatch.Origin {
	key, arrivedAt := origin.KeyOf(arrival.Request.Resumption.RequestID), h.Now()
	h.mu.Lock()
	takesUp := h.state.TakesUp(arrival)
	version, known := h.origins.ledger.Find(key)
	h.mu.Unlock()
	if !takesUp {
		return dispatch.Origin{}
	}
	if known {
		return dispatch.Origin{Known: true, Version: version}
	}
	rows := h.readOrigins(arrivedAt)
	if rows != nil {
		if version, known := rows.Find(key); known {
			h.awaitVersion(ctx, version, arrivedAt)
			return dispatch.Origin{Known: true, Version: version}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case rows == nil:
		recalled := (h.origins.recalled || arrivedAt > origin.Retention) && h.storeIsAway(arrivedAt)
		h.log.Info("entry: records of streams could not be read", "request", arrival.Request.ID, "resumes", arrival.Request.Resumption.RequestID, "away", recalled)
		return dispatch.Origin{Recalled: recalled}
	case h.recentlyRestored() || arrival.Request.Resumption.RequestID == "":
		return dispatch.Origin{Recalled: true}
	default:
		return dispatch.Origin{Bases: rows.Bases()}
	}
}

// recentlyRestored reports whether other hosts may not yet have written again what the store lost in a restoration. A host that starts in a
// later era than the first can't know when that was. The caller holds the lock.
func (h *Host) recentlyRestored() bool {
	return h.store.Era() > 1 && h.Now()-h.origins.restoredAt < restorationGrace
}

// storeIsAway reports whether the configuration was confirmed to be current after a time although this host can't read from the store: the
// store then responds to no host, so that no endpoint can have registered.
func (h *Host) storeIsAway(after time.Duration) bool { return h.store.Silence() <= h.Now()-after }

// readOrigins reads the rows of all hosts, or waits for a read that begins after a time. It returns nil if there was no response.
func (h *Host) readOrigins(after time.Duration) *origin.Rows {
	h.origins.reading.Lock()
	defer h.origins.reading.Unlock()
	if h.origins.readAt >= after && after > 0 {
		return h.origins.rows
	}
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), streamReadLimit)
	defer cancel()
	h.origins.readAt, h.origins.rows = h.Now(), nil // also of a read that fails, so that callers don't wait for one read after the other
	snapshot, err := h.store.ReadAll(ctx, streamTable)
	if err != nil {
		h.log.Info("entry: unable to read which versions began the streams", "error", err)
		return nil
	}
	h.origins.rows = h.learnOrigins(snapshot.Rows)
	return h.origins.rows
}

// learnOrigins decodes the rows of all hosts. A lease holder removes those of processes that have been gone for long.
func (h *Host) learnOrigins(rows []table.Row) *origin.Rows {
	h.mu.Lock()
	defer h.mu.Unlock()
	bases := h.learnBases(rows)
	var sightings []origin.Sighting
	for pool, software := range bases {
		// Streams of the base version may have begun until its endpoints left, and no row names them.
		sightings = append(sightings, origin.Sighting{Version: origin.Version{Pool: pool, Software: software}})
	}
	segments := map[string]origin.Segment{}
	var expired table.Txn
	for _, row := range rows {
		if strings.HasPrefix(row.Key, basePrefix) {
			continue
		}
		segment, err := origin.DecodeSegment(row.Value)
		if err != nil {
			h.log.Warn("entry: unable to decode which versions began the streams of a host", "row", row.Key, "error", err)
			continue
		}
		segments[row.Key] = segment
		age := max(time.Since(segment.At), 0)
		for _, version := range segment.Versions() {
			sightings = append(sightings, origin.Sighting{Version: version, Age: age})
		}
		if age > streamRowExpiry && !h.ownsSegment(row.Key) && len(expired.Writes) < maxExpiredRows {
			expired.Compares = append(expired.Compares, table.Compare{Key: row.Key, Revision: row.Revision})
			expired.Writes = append(expired.Writes, table.Write{Key: row.Key, Delete: true})
		}
	}
	h.apply(dispatch.VersionsRecalled{Sightings: sightings})
	if len(expired.Writes) > 0 && len(h.holdings) > 0 {
		h.spawn(func(context.Context) { h.writeRows(expired) })
	}
	h.origins.recalled = true
	return origin.NewRows(segments, bases)
}

// ownsSegment reports whether the process that wrote a row of records is a member. The caller holds the lock.
func (h *Host) ownsSegment(key string) bool {
	name, rest, _ := strings.Cut(strings.TrimPrefix(key, streamPrefix), "/")
	id, _, _ := strings.Cut(rest, "/")
	m, exists := h.fleet.members[name]
	return exists && m.ID == id
}

package entry

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"magnoliahoist/dispatch"
	"magnoliahoist/intake"
	"magnoliahoist/origin"
	"magnoliahoist/table"
)

// A caller may take up a stream at any host, also after all hosts were killed. While endpoints of several software versions are in
// service, each host therefore keeps a row in the store that says which version began its streams. A host that does not know a stream
// reads the rows.

// Table and keys of the rows, by the name of the host.
const (
	streamTable  = "streams"
	streamPrefix = streamTable + "/"
)

const (
	// minStreamWriteInterval is the minimum time between two writes of the row; it grows by streamWriteStep with each host, so that a
	// large fleet stays within the rate of the store.
	minStreamWriteInterval = 400 * time.Millisecond
	streamWriteStep        = 10 * time.Millisecond
	// streamRefreshInterval is how often the row is written without new streams, so that it shows that several versions are in service.
	streamRefreshInterval = origin.Retention / 4
	// maxRowStreams bounds the streams in a row, which take 11 bytes each.
	maxRowStreams = 2000
	// maxStreamWait bounds the wait for the row of a stream that has just begun; streamReadLimit bounds one read of the rows.
	maxStreamWait   = 600 * time.Millisecond
	streamReadLimit = 400 * time.Millisecond
	// streamRowExpiry is the age at which a lease holder removes the row of a host that no longer exists.
	streamRowExpiry = 10 * origin.Retention
)

// rowLost stands for the number of written streams when the store may have lost the row.
const rowLost = -1

// origins is what this host knows of the versions that began streams. The host's lock guards all but the fields on the last read.
type origins struct {
	ledger    *origin.Ledger
	recalled  bool          // the rows were read since this process started
	writtenAt time.Duration // start of the last write of the row
	written   int           // streams of the ledger at that time, or rowLost
	versions  int           // sightings at that time

	reading  sync.Mutex    // held by the one read of the rows
	readAt   time.Duration // start of the last read; guarded by reading
	readDone bool          // the last read had a response; guarded by reading
}

// streamRow is the value of a host's row.
type streamRow struct {
	At       int64           `json:"at"` // Unix milliseconds by the clock of the host
	Versions []versionStream `json:"versions"`
}

// versionStream is a version of a pool in which several were in service, with the streams that it began at the host.
type versionStream struct {
	Pool     string `json:"pool"`
	Software string `json:"software"`
	Age      int64  `json:"age"`     // milliseconds since it was last in service
	Streams  []byte `json:"streams"` // keys, each of 8 bytes in big-endian order
}

// noteOrigin records which version has begun a stream that a caller may take up.
func (h *Host) noteOrigin(t *task) {
	if !t.lastSend.Route.Resumable || t.request.Resumption != (intake.Resumption{}) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	version := origin.Version{Pool: t.lastSend.Endpoint.Pool, Software: t.lastSend.Endpoint.Software}
	h.origins.ledger.Begin(h.Now(), origin.KeyOf(t.request.ID), version)
}

// originOf returns what is known of the version that began the stream that a request takes up. It reads the rows of the hosts if the
// stream could be of several versions.
func (h *Host) originOf(ctx context.Context, arrival dispatch.RequestArrived) dispatch.Origin {
	stream := arrival.Request.Resumption
	if stream.LastEventID == "" {
		return dispatch.Origin{}
	}
	h.mu.Lock()
	_, refused := h.state.RefusalByHeader(h.Now(), arrival)
	h.mu.Unlock()
	if refused {
		return dispatch.Origin{}
	}
	key, startedAt := origin.KeyOf(stream.RequestID), h.Now()
	known, certain := h.knownOrigin(key, false)
	if !certain {
		known, certain = h.knownOrigin(key, h.readOrigins(startedAt) || h.storeIsAway(startedAt))
	}
	if !certain && ctx.Err() == nil && stream.RequestID != "" {
		h.sleep(min(h.streamWriteInterval(), maxStreamWait)) // the host that served the stream may not have written its row yet
		readAt := h.Now()
		known, certain = h.knownOrigin(key, h.readOrigins(readAt) || h.storeIsAway(readAt))
	}
	if !certain {
		h.log.Info("entry: software version of a stream is unknown", "request", arrival.Request.ID, "resumes", stream.RequestID)
	}
	return known
}

// knownOrigin returns what this host knows of the version that began a stream, and whether nothing more can be learned. The versions that
// this host has seen prove something about the stream only if they are confirmed to be all that were in service until its caller took it
// up: another host may have begun it at a version that has not been seen here.
func (h *Host) knownOrigin(key origin.Key, confirmed bool) (known dispatch.Origin, certain bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known.Version, known.Known = h.origins.ledger.Find(key)
	known.Recalled = confirmed && (h.origins.recalled || h.Now() > origin.Retention)
	return known, known.Known || known.Recalled && len(h.state.MixedVersions(h.Now())) == 0
}

// storeIsAway reports whether the configuration was confirmed to be current after a time although this host can't read from the store: the
// store then responds to no host, so that no endpoint can have registered.
func (h *Host) storeIsAway(after time.Duration) bool { return h.store.Silence() <= h.Now()-after }

// readOrigins reads the rows of all hosts, or waits for a read that begins after a time. It reports whether the rows were read.
func (h *Host) readOrigins(after time.Duration) bool {
	h.origins.reading.Lock()
	defer h.origins.reading.Unlock()
	if h.origins.readAt >= after && after > 0 {
		return h.origins.readDone
	}
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), streamReadLimit)
	defer cancel()
	h.origins.readAt = h.Now() // also of a read that fails, so that callers don't wait for one read after the other
	snapshot, err := h.store.ReadAll(ctx, streamTable)
	h.origins.readDone = err == nil
	if err != nil {
		h.log.Info("entry: unable to read which versions began the streams", "error", err)
		return false
	}
	h.learnOrigins(snapshot.Rows)
	return true
}

// learnOrigins applies the rows of all hosts. A lease holder removes those of hosts that have been gone for long.
func (h *Host) learnOrigins(rows []table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learnBases(rows)
	for pool, base := range h.bases.known {
		// Streams of the base version may have begun until its endpoints left, and no row names them.
		h.apply(dispatch.VersionsRecalled{Sightings: []origin.Sighting{{Version: origin.Version{Pool: pool, Software: base.Software}}}})
	}
	for _, row := range rows {
		if strings.HasPrefix(row.Key, basePrefix) {
			continue
		}
		var value streamRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			h.log.Warn("entry: unable to decode which versions began the streams of a host", "row", row.Key, "error", err)
			continue
		}
		age := max(time.Since(time.UnixMilli(value.At)), 0)
		name := strings.TrimPrefix(row.Key, streamPrefix)
		var sightings []origin.Sighting
		for _, v := range value.Versions {
			version := origin.Version{Pool: v.Pool, Software: v.Software}
			sightings = append(sightings, origin.Sighting{Version: version, Age: age + time.Duration(v.Age)*time.Millisecond})
			for rest := v.Streams; len(rest) >= 8; rest = rest[8:] {
				h.origins.ledger.Learn(h.Now(), origin.Key(binary.BigEndian.Uint64(rest)), version, name == h.settings.Name)
			}
		}
		h.apply(dispatch.VersionsRecalled{Sightings: sightings})
		if _, exists := h.fleet.members[name]; !exists && age > streamRowExpiry && len(h.holdings) > 0 {
			h.spawn(func(context.Context) {
				h.writeRows(table.Txn{
					Compares: []table.Compare{{Key: row.Key, Revision: row.Revision}},
					Writes:   []table.Write{{Key: row.Key, Delete: true}},
				})
			})
		}
	}
	h.origins.recalled = true
}

// streamWriteInterval returns the minimum time between two writes of the row.
func (h *Host) streamWriteInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return minStreamWriteInterval + time.Duration(len(h.fleet.members))*streamWriteStep
}

// keepOrigins writes the host's row if several versions are in service and the row lacks streams or versions.
func (h *Host) keepOrigins(context.Context) {
	interval := h.streamWriteInterval()
	h.mu.Lock()
	now := h.Now()
	mixed := h.state.MixedVersions(now)
	o := &h.origins
	changed := o.ledger.Added() != o.written || len(mixed) != o.versions || now-o.writtenAt >= streamRefreshInterval
	due := len(mixed) > 0 && changed && now-o.writtenAt >= interval
	recalled := o.recalled
	h.mu.Unlock()
	if !due {
		return
	}
	if !recalled {
		h.readOrigins(now) // the row of an earlier process of this host must not be lost
	}
	h.mu.Lock()
	value := h.encodeOrigins(mixed)
	o.writtenAt = now
	added := o.ledger.Added()
	recalled = o.recalled
	h.mu.Unlock()
	if !recalled {
		return
	}
	if result := h.writeRows(table.Txn{Writes: []table.Write{{Key: streamPrefix + h.settings.Name, Value: value}}}); !result.Committed {
		return
	}
	h.mu.Lock()
	o.written, o.versions = added, len(mixed)
	h.mu.Unlock()
}

// encodeOrigins returns the value of the host's row. The caller holds the lock.
func (h *Host) encodeOrigins(mixed []origin.Sighting) []byte {
	own := h.origins.ledger.Own(h.Now(), maxRowStreams)
	row := streamRow{At: time.Now().UnixMilli(), Versions: []versionStream{}}
	for _, seen := range mixed {
		v := versionStream{Pool: seen.Version.Pool, Software: seen.Version.Software, Age: seen.Age.Milliseconds(), Streams: []byte{}}
		for _, key := range own[seen.Version] {
			v.Streams = binary.BigEndian.AppendUint64(v.Streams, uint64(key))
		}
		row.Versions = append(row.Versions, v)
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic("entry: unable to encode which versions began the streams: " + err.Error()) // a struct of plain fields can always be encoded
	}
	return value
}

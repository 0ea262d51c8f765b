package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"magnoliahoist/origin"
	"magnoliahoist/table"
)

// For each pool with streams that may be resumed, a row of the table of streams names the base version: the one at which streams begin
// without a record. It outlives the hosts, so that hosts that start know of a version which has left before they started.

// basePrefix is the prefix of the keys of these rows, before the name of the pool.
const basePrefix = streamTable + "/base/"

const (
	// baseReadPause is the pause after a read of the bases if one is still missing, on average; each known host adds baseReadStep, so
	// that a fleet that starts together stays within the rate of the store.
	baseReadPause = 200 * time.Millisecond
	baseReadStep  = 5 * time.Millisecond
	// failedReadPause is the least pause after a read without a response.
	failedReadPause = time.Second
	// absentReadPause is the pause between two reads while a base is out of service, until a lease holder changes it.
	absentReadPause = origin.Retention / 4
	// baseTrust is for how long a base may be out of service, as far as this host knows, until it is no longer relied on. It is below
	// origin.Retention, after which a lease holder may change it.
	baseTrust = origin.Retention / 2
)

// baseRow is the value of the row of a base.
type baseRow struct {
	Base string `json:"base"`
	Term int64  `json:"term"`
}

// knownBase is what this host knows of the base of a pool.
type knownBase struct {
	origin.Base
	revision int64         // of the row; 0 if the store has lost it
	stale    bool          // the row is older than what this host knows, or missing, because the store was restored
	seenAt   time.Duration // when an endpoint of the version was last registered, or when the base was first read
}

// bases is what this host knows of the bases of the pools, by name. The host's lock guards it.
type bases struct {
	known    map[string]knownBase
	loaded   bool // the rows were read since this process started
	nextRead time.Duration
}

// Base returns the base of a pool, and whether it may be relied on.
func (b *bases) Base(now time.Duration, pool string) (origin.Base, bool) {
	known, found := b.known[pool]
	return known.Base, found && now-known.seenAt <= baseTrust
}

// learn applies the rows of the bases from a read of the whole table.
func (b *bases) learn(now time.Duration, rows map[string]table.Row, decoded map[string]origin.Base) {
	b.loaded = true
	for pool, known := range b.known {
		if _, exists := rows[pool]; !exists {
			known.revision, known.stale = 0, true
			b.known[pool] = known
		}
	}
	for pool, base := range decoded {
		known, found := b.known[pool]
		switch {
		case !found || base.Term > known.Term:
			known = knownBase{Base: base, seenAt: now}
		case base != known.Base && base.Term == known.Term: // an earlier process wrote it before the store was restored
			known.Base = base
		}
		known.revision, known.stale = rows[pool].Revision, base.Term < known.Term
		b.known[pool] = known
	}
}

// learnBases applies the rows of the bases from a read of the whole table and returns the base versions by pool. The caller holds the lock.
func (h *Host) learnBases(rows []table.Row) map[string]string {
	found, decoded := map[string]table.Row{}, map[string]origin.Base{}
	for _, row := range rows {
		pool, isBase := strings.CutPrefix(row.Key, basePrefix)
		if !isBase {
			continue
		}
		var value baseRow
		if err := json.Unmarshal(row.Value, &value); err != nil {
			h.log.Warn("entry: unable to decode the base version of a pool", "row", row.Key, "error", err)
			continue
		}
		found[pool], decoded[pool] = row, origin.Base{Software: value.Base, Term: value.Term}
	}
	h.bases.learn(h.Now(), found, decoded)
	software := map[string]string{}
	for pool, base := range decoded {
		software[pool] = base.Software
	}
	return software
}

// keepBases reads the bases when one is missing, and writes those that don't exist, that the store has lost, or that have been out of
// service for so long that another version takes their place.
func (h *Host) keepBases(context.Context) {
	c := h.catalog.Load()
	if c == nil {
		return
	}
	h.mu.Lock()
	now := h.Now()
	endpoints := h.endpointsByVersion(c.ResumablePools())
	due, pause := h.baseReadDue(now, endpoints)
	if due {
		h.bases.nextRead = now + pause
	}
	h.mu.Unlock()
	if !due {
		return
	}
	if h.readOrigins(now) == nil {
		h.mu.Lock()
		h.bases.nextRead = max(h.bases.nextRead, h.Now()+failedReadPause)
		h.mu.Unlock()
		return
	}
	for pool, base := range h.missingBases(endpoints) {
		h.writeBase(pool, base)
	}
}

// writeBase writes the row of a base, unless it has changed since it was read.
func (h *Host) writeBase(pool string, base knownBase) {
	value, err := json.Marshal(baseRow{Base: base.Software, Term: base.Term})
	if err != nil {
		panic("entry: unable to encode a base version: " + err.Error()) // a struct of plain fields can always be encoded
	}
	key := basePrefix + pool
	result := h.writeRows(table.Txn{Compares: []table.Compare{{Key: key, Revision: base.revision}}, Writes: []table.Write{{Key: key, Value: value}}})
	h.log.Info("entry: base version of a pool written", "pool", pool, "software", base.Software, "term", base.Term, "committed", result.Committed)
	if !result.Committed {
		return // the next read shows what another host has written
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	base.revision, base.stale = result.Revision, false
	h.bases.known[pool] = base
}

// endpointsByVersion returns the number of registered endpoints by pool and software version. The caller holds the lock.
func (h *Host) endpointsByVersion(pools []string) map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, e := range h.directory.Endpoints() {
		if !slices.Contains(pools, e.Pool) {
			continue
		}
		if counts[e.Pool] == nil {
			counts[e.Pool] = map[string]int{}
		}
		counts[e.Pool][e.Software]++
	}
	return counts
}

// baseReadDue reports whether the bases have to be read now, and the pause until the next read. It notes which bases are in service. The
// caller holds the lock.
func (h *Host) baseReadDue(now time.Duration, endpoints map[string]map[string]int) (due bool, pause time.Duration) {
	missing, absent := !h.bases.loaded, false
	for pool, versions := range endpoints {
		known, found := h.bases.known[pool]
		switch {
		case !found || known.stale || table.EraOf(known.revision) < h.store.Era():
			missing = true
		case versions[known.Software] > 0 && now-known.seenAt <= baseTrust:
			known.seenAt = now
			h.bases.known[pool] = known
		case now-known.seenAt > baseTrust:
			absent = true // also if the version is back: another one may have taken its place meanwhile
		}
	}
	if now < h.bases.nextRead {
		return false, 0
	}
	if !missing {
		return absent, absentReadPause
	}
	return true, rand.N(2 * (baseReadPause + baseReadStep*time.Duration(len(h.fleet.members))))
}

// missingBases returns the bases to write: those that are missing or outdated in the store, and those that a lease holder changes because
// they have been out of service for long.
func (h *Host) missingBases(endpoints map[string]map[string]int) map[string]knownBase {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Now()
	missing := map[string]knownBase{}
	for pool, versions := range endpoints {
		known, found := h.bases.known[pool]
		absentFor := now - known.seenAt
		switch {
		case found && known.stale:
			missing[pool] = known
		case found && absentFor > baseTrust && versions[known.Software] > 0: // the row still names the version that is back
			known.seenAt = now
			h.bases.known[pool] = known
		case !found && h.recentlyRestored(): // another host may know the base that the store has lost
		case !found || absentFor > origin.Retention && h.holdings[pool] != nil:
			if base, possible := known.Next(versions); possible {
				missing[pool] = knownBase{Base: base, revision: known.revision, seenAt: now}
			}
		}
	}
	return missing
}

package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"magnoliahoist/dispatch"
	"magnoliahoist/origin"
	"magnoliahoist/table"
)

const (
	// minRecordInterval is the minimum time between two writes of the journal; it grows by recordIntervalStep with each host, so that
	// the hosts together stay within the rate of one part of the store.
	minRecordInterval  = 40 * time.Millisecond
	recordIntervalStep = 10 * time.Millisecond
	// recordRetryPause is the pause after a second write of the journal in a row that failed.
	recordRetryPause = 200 * time.Millisecond
	// maxRecordWait bounds how long the first event of a stream waits for the stream's record.
	maxRecordWait = 400 * time.Millisecond
	// slowRecord is the duration of a write of the journal from which new streams avoid records for recordPause: events that are passed on
	// more than 120 ms late count as late.
	slowRecord  = 80 * time.Millisecond
	recordPause = 2 * time.Second
	// recordSweepInterval is how often the rows of old segments are looked for.
	recordSweepInterval = 5 * time.Second
)

// recordVersion adds a record of the version to which a stream is sent, unless it is the base version. The record is written while the
// endpoint reads the prompt.
func (h *Host) recordVersion(t *task) {
	if !t.lastSend.Route.Stream || !begins(t) {
		return
	}
	version := versionOf(t)
	h.mu.Lock()
	defer h.mu.Unlock()
	base, trusted := h.bases.Base(h.Now(), version.Pool)
	if t.record == 0 && trusted && base.Software == version.Software {
		return // without an earlier record that would have to be replaced
	}
	t.record = h.origins.journal.Add(h.Now(), origin.Record{Key: origin.KeyOf(t.request.ID), Version: version})
	select {
	case h.recordsWake <- struct{}{}:
	default:
	}
}

// awaitRecord waits until the record of a stream is in the store, so that the stream can be taken up at any host from its first event on.
func (h *Host) awaitRecord(ctx context.Context, t *task) {
	if t.record == 0 {
		return
	}
	startedAt := h.Now()
	limit := time.NewTimer(maxRecordWait)
	defer limit.Stop()
	for {
		h.mu.Lock()
		written, writable, next := h.origins.journal.Written() >= t.record, h.origins.writable, h.origins.journaled
		h.mu.Unlock()
		if written || !writable {
			h.countRecord(t, written, h.Now()-startedAt)
			return
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		case <-limit.C:
			h.countRecord(t, false, h.Now()-startedAt)
			return
		}
	}
}

// countRecord counts a stream with a record, and logs it if its first event is passed on before the record is known to be in the store.
func (h *Host) countRecord(t *task, written bool, waited time.Duration) {
	label := "written"
	if !written {
		label = "pending"
		h.log.Info("entry: stream begins before its record is written", "request", t.request.ID, "software", t.lastSend.Endpoint.Software, "waited", waited.String())
	}
	h.metrics.records.WithLabelValues(label).Inc()
	h.metrics.recordWait.Observe(waited.Seconds())
}

// writeRecords writes the journal until the host stops.
func (h *Host) writeRecords() error {
	ctx := h.tomb.Context(context.Background())
	failures := 0
	for {
		pause := h.recordInterval()
		if h.writeJournal(ctx) {
			failures = 0
		} else if failures++; failures > 1 { // the first may be that of a collector that has ended
			pause = recordRetryPause
		}
		h.sleep(pause)
		h.waitOrWake(recordSweepInterval, h.recordsWake)
		select {
		case <-h.tomb.Dying():
			return nil
		default:
		}
	}
}

// recordInterval returns the minimum time between two writes of the journal.
func (h *Host) recordInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.collectsRecords() {
		return collectInterval
	}
	return max(minRecordInterval, recordIntervalStep*time.Duration(len(h.fleet.members)))
}

// writeJournal writes the records that are not in the store. It returns false if that failed.
func (h *Host) writeJournal(ctx context.Context) bool {
	h.mu.Lock()
	write, due := h.origins.journal.Next(h.Now())
	h.mu.Unlock()
	if !due {
		return true
	}
	startedAt := h.Now()
	result, err := h.commitRecords(ctx, h.journalTxn(write))
	outcome := origin.Written
	switch {
	case errors.Is(err, table.ErrOutcomeUnknown):
		outcome = origin.Unknown
	case err != nil || !result.Committed:
		outcome = origin.NotWritten
	}
	if outcome != origin.Written {
		h.log.Warn("entry: unable to write the records of streams", "records", len(write.Records), "outcome", outcome.String(), "error", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.origins.journal.Settle(h.Now(), write, outcome)
	close(h.origins.journaled)
	h.origins.journaled = make(chan struct{})
	h.origins.writable = outcome == origin.Written
	if h.Now()-startedAt > slowRecord {
		h.origins.slowUntil = h.Now() + recordPause
	}
	if _, due := h.origins.journal.Next(h.Now()); due {
		select {
		case h.recordsWake <- struct{}{}:
		default:
		}
	}
	return outcome == origin.Written
}

// journalTxn returns the transaction of a write of the journal.
func (h *Host) journalTxn(write origin.Write) table.Txn {
	var txn table.Txn
	if len(write.Records) > 0 {
		txn.Writes = append(txn.Writes, table.Write{Key: h.segmentKey(write.Segment), Value: origin.EncodeSegment(time.Now(), write.Records)})
	}
	for _, number := range write.Removed {
		txn.Writes = append(txn.Writes, table.Write{Key: h.segmentKey(number), Delete: true})
	}
	return txn
}

// segmentKey returns the key of the row of a segment. Processes of one name have keys of their own, so that none overwrites a row of an
// earlier one.
func (h *Host) segmentKey(number int) string {
	return fmt.Sprintf("%s%s/%s/%08d", streamPrefix, h.settings.Name, h.fleet.self.ID, number)
}

// avoidRecords makes new streams begin at the base versions, which need no record, while records can't be written, or not in time.
func (h *Host) avoidRecords(context.Context) {
	unreachable := h.store.Unreachable()
	h.mu.Lock()
	defer h.mu.Unlock()
	avoiding := unreachable || !h.origins.writable || h.Now() < h.origins.slowUntil
	if !avoiding && !h.origins.avoiding {
		return
	}
	if avoiding != h.origins.avoiding {
		h.origins.avoiding = avoiding
		h.log.Info("entry: streams that need a record are avoided", "avoided", avoiding)
	}
	var e dispatch.BasesPreferred
	if avoiding {
		e.Software = map[string]string{}
		for pool := range h.bases.known {
			if base, trusted := h.bases.Base(h.Now(), pool); trusted {
				e.Software[pool] = base.Software
			}
		}
	}
	h.apply(e)
}

// countMixedVersions returns the number of software versions of pools that had several in service lately.
func (h *Host) countMixedVersions() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.state.MixedVersions(h.Now()))
}

package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/lease"
	"magnoliahoist/table"
)

// restorableRow is the lease's row in a table service that can be restored from backups.
type restorableRow struct {
	era, version int64 // of the table
	row          lease.Record
	rowVersion   int64 // 0: absent
}

// read returns the read of the row that a process makes between two times.
func (r restorableRow) read(started, ended, clock time.Duration) (lease.Read, lease.Record, int64) {
	revision := int64(0)
	if r.rowVersion > 0 {
		revision = table.RevisionAt(r.era, r.rowVersion)
	}
	return lease.Read{Started: started, Ended: ended, Revision: table.RevisionAt(r.era, r.version), Clock: clock}, r.row, revision
}

// apply writes the row if it has the version that the condition names, whatever the condition's era. It returns the revision, and
// whether the writer is told that the write was committed.
func (r *restorableRow) apply(row lease.Record, condition int64) (int64, bool) {
	if r.rowVersion != table.VersionOf(condition) {
		return table.RevisionAt(r.era, r.version), false
	}
	r.version++
	r.row, r.rowVersion = row, r.version
	return table.RevisionAt(r.era, r.version), condition == 0 || table.EraOf(condition) == r.era
}

// restore brings a backup back in a new era.
func (r *restorableRow) restore(backup restorableRow) {
	era := r.era + 1
	*r = backup
	r.era = era
}

// TestRestoredTerms guards against two processes that act within the handover gap of each other, use one fencing number, or use a lower
// number after a higher one, when the table service loses renewals and changes of the holder. It simulates processes that read, renew
// and release the lease, pauses, lost results, writes that take effect late and after a restoration, and backups of any age.
func TestRestoredTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := newLeases()
		const epoch = 7 * time.Second // test time at which the table service's clock shows 0
		now := time.Minute
		service := restorableRow{era: 1, version: 1}
		backup := service
		var late []pendingWrite
		results := map[int]func(){} // by process: records the result of its last write
		lastActed, owners, highest := map[int]time.Duration{}, map[int64]int{}, int64(0)
		observe := func(host int) {
			started := now
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "answer")) * time.Millisecond
			leases[host].Observe(service.read(started, now, started-epoch))
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "pass")) * time.Millisecond
			host := rapid.IntRange(0, len(leases)-1).Draw(t, "host")
			l := leases[host]
			step := rapid.SampledFrom([]string{"read", "read", "write", "write", "write", "late write", "late result", "release", "other write", "back up", "restore"}).Draw(t, "step")
			switch step {
			case "read":
				observe(host)
			case "write":
				action, row, condition := l.NextWrite(now)
				if action == lease.NoWrite {
					continue
				}
				switch rapid.IntRange(0, 4).Draw(t, "fate") {
				case 0: // the write takes effect, but its result is lost
					service.apply(row, condition)
					l.RecordWrite(row, 0, false)
				case 1: // the write takes effect later
					late = append(late, pendingWrite{host, row, condition})
					l.RecordWrite(row, 0, false)
				case 2: // the result arrives later
					revision, committed := service.apply(row, condition)
					results[host] = func() { l.RecordWrite(row, revision, committed) }
				default:
					revision, committed := service.apply(row, condition)
					l.RecordWrite(row, revision, committed)
				}
			case "late result":
				if record := results[host]; record != nil {
					record()
					delete(results, host)
				}
			case "late write":
				if len(late) > 0 {
					service.apply(late[0].content, late[0].expectedRevision)
					late = late[1:]
				}
			case "release":
				if row, condition, held := l.Release(now); held {
					revision, committed := service.apply(row, condition)
					l.RecordWrite(row, revision, committed)
				}
			case "other write":
				service.version += int64(rapid.IntRange(1, 5).Draw(t, "writes"))
			case "back up":
				backup = service
			case "restore":
				service.restore(backup)
			}
			checkGap(t, now, leases, lastActed)
			for i, l := range leases {
				if !l.MayAct(now) {
					continue
				}
				number := l.FencingNumber()
				if owner, used := owners[number]; used && owner != i {
					t.Fatalf("process %d acts with number %d of process %d", i, number, owner)
				}
				if number < highest {
					t.Fatalf("process %d acts with number %d after %d", i, number, highest)
				}
				owners[number], highest = i, number
			}
		}
	})
}

// TestRestoredHolder guards against a holder that stops acting, or another process that starts, because the table service has lost the
// holder's row.
func TestRestoredHolder(t *testing.T) {
	for name, row := range map[string]lease.Record{
		"an earlier renewal":  {Holder: "a", FencingNumber: 6, Era: 1, DecidedAt: 1000},
		"an earlier holder":   {Holder: "c", FencingNumber: 3, Era: 1, DecidedAt: 1000},
		"a released lease":    {Holder: "c", FencingNumber: 3, Era: 1, DecidedAt: 1000, Released: true},
		"no row":              {},
		"this other process'": {Holder: "b", FencingNumber: 3, Era: 1, DecidedAt: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			const start = time.Minute
			service := restorableRow{era: 1, version: 5}
			holder, other := lease.NewRenewedLease(renewalSettings, "a"), lease.NewRenewedLease(renewalSettings, "b")
			holder.Observe(service.read(start, start, start))
			_, acquired, condition := holder.NextWrite(start)
			revision, committed := service.apply(acquired, condition)
			holder.RecordWrite(acquired, revision, committed)
			qt.Assert(t, holder.MayAct(start), qt.IsTrue)
			number := holder.FencingNumber()

			service = restorableRow{era: 2, version: 4, row: row}
			if row.Holder != "" {
				service.rowVersion = 3
			}
			restored := start + time.Second
			other.Observe(service.read(restored, restored, restored))
			other.Observe(service.read(restored+5*time.Second, restored+5*time.Second, restored+5*time.Second))
			action, _, _ := other.NextWrite(restored + 5*time.Second)
			qt.Check(t, action, qt.Equals, lease.NoWrite)

			holder.Observe(service.read(restored, restored, restored))
			qt.Check(t, holder.MayAct(restored), qt.IsTrue)
			action, renewed, condition := holder.NextWrite(restored)
			qt.Assert(t, action, qt.Equals, lease.Renew)
			qt.Check(t, renewed.FencingNumber, qt.Equals, number)
			revision, committed = service.apply(renewed, condition)
			holder.RecordWrite(renewed, revision, committed)
			qt.Check(t, holder.MayAct(restored+renewalSettings.HoldDuration-1), qt.IsTrue)

			end := restored + time.Hour
			other.Observe(service.read(restored, restored, restored))
			other.Observe(service.read(end, end, end))
			action, taken, _ := other.NextWrite(end)
			qt.Assert(t, action, qt.Equals, lease.Acquire)
			qt.Check(t, taken.FencingNumber > number, qt.IsTrue)
		})
	}
}

// TestRestoredRowOfLaterEra guards against a process that may act by a write that was decided before a restoration and took effect
// after it: its fencing number may have been used.
func TestRestoredRowOfLaterEra(t *testing.T) {
	l := lease.NewRenewedLease(renewalSettings, "a")
	service := restorableRow{era: 1, version: 5}
	l.Observe(service.read(0, 0, time.Hour))
	_, row, condition := l.NextWrite(0)
	service.restore(restorableRow{version: 4})
	service.apply(row, condition)
	l.RecordWrite(row, 0, false)
	l.Observe(service.read(time.Second, time.Second, time.Hour+time.Second))
	qt.Check(t, l.MayAct(time.Second), qt.IsFalse)
	l.Observe(service.read(7*time.Second, 7*time.Second, time.Hour+7*time.Second))
	action, again, _ := l.NextWrite(7 * time.Second)
	qt.Assert(t, action, qt.Equals, lease.Acquire)
	qt.Check(t, again.FencingNumber > row.FencingNumber, qt.IsTrue)
}

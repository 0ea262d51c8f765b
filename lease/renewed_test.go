package lease_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"magnoliahoist/lease"
)

var renewalSettings = lease.RenewalSettings{RenewInterval: 800 * time.Millisecond, HoldDuration: 1800 * time.Millisecond, HandoverGap: 3400 * time.Millisecond}

// storedRow is the lease's row in the simulated table service.
type storedRow struct {
	content  lease.Record
	revision int64
}

// pendingWrite is a write that takes effect if the row still has the expected revision.
type pendingWrite struct {
	host             int
	content          lease.Record
	expectedRevision int64
}

// newLeases returns three processes' views of the lease.
func newLeases() []*lease.RenewedLease {
	var leases []*lease.RenewedLease
	for _, name := range []string{"a", "b", "c"} {
		leases = append(leases, lease.NewRenewedLease(renewalSettings, name))
	}
	return leases
}

// checkGap fails the test if a process may act within the handover gap after another one acted, and records those that may act now.
func checkGap(t *rapid.T, now time.Duration, leases []*lease.RenewedLease, lastActed map[int]time.Duration) {
	for i := range leases {
		if !leases[i].MayAct(now) {
			continue
		}
		for other, at := range lastActed {
			if other != i && now-at < renewalSettings.HandoverGap {
				t.Fatalf("process %d acts %v after process %d", i, now-at, other)
			}
		}
		lastActed[i] = now
	}
}

// TestTermGap guards against two hosts that act within the handover gap of each other. It simulates hosts that read,
// renew and release the lease, pauses of hosts, lost results, and writes that take effect late.
func TestTermGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leases := newLeases()
		const epoch = 7 * time.Second // test time at which the table service's clock shows 0
		now := time.Minute
		row := storedRow{}
		var lateWrites []pendingWrite
		lastActed := map[int]time.Duration{}
		apply := func(w pendingWrite) bool {
			if row.revision != w.expectedRevision {
				return false
			}
			row = storedRow{w.content, row.revision + 1}
			return true
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 900).Draw(t, "pass")) * time.Millisecond
			host := rapid.IntRange(0, len(leases)-1).Draw(t, "host")
			l := leases[host]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				started := now
				now += time.Duration(rapid.IntRange(0, 300).Draw(t, "answer")) * time.Millisecond
				sampled := started + time.Duration(rapid.IntRange(0, int((now-started)/time.Millisecond)).Draw(t, "sampled"))*time.Millisecond
				l.Observe(lease.Read{Started: started, Ended: now, Revision: row.revision, Clock: sampled - epoch}, row.content, row.revision)
			case 2, 3:
				action, content, expected := l.NextWrite(now)
				if action == lease.NoWrite {
					continue
				}
				write := pendingWrite{host, content, expected}
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0: // the write takes effect, but its result is lost
					apply(write)
					l.RecordWrite(content, 0, false)
				case 1: // the write takes effect later
					lateWrites = append(lateWrites, write)
					l.RecordWrite(content, 0, false)
				default:
					committed := apply(write)
					l.RecordWrite(content, row.revision, committed)
				}
			case 4:
				if len(lateWrites) > 0 {
					apply(lateWrites[0])
					lateWrites = lateWrites[1:]
				}
			case 5:
				if content, expected, held := l.Release(now); held {
					committed := apply(pendingWrite{host, content, expected})
					l.RecordWrite(content, row.revision, committed)
				}
			}
			checkGap(t, now, leases, lastActed)
		}
	})
}

// TestTermTakeover guards against a lease that no process takes over, and against a takeover from a holder that renews
// the lease.
func TestTermTakeover(t *testing.T) {
	const read = 10 * time.Second
	held := lease.Record{Holder: "b", FencingNumber: 4, Renewal: 9}
	for name, test := range map[string]struct {
		play func(l *lease.RenewedLease)
		at   time.Duration
		want lease.Action
	}{
		"nothing read":   {func(*lease.RenewedLease) {}, read, lease.NoWrite},
		"no holder":      {func(l *lease.RenewedLease) { l.Observe(lease.Read{Started: read, Ended: read}, lease.Record{}, 0) }, read, lease.Acquire},
		"held":           {func(l *lease.RenewedLease) { l.Observe(lease.Read{Started: read, Ended: read, Revision: 7}, held, 7) }, read + 4*time.Second, lease.NoWrite},
		"not read again": {func(l *lease.RenewedLease) { l.Observe(lease.Read{Started: read, Ended: read, Revision: 7}, held, 7) }, read + time.Hour, lease.NoWrite},
		"unchanged for 6 s": {func(l *lease.RenewedLease) {
			l.Observe(lease.Read{Started: read, Ended: read, Revision: 7}, held, 7)
			l.Observe(lease.Read{Started: read + 6*time.Second, Ended: read + 6*time.Second, Revision: 7}, held, 7)
		}, read + 6*time.Second, lease.Acquire},
		"renewed": {func(l *lease.RenewedLease) {
			l.Observe(lease.Read{Started: read, Ended: read, Revision: 7}, held, 7)
			l.Observe(lease.Read{Started: read + 6*time.Second, Ended: read + 6*time.Second, Revision: 8}, lease.Record{Holder: "b", FencingNumber: 4, Renewal: 10}, 8)
		}, read + 6*time.Second, lease.NoWrite},
		"released": {func(l *lease.RenewedLease) {
			free := lease.Record{Holder: "b", FencingNumber: 4, Renewal: 10, Released: true}
			l.Observe(lease.Read{Started: read, Ended: read, Revision: 8}, free, 8)
			l.Observe(lease.Read{Started: read + renewalSettings.HandoverGap, Ended: read + renewalSettings.HandoverGap, Revision: 8}, free, 8)
		}, read + renewalSettings.HandoverGap, lease.Acquire},
	} {
		t.Run(name, func(t *testing.T) {
			l := lease.NewRenewedLease(renewalSettings, "a")
			test.play(l)
			action, row, _ := l.NextWrite(test.at)
			qt.Check(t, action, qt.Equals, test.want)
			if test.want == lease.Acquire {
				qt.Check(t, row.Holder, qt.Equals, "a")
			}
		})
	}
}

// TestTermLostRenewal guards against a holder that stops acting although its renewal took effect and only the result was
// lost.
func TestTermLostRenewal(t *testing.T) {
	l := lease.NewRenewedLease(renewalSettings, "a")
	l.Observe(lease.Read{Started: 0, Ended: 0}, lease.Record{}, 0)
	_, row, _ := l.NextWrite(0)
	l.RecordWrite(row, 1, true)
	_, renewed, _ := l.NextWrite(time.Second)
	l.RecordWrite(renewed, 0, false)
	l.Observe(lease.Read{Started: 1500 * time.Millisecond, Ended: 1500 * time.Millisecond, Revision: 2}, renewed, 2)
	qt.Check(t, l.MayAct(2500*time.Millisecond), qt.IsTrue)
	qt.Check(t, l.MayAct(time.Second+renewalSettings.HoldDuration), qt.IsFalse)
}

// TestTermAfterStart guards against a process that waits after its start although the row's timestamp shows that the
// lease has expired, and against a takeover from a holder that wrote the row recently.
func TestTermAfterStart(t *testing.T) {
	for name, test := range map[string]struct {
		age  time.Duration
		want lease.Action
	}{
		"written 6 s ago":       {6 * time.Second, lease.Acquire},
		"written 5 s ago":       {5 * time.Second, lease.NoWrite},
		"written just now":      {0, lease.NoWrite},
		"written in the future": {-time.Hour, lease.NoWrite},
	} {
		t.Run(name, func(t *testing.T) {
			l := lease.NewRenewedLease(renewalSettings, "a")
			const clock = time.Hour
			row := lease.Record{Holder: "b", FencingNumber: 4, DecidedAt: (clock - test.age).Milliseconds()}
			l.Observe(lease.Read{Started: 0, Ended: 10 * time.Millisecond, Revision: 7, Clock: clock}, row, 7)
			action, _, _ := l.NextWrite(20 * time.Millisecond)
			qt.Check(t, action, qt.Equals, test.want)
		})
	}
}

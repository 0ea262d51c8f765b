package entry

import "time"

// operatorReads says how far the host has read the operator table, which contains the configuration and the evacuations. A row
// that is deleted while a host does not follow the table has no revision in a read of the whole table. Such a host therefore
// knows only a bound on the revision of the newest change.
type operatorReads struct {
	complete int64 // every change up to this revision of the store has been read
	bound    int64 // no change that has been read is newer; at least configRevision
}

// recordRead records that every change of the operator table up to a revision of the store is in force here.
func (a *storeAccess) recordRead(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.operatorReads.complete = max(a.operatorReads.complete, revision)
}

// recordWholeRead records a read of the whole operator table at a revision of the store: it may have replaced changes of any
// revision up to that one.
func (a *storeAccess) recordWholeRead(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.operatorReads.bound = max(a.operatorReads.bound, revision)
}

// completeTo returns the revision of the store up to which the operator table has been read.
func (a *storeAccess) completeTo() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.operatorReads.complete, a.configRevision)
}

// OperatorState returns what a lease holder reports of the operator table: a revision after which no change was known, and
// the store's clock when that was last confirmed; 0 if it never was.
func (a *storeAccess) OperatorState() (int64, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(a.operatorReads.bound, a.configRevision), a.configClock
}

// learnBound replaces the bound on the newest change by the one that a lease holder reports, unless the host has read the table
// since. The caller holds the lock.
func (a *storeAccess) learnBound(revision int64, clock time.Duration) {
	if clock >= a.configClock {
		a.operatorReads.bound = revision
	}
}

package entry

import (
	"magnoliahoist/platform"
	"magnoliahoist/table"
)

// replaceOperatorRows puts in force what a read of the whole operator table shows. Evacuations without a row have ended.
func (h *Host) replaceOperatorRows(rows []table.Row, revision int64) {
	h.mu.Lock()
	known := h.directory.EvacuatedDomains()
	h.mu.Unlock()
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		if domain, found := platform.DecodeEvacuation(row); found && !row.Deleted {
			present[domain] = true
		}
	}
	ended := map[string]bool{}
	for _, domain := range known {
		if !present[domain] {
			ended[domain] = false
		}
	}
	h.setEvacuations(ended, revision)
	h.applyOperatorRows(rows, revision)
	h.store.recordWholeRead(revision)
}

// applyOperatorRows puts in force what rows of the operator table say. Evacuations come before the configuration, so that a host
// that starts knows them when it becomes ready.
func (h *Host) applyOperatorRows(rows []table.Row, revision int64) {
	changes, newest := map[string]bool{}, int64(0)
	for _, row := range rows {
		if domain, found := platform.DecodeEvacuation(row); found {
			changes[domain], newest = !row.Deleted, max(newest, row.Revision)
		}
	}
	h.setEvacuations(changes, newest)
	h.applyConfiguration(rows, revision)
	h.store.SetConfigRevision(newest)
}

// setEvacuations records which failure domains are evacuated from now on and which are not.
func (h *Host) setEvacuations(changes map[string]bool, revision int64) {
	age := h.store.Silence()
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for domain, evacuated := range changes {
		if !h.directory.SetEvacuated(domain, evacuated) {
			continue
		}
		changed = true
		message := "entry: failure domain returned to service"
		if evacuated {
			message = "entry: failure domain evacuated"
		}
		h.log.Info(message, "domain", domain, "revision", table.VersionOf(revision), "source", h.operatorSource, "age", age.String())
	}
	if changed {
		h.publishEndpoints()
	}
}

// noteOperatorRead records that the operator table has been read up to a revision of the store. Later changes come from the store
// unless a report precedes them.
func (h *Host) noteOperatorRead(revision int64) {
	h.store.recordRead(revision)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operatorSource = storeSource
}

// countCold returns the number of endpoints that count as cold.
func (h *Host) countCold() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.ColdEndpoints(h.Now())
}

// countHeldBack returns the number of requests that were refused or not sent while engines were cold or evacuated.
func (h *Host) countHeldBack() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.HeldBackRequests()
}

// countEvacuated returns the number of evacuated failure domains.
func (h *Host) countEvacuated() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.directory.EvacuatedDomains())
}

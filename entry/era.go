package entry

// noteEra records the era in a response of the store, which rises when the store comes back from a backup.
func (a *storeAccess) noteEra(era int64) {
	a.mu.Lock()
	known := a.era
	a.era = max(a.era, era)
	a.mu.Unlock()
	if known > 0 && era > known {
		a.onRestored(known, era)
	}
}

// Era returns the newest known era of the store; 0 if the store has not reported one.
func (a *storeAccess) Era() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.era
}

// noteRestored logs that the store has come back from a backup.
func (h *Host) noteRestored(before, era int64) {
	h.log.Warn("entry: store was restored from a backup", "era", era, "before", before)
}

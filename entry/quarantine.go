package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goji.io/pat"

	"magnoliahoist/dispatch"
	"magnoliahoist/operator"
	"magnoliahoist/quarantine"
)

// serveQuarantine responds with the prompt parts under suspicion.
func (h *Host) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	now := h.Now()
	entries := h.state.Quarantine(now)
	h.mu.Unlock()
	parts := make([]operator.QuarantinedPart, 0, len(entries))
	for _, e := range entries {
		p := operator.QuarantinedPart{
			Pool: e.Part.Pool, Part: strconv.FormatUint(e.Part.ID, 16), Blocked: e.Blocked, Crashes: e.Crashes, Trials: e.Trials, Processes: e.Processes,
		}
		if e.Blocked {
			p.For = (e.Until - now).Round(time.Millisecond).String()
		}
		parts = append(parts, p)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(parts); err != nil {
		h.log.Warn("entry: unable to write the list of prompt parts", "error", err)
	}
}

// serveLift takes a prompt part to be sound. The other hosts learn of it with the next exchange of load.
func (h *Host) serveLift(w http.ResponseWriter, r *http.Request) {
	pool, text := pat.Param(r, "pool"), pat.Param(r, "part")
	id, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		http.Error(w, "part is not a hexadecimal number", http.StatusBadRequest)
		return
	}
	part := quarantine.Part{Pool: pool, ID: id}
	if !h.liftPart(part) {
		http.Error(w, "part is not under suspicion", http.StatusNotFound)
		return
	}
	h.log.Info("entry: an operator has lifted the suspicion of a prompt part", "pool", pool, "part", text)
	w.WriteHeader(http.StatusNoContent)
}

// liftPart takes a prompt part to be sound, and reports whether it was under suspicion.
func (h *Host) liftPart(part quarantine.Part) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.state.Quarantine(h.Now()) {
		if e.Part == part {
			h.apply(dispatch.EvidenceChanged{Evidence: quarantine.PartLifted{Part: part}})
			return true
		}
	}
	return false
}

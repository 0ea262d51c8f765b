package fakeengine

import (
	"encoding/json"
	"net/http"
)

// Error types in responses.
const (
	staleFencingNumber = "stale fence"
	staleSequence      = "stale sequence"
	fencingNotChecked  = "not fenced"
	outOfMemory        = "out of memory"
	notResident        = "not resident"
	notKept            = "not kept"
	badRequest         = "bad request"
	loadFailed         = "load failed"
)

// problem is an error response.
type problem struct {
	status  int    // HTTP status
	kind    string // one of the error types above
	message string
}

func (p *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"type": p.kind, "message": p.message}})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

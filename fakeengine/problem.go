package fakeengine

import (
	"encoding/json"
	"net/http"
)

// Types of errors in answers.
const (
	staleFence    = "stale fence"
	staleSequence = "stale sequence"
	notFenced     = "not fenced"
	noMemory      = "out of memory"
	notResident   = "not resident"
	notKept       = "not kept"
	badRequest    = "bad request"
	loadFailed    = "load failed"
)

// problem is a refusal with its status.
type problem struct {
	status int
	kind   string
	text   string
}

func (p *problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"type": p.kind, "message": p.text}})
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

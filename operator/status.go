package operator

import (
	"net/http"
	"strconv"

	"goji.io/pat"

	"magnoliahoist/document"
	"magnoliahoist/timeline"
)

// Health is the response of /health.
type Health struct {
	State State `json:"state"`
}

// getHealth handles /health, which load balancers poll. It responds with 200 while the host is serving and with 503 otherwise. A draining
// host responds with 503 from the start, although it still takes calls until load balancers have noticed.
func (s *Server) getHealth(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	status, err := s.backend.Status(r.Context())
	if err != nil {
		toFailure(err, false).write(w)
		return
	}
	code := http.StatusOK
	if status.State != Serving {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, Health{State: status.State})
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) error {
	status, err := s.backend.Status(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, status)
}

func (s *Server) getChange(w http.ResponseWriter, r *http.Request) error {
	text := pat.Param(r, "revision")
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 1 {
		return document.Problems{{Path: "revision", Value: strconv.Quote(text), Allowed: "a whole number, 1 or more"}}
	}
	change, err := s.backend.Change(r.Context(), revision)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, change)
}

func (s *Server) postDrain(w http.ResponseWriter, r *http.Request) error {
	if err := s.backend.Drain(r.Context()); err != nil {
		return err
	}
	s.log.Info("operator: drain started")
	return writeJSON(w, http.StatusAccepted, Health{State: Draining})
}

// getTimeline responds with the events of all hosts in one sequence, filtered and formatted as the query says.
func (s *Server) getTimeline(w http.ResponseWriter, r *http.Request) error {
	filter, format, err := parseTimelineQuery(r.URL.Query())
	if err != nil {
		return err
	}
	logs, err := s.backend.Timeline(r.Context())
	if err != nil {
		return err
	}
	events := filter.Select(timeline.Merge(logs))
	switch format {
	case "text":
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		timeline.WriteText(w, events) // an error means that the operator has gone
		return nil
	case "trace":
		w.Header().Set("Content-Type", "application/json")
		timeline.WriteTrace(w, events) // an error means that the operator has gone
		return nil
	}
	if events == nil {
		events = []timeline.Event{}
	}
	return writeJSON(w, http.StatusOK, map[string][]timeline.Event{"events": events})
}

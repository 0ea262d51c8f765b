package operator

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"magnoliahoist/document"
	"magnoliahoist/pool"
	"magnoliahoist/route"
)

// formatETag returns the entity tag for a revision of the configuration.
func formatETag(revision int64) string { return fmt.Sprintf(`"%d"`, revision) }

func (s *Server) getRoutes(w http.ResponseWriter, r *http.Request) error {
	routes, _, revision, err := s.backend.Tables(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set("ETag", formatETag(revision))
	return writeJSON(w, http.StatusOK, routes)
}

func (s *Server) getPools(w http.ResponseWriter, r *http.Request) error {
	_, pools, revision, err := s.backend.Tables(r.Context())
	if err != nil {
		return err
	}
	w.Header().Set("ETag", formatETag(revision))
	return writeJSON(w, http.StatusOK, pools)
}

func (s *Server) putRoutes(w http.ResponseWriter, r *http.Request) error {
	edit, data, err := readEdit(w, r, Routes)
	if err != nil {
		return err
	}
	if edit.Routes, err = route.Parse(data); err != nil {
		return err
	}
	return s.applyEdit(w, r, edit)
}

func (s *Server) putPools(w http.ResponseWriter, r *http.Request) error {
	edit, data, err := readEdit(w, r, Pools)
	if err != nil {
		return err
	}
	if edit.Pools, err = pool.Parse(data); err != nil {
		return err
	}
	return s.applyEdit(w, r, edit)
}

// readEdit reads the headers and the body of an edit of either table. An edit without an Idempotency-Key header gets a random id.
func readEdit(w http.ResponseWriter, r *http.Request, kind Kind) (Edit, []byte, error) {
	match := r.Header.Get("If-Match")
	if match == "" {
		return Edit{}, nil, &Failure{Status: http.StatusPreconditionRequired, Type: "precondition", Message: "the header If-Match is missing", Run: runNo}
	}
	revision, err := parseETag(match)
	if err != nil {
		return Edit{}, nil, err
	}
	id := r.Header.Get("Idempotency-Key")
	if id == "" {
		id = rand.Text()
	}
	if !document.ValidName(id) {
		return Edit{}, nil, document.Problems{{Path: "Idempotency-Key", Value: strconv.Quote(id), Allowed: document.AllowedName}}
	}
	w.Header().Set("Idempotency-Key", id)
	data, err := readBody(w, r)
	return Edit{Kind: kind, BaseRevision: revision, ID: id}, data, err
}

// parseETag parses a single strong entity tag and returns its revision. It refuses "*", which would allow overwriting another operator's
// edit unseen.
func parseETag(match string) (int64, error) {
	text, hasOpeningQuote := strings.CutPrefix(match, `"`)
	text, hasClosingQuote := strings.CutSuffix(text, `"`)
	revision, err := strconv.ParseInt(text, 10, 64)
	if !hasOpeningQuote || !hasClosingQuote || err != nil || revision < 0 {
		return 0, document.Problems{{Path: "If-Match", Value: strconv.Quote(match), Allowed: "the entity tag of a table"}}
	}
	return revision, nil
}

// applyEdit checks both tables together before it passes the edit to the backend. If this host's copy is newer than the revision that
// the edit is based on, it leaves the edit to the backend, which finds a conflict or the outcome of an earlier edit with the same id. If
// the copy is older, the tables can't be checked and the edit is refused.
func (s *Server) applyEdit(w http.ResponseWriter, r *http.Request, edit Edit) error {
	routes, pools, revision, err := s.backend.Tables(r.Context())
	if err != nil {
		return &Failure{Status: http.StatusServiceUnavailable, Type: "unavailable", Message: err.Error(), Run: runNo}
	}
	if revision < edit.BaseRevision {
		message := fmt.Sprintf("this host knows version %d only", revision)
		return &Failure{Status: http.StatusServiceUnavailable, Type: "unavailable", Message: message, Run: runNo}
	}
	if revision == edit.BaseRevision {
		if edit.Kind == Routes {
			routes = edit.Routes
		} else {
			pools = edit.Pools
		}
		if err := pool.CheckRoutes(routes, pools); err != nil {
			return err
		}
	}
	change, err := s.backend.Edit(r.Context(), edit)
	if err != nil {
		return err
	}
	s.log.Info("operator: table edited", "table", edit.Kind, "edit", edit.ID, "revision", change.Revision, "accepted", change.Accepted)
	w.Header().Set("ETag", formatETag(change.Revision))
	return writeChange(w, change, http.StatusOK, change)
}

// writeChange responds with acceptedStatus if the change was accepted, or else with 202 and the location of the change's progress.
func writeChange(w http.ResponseWriter, change Change, acceptedStatus int, body any) error {
	if change.Accepted {
		return writeJSON(w, acceptedStatus, body)
	}
	w.Header().Set("Location", fmt.Sprintf("/v1/changes/%d", change.Revision))
	return writeJSON(w, http.StatusAccepted, body)
}

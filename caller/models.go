package caller

import (
	"encoding/json"
	"net/http"

	"magnoliahoist/route"
	"magnoliahoist/state"
)

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels handles /v1/models. It lists the models that the caller may use, without a key those of open routes.
func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	if !s.backend.Fresh() {
		refusalFor(state.HostStale, state.RunNo, 0).write(w)
		return
	}
	view := s.backend.View()
	accountName := ""
	if key := bearerKey(r); key != "" {
		known, issued := view.KeyByDigest(keyDigest(key))
		if !issued || known.Withdrawn {
			refusalFor(state.UnknownKey, state.RunNo, 0).write(w)
			return
		}
		accountName = known.Account
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, entry := range view.Routes() {
		if entry.Kind == route.Model && entry.Allows(accountName) {
			list.Data = append(list.Data, modelEntry{entry.Name, "model", entry.Pool})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

package operator

import (
	"net/http"
	"regexp"
	"slices"
	"strconv"

	"goji.io/pat"

	"magnoliahoist/account"
	"magnoliahoist/document"
)

// maxLabelBytes bounds the label of a key.
const maxLabelBytes = 200

// digestPattern matches the digest of a key, which is also its id.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// KeyRequest asks for a new key.
type KeyRequest struct {
	Account string `json:"account"`
	Label   string `json:"label,omitempty"` // at most maxLabelBytes
}

// IssuedKey is the response with a new key. The key itself is in no other response.
type IssuedKey struct {
	ID     string `json:"id"` // digest of the key
	Key    string `json:"key"`
	Change Change `json:"change"`
}

func (s *Server) issueKey(w http.ResponseWriter, r *http.Request) error {
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	var request KeyRequest
	if err := document.Decode(data, &request); err != nil {
		return err
	}
	if err := s.checkKeyRequest(r, request); err != nil {
		return err
	}
	secret := account.NewKey()
	key := account.Key{Digest: account.Digest(secret), Account: request.Account, Label: request.Label}
	change, err := s.backend.IssueKey(r.Context(), key)
	if err != nil {
		return err
	}
	s.log.Info("operator: key issued", "digest", key.Digest, "account", key.Account)
	return writeChange(w, change, http.StatusCreated, IssuedKey{ID: key.Digest, Key: secret, Change: change})
}

// checkKeyRequest checks that the account exists and the label is not too long.
func (s *Server) checkKeyRequest(r *http.Request, request KeyRequest) error {
	routes, _, _, err := s.backend.Tables(r.Context())
	if err != nil {
		return &Failure{Status: http.StatusServiceUnavailable, Type: "unavailable", Message: err.Error(), Run: runNo}
	}
	var c document.Checker
	accountExists := slices.ContainsFunc(routes.Accounts, func(a account.Account) bool { return a.Name == request.Account })
	c.Require(accountExists, "account", request.Account, "an account of the routes table")
	c.Require(len(request.Label) <= maxLabelBytes, "label", request.Label, "up to "+strconv.Itoa(maxLabelBytes)+" bytes")
	return c.Err()
}

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) error {
	keys, err := s.backend.Keys(r.Context())
	if err != nil {
		return err
	}
	if keys == nil {
		keys = []account.Key{}
	}
	return writeJSON(w, http.StatusOK, map[string][]account.Key{"keys": keys})
}

func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) error {
	id := pat.Param(r, "id")
	if !digestPattern.MatchString(id) {
		// The response must not contain the value, which may be the key itself in place of its id.
		return document.Problems{{Path: "id", Value: "(hidden)", Allowed: "the id of a key, 64 hexadecimal digits"}}
	}
	change, err := s.backend.WithdrawKey(r.Context(), id)
	if err != nil {
		return err
	}
	s.log.Info("operator: key withdrawn", "digest", id, "revision", change.Revision, "accepted", change.Accepted)
	return writeChange(w, change, http.StatusOK, change)
}

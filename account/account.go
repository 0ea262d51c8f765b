// Package account holds client accounts and the keys that their callers present.
package account

// Account is one client account with its allowance over the whole fleet.
type Account struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // tokens a second
	Burst int64   `json:"burst"` // tokens
}

// Package account defines client accounts and their keys.
package account

// Account is a client account with its rate limit over all hosts.
type Account struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`  // tokens per second
	Burst int64   `json:"burst"` // tokens that may be spent at once
}

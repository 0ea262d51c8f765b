package account

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 24

// keyPrefix marks keys so that scanners for leaked credentials can find them.
const keyPrefix = "mh-"

// Key is what is stored of a key: its digest, never the key itself.
type Key struct {
	Digest    string `json:"digest"`
	Account   string `json:"account"`
	Label     string `json:"label,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// WithWithdrawn returns the key as withdrawn.
func (k Key) WithWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// Digest returns the digest under which a key is stored.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey returns a new random key.
func NewKey() string {
	random := make([]byte, keyBytes)
	rand.Read(random) // never fails since Go 1.24
	return keyPrefix + hex.EncodeToString(random)
}

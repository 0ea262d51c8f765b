package account

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 24

// keyPrefix lets scanners for leaked credentials recognize keys.
const keyPrefix = "mh-"

// Key is the stored record of a key. It contains the digest of the key and never the key itself.
type Key struct {
	Digest    string `json:"digest"`  // as Digest returns it
	Account   string `json:"account"` // name of the client account
	Label     string `json:"label,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
}

// AsWithdrawn returns a copy of the key that is marked as withdrawn.
func (k Key) AsWithdrawn() Key {
	k.Withdrawn = true
	return k
}

// Digest returns the SHA-256 digest of a key in hexadecimal, under which the key is stored.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey generates a random key.
func NewKey() string {
	random := make([]byte, keyBytes)
	rand.Read(random) // never fails since Go 1.24
	return keyPrefix + hex.EncodeToString(random)
}

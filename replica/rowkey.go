package replica

// Prefix is the common prefix of all replicated rows.
const Prefix = "fleet/"

// Key of the head row, and key prefixes of the other kinds of rows.
const (
	keyHead          = Prefix + "head"
	prefixAccount    = Prefix + "account/"
	prefixRoute      = Prefix + "route/"
	prefixPool       = Prefix + "pool/"
	prefixAccountKey = Prefix + "key/"
	prefixMember     = Prefix + "member/"
	prefixShare      = Prefix + "share/"
	prefixLease      = Prefix + "lease/"
)

// KeyForHead returns the key of the head row.
func KeyForHead() string { return keyHead }

// KeyForAccount returns the key of an account's row.
func KeyForAccount(name string) string { return prefixAccount + name }

// KeyForRoute returns the key of a route's row.
func KeyForRoute(name string) string { return prefixRoute + name }

// KeyForPool returns the key of a pool's row.
func KeyForPool(name string) string { return prefixPool + name }

// KeyForAccountKey returns the key of the row of the account key with the digest.
func KeyForAccountKey(digest string) string { return prefixAccountKey + digest }

// KeyForMember returns the key of a member's row.
func KeyForMember(id string) string { return prefixMember + id }

// KeyForShare returns the key of an account's share row.
func KeyForShare(account string) string { return prefixShare + account }

// KeyForLease returns the key of a pool's lease row.
func KeyForLease(pool string) string { return prefixLease + pool }

package document

import "regexp"

// AllowedName describes the names that ValidName accepts.
const AllowedName = "a letter or digit, then up to 62 letters, digits, '.', '_' or '-'"

// namePattern matches names that need no escaping in row keys, URL paths and header fields.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether the text is a name that needs no escaping in row keys, URL paths and header fields.
func ValidName(text string) bool { return namePattern.MatchString(text) }

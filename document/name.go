package document

import "regexp"

// AllowedName says which names are accepted.
const AllowedName = "a letter or digit, then up to 62 letters, digits, '.', '_' or '-'"

// name keeps names usable as they are in row keys, URL paths and header fields.
var name = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether the text is a safe name.
func ValidName(text string) bool { return name.MatchString(text) }

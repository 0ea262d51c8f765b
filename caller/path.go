package caller

import (
	"path"
	"strings"
)

// cleanPath returns the path without empty and dot segments; a trailing slash stays.
func cleanPath(p string) string {
	cleaned := path.Clean(p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return cleaned
}

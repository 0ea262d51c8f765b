package caller

import (
	"path"
	"strings"
)

// cleanPath returns the path without empty and dot segments. It keeps a trailing slash, which path.Clean removes.
func cleanPath(p string) string {
	cleaned := path.Clean(p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return cleaned
}

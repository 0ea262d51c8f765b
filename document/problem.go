// Package document decodes JSON documents strictly and reports every problem with its place.
package document

import (
	"fmt"
	"strconv"
	"strings"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	File    string `json:"file,omitempty"` // empty when the document did not come from a file
	Path    string `json:"path"`           // for example routes[2].pool
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error tells where the problem is, what stands there and what may stand there.
func (p Problem) Error() string {
	place := p.Path
	if place == "" {
		place = "document"
	}
	if p.File != "" {
		place = p.File + ": " + place
	}
	return fmt.Sprintf("%s: %s is not allowed: %s", place, p.Value, p.Allowed)
}

// Problems are all problems found in one document; as an error it lists them, one a line.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns the problems with the name of the file set.
func (p Problems) WithFile(file string) Problems {
	named := make(Problems, len(p))
	for i, one := range p {
		one.File = file
		named[i] = one
	}
	return named
}

// Checker collects problems.
type Checker struct {
	problems Problems
}

// Require records a problem when the condition does not hold.
func (c *Checker) Require(holds bool, path string, value any, allowed string) {
	if holds {
		return
	}
	shown := fmt.Sprint(value)
	if text, ok := value.(string); ok {
		shown = strconv.Quote(text)
	}
	c.problems = append(c.problems, Problem{Path: path, Value: shorten(shown), Allowed: allowed})
}

// Err returns the problems found, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

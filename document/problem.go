// Package document decodes JSON documents strictly and reports all their problems, each with its location.
package document

import (
	"fmt"
	"strconv"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	File    string `json:"file,omitempty"` // name of the file; empty if the document is not from a file
	Path    string `json:"path"`           // for example routes[2].pool, or the line and column of malformed JSON; empty for the whole document
	Value   string `json:"value"`          // what was found, truncated
	Allowed string `json:"allowed"`        // description of the accepted values
}

// Error returns the location of the problem, the value found and the values allowed.
func (p Problem) Error() string {
	location := p.Path
	if location == "" {
		location = "document"
	}
	if p.File != "" {
		location = p.File + ": " + location
	}
	return fmt.Sprintf("%s: %s is not allowed: %s", location, p.Value, p.Allowed)
}

// Problems is the list of all problems found, as an error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns a copy of the problems with the file name set.
func (p Problems) WithFile(file string) Problems {
	named := make(Problems, len(p))
	for i, problem := range p {
		problem.File = file
		named[i] = problem
	}
	return named
}

// Checker collects the problems of a decoded document. The zero value is ready to use.
type Checker struct {
	problems Problems
}

// Require records a problem at path if the condition does not hold. The text allowed describes the accepted values.
func (c *Checker) Require(holds bool, path string, value any, allowed string) {
	if holds {
		return
	}
	shown := fmt.Sprint(value)
	if text, ok := value.(string); ok {
		shown = strconv.Quote(text)
	}
	c.problems = append(c.problems, Problem{Path: path, Value: truncate(shown), Allowed: allowed})
}

// Err returns the recorded problems as an error of type Problems, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

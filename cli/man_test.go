package cli_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against commands and flags that are missing in the man page.
func TestManPage(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("../man/magnoliahoist.1")
	c.Assert(err, qt.IsNil)
	page := strings.ReplaceAll(string(data), `\-`, "-")
	status, help, _ := runCommand("--help")
	c.Assert(status, qt.Equals, 0)
	commands := regexp.MustCompile(`(?m)^  ([a-z]+(?: [a-z]+)?)  +[A-Z]`).FindAllStringSubmatch(help, -1)
	c.Assert(len(commands) > 10, qt.IsTrue)
	for _, command := range commands {
		c.Check(page, qt.Contains, command[1])
		_, flags, _ := runCommand(append(strings.Fields(command[1]), "--help")...)
		for _, flag := range regexp.MustCompile(`--[a-z]+`).FindAllString(flags, -1) {
			c.Check(page, qt.Contains, flag, qt.Commentf("of %s", command[1]))
		}
	}
}

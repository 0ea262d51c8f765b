// Command driver runs the cases of the review: it starts the entry hosts as separate processes, plays clients, servers and the
// platform, and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(s *site, trouble bool) bool{
	"idle": idleConnections,
}

func main() {
	os.Exit(run())
}

// run runs the case named by the first argument, in the repository of the second, with the record of the third.
func run() (code int) {
	defer func() {
		if p := recover(); p != nil {
			setup, ok := p.(errSetup)
			if !ok {
				panic(p)
			}
			fmt.Println(setup)
			code = 2
		}
	}()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fail("usage: driver CASE REPOSITORY RECORD")
	}
	s := newSite(os.Args[2], os.Args[3])
	defer s.stop()
	if cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0") {
		s.say("rule broken")
		return 1
	}
	s.say("rule held")
	return 0
}

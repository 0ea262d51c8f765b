package replica_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed and longer runs, unless the command line names others.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20260", "rapid.steps": "120", "rapid.checks": "1500"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

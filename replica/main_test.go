package replica_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain sets a fixed seed and the number and length of rapid's runs, which flags on the command line override.
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

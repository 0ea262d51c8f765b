package state

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed makes the property tests the same in every run.
const seed = "20265"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"seed": seed, "checks": "1000", "steps": "80", "nofailfile": "true"} {
		fmt.Println("rapid", name, value, flag.Set("rapid."+name, value))
	}
	os.Exit(m.Run())
}

package state

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed is fixed so that the property tests run the same steps every time.
const seed = "20265"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"seed": seed, "checks": "1000", "steps": "80", "nofailfile": "true"} {
		fmt.Println("rapid", name, value, flag.Set("rapid."+name, value))
	}
	os.Exit(m.Run())
}

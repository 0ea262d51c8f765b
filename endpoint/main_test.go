package endpoint

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// init gives rapid a fixed seed; the command line may name another.
func init() {
	if err := flag.Set("rapid.seed", "20260"); err != nil {
		panic(err)
	}
}

// TestMain prints the seed of the property tests, so that a failure can be repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

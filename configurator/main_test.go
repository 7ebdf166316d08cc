package configurator

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the same
// verdict; -rapid.seed on the command line still goes before it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

package bundle

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	err := flag.Set("rapid.seed", "1")
	if err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

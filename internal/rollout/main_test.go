package rollout

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests unless one is given by
// -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

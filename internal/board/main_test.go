package board

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests, so that every run gives the same verdict, and keeps them from writing.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

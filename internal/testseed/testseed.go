// Package testseed makes the results of randomized tests reproducible. Only tests import it.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Main runs a package's tests and exits. Tests that use rapid have a fixed seed and write no failure files.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

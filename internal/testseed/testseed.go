// Package testseed makes random tests give the same verdict every time. Only tests import it.
package testseed

import (
	"flag"
	"fmt"
	"os"
	"testing"

	_ "pgregory.net/rapid" // its flags
)

// Main runs a package's tests with the random ones on a fixed seed and writing no files.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, name, err)
			os.Exit(1)
		}
	}
	os.Exit(m.Run())
}

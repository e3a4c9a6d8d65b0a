package lease

import (
	"testing"

	"spantack/internal/testfixture"
)

// The field tree of the section fleet of a features file.
func TestStoredTopologyIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/topology.json", " ",
		Topology{Routers: 12001, GroupSizes: []int{16, 512}, Electors: []int{0, 2200, 4400}})
}

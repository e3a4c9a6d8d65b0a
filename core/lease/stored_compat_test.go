package lease

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of the JSON format of the field "tree" in the section "fleet" of the features file.
func TestStoredTopologyCompat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/topology.json", " ",
		Topology{Routers: 12001, GroupSizes: []int{16, 512}, Electors: []int{0, 2200, 4400}})
}

package hierarchy

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of the format of the section "shape" of a features file.
func TestStoredTopologyFormatIsUnchanged(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/shape.json", " ", Topology{
		Version: 10,
		Origin:  Origin{Name: "head-office", CapacityKBPerS: 60001},
		ParentGroups: []ParentGroup{
			{Name: "west", ServerPrefixes: []string{"area-w", "area-v"}, MissRatio: 0.375},
			{Name: "east", ServerPrefixes: []string{"area-e"}},
		},
		Sites: []Site{
			{Name: "depot-1", PeakFillKBPerS: 9002},
		},
		Links: []Link{
			{
				From:           "depot-1",
				To:             "west",
				CapacityKBPerS: 12003,
				RTTMillis:      9,
			},
			{
				From:           "depot-1",
				To:             "east",
				CapacityKBPerS: 4004,
				RTTMillis:      30,
			},
			{
				From:           "depot-1",
				To:             "head-office",
				CapacityKBPerS: 1005,
				RTTMillis:      45,
			},
			{
				From:           "west",
				To:             "head-office",
				CapacityKBPerS: 60006,
				RTTMillis:      20,
			},
			{
				From:           "east",
				To:             "head-office",
				CapacityKBPerS: 60007,
			},
		},
	})
}

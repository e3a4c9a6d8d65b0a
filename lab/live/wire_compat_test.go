package live

import (
	"testing"

	"spantack/internal/testfixture"
)

// The file result.json of spanlab live run.
func TestStoredResultIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/result.json", " ", Result{
		Scenario: "s1",
		Routers:  2,
		Seed:     3,
		Limit:    4,
		Floors:   5,
		Steps: []Kept{
			{
				Step:     "s6",
				Most:     7,
				Bound:    8,
				Fills:    9,
				TookS:    10.5,
				Fault:    "s11",
				Named:    12,
				Tries:    13,
				TriesMay: 14,
			},
			{
				Step:     "s15",
				Most:     16,
				Bound:    17,
				Fills:    18,
				TookS:    19.5,
				Fault:    "s20",
				Named:    21,
				Tries:    22,
				TriesMay: 23,
			},
		},
		Served:   24,
		Refused:  25,
		Failed:   26,
		Lost:     27,
		Wrong:    28,
		Overlaps: 29,
		Longest:  30,
	})
}

package hierarchy

import (
	"testing"

	"spantack/internal/testfixture"
)

// The section shape of a features file.
func TestStoredShapeIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/shape.json", " ", Shape{
		Version: 10,
		Head:    Head{Name: "head-office", KbPerS: 60001},
		Areas: []Area{
			{Name: "west", Servers: []string{"area-w", "area-v"}, Miss: 0.375},
			{Name: "east", Servers: []string{"area-e"}},
		},
		Depots: []Depot{
			{Name: "depot-1", KbPerS: 9002},
		},
		Ways: []Way{
			{
				From:   "depot-1",
				To:     "west",
				KbPerS: 12003,
				Ms:     9,
			},
			{
				From:   "depot-1",
				To:     "east",
				KbPerS: 4004,
				Ms:     30,
			},
			{
				From:   "depot-1",
				To:     "head-office",
				KbPerS: 1005,
				Ms:     45,
			},
			{
				From:   "west",
				To:     "head-office",
				KbPerS: 60006,
				Ms:     20,
			},
			{
				From:   "east",
				To:     "head-office",
				KbPerS: 60007,
			},
		},
	})
}

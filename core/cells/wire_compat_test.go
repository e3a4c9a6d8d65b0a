package cells

import (
	"testing"

	"spantack/internal/testfixture"
)

// The section cells of a features file.
func TestStoredSpecIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/spec.json", " ", Spec{
		Version: 7,
		Scheme:  "overflow",
		Spare:   "spare",
		Cells: []Cell{
			{Name: "north", Share: 0.5, Spill: "south"},
			{Name: "south", Share: 0.25},
			{Name: "spare", Share: 0.125},
		},
		Tenants: []Tenant{
			{
				Name:   "vending",
				Cell:   "north",
				Depots: map[string]string{"depot-1": "south"},
				Weight: 3,
			},
			{
				Name: "tablets",
				Cell: "south",
			},
		},
		Keys: []Key{
			{
				Families: []int{4, 99},
				Class:    "page",
				Prefix:   "00ab",
				Named:    "acme",
				Tenant:   "vending",
			},
			{
				Tenant: "tablets",
			},
		},
		Budget: Budget{
			RequestsPerS: 11,
			FillKbPerS:   12,
			ParentKbPerS: 13,
			OriginKbPerS: 14,
			OriginOpen:   15,
			Open:         16,
			WritesPerS:   17,
			GiveMs:       18,
		},
	})
}

// The log line cells of a router holds parts of a picture.
func TestLoggedPictureIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/picture.json", "", Picture{
		Version: 1,
		Stats: Stats{
			Admitted: 2,
			Spilled:  3,
			Refused:  [11]int64{4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14},
			Moved:    15,
			Kept:     16,
		},
		Cells: []CellNow{
			{
				Name:    "s17",
				Live:    true,
				Caches:  []string{"s18", "s19"},
				Open:    20,
				Tenants: 21.5,
				Level:   22.5,
			},
			{
				Name:    "s23",
				Live:    true,
				Caches:  []string{"s24", "s25"},
				Open:    26,
				Tenants: 27.5,
				Level:   28.5,
			},
		},
		Heavy: []HeavyNow{
			{Name: "s29", Cell: "s30", Used: 31.5},
			{Name: "s32", Cell: "s33", Used: 34.5},
		},
		Objects: []Hitter{
			{Key: "s35", Count: 36.5, Over: 37.5},
			{Key: "s38", Count: 39.5, Over: 40.5},
		},
	})
}

// The log line moves of a router holds these.
func TestLoggedMovesAreReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/moves.json", "", []MoveNow{
		{
			Tenant: "s1",
			From:   "s2",
			To:     "s3",
			Phase:  "s4",
			Share:  5.5,
			Least:  6.5,
			Most:   7.5,
		},
		{
			Tenant: "s8",
			From:   "s9",
			To:     "s10",
			Phase:  "s11",
			Share:  12.5,
			Least:  13.5,
			Most:   14.5,
		},
	})
}

// The log line stage of a router holds this.
func TestLoggedStageIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/stage.json", "", StageNow{Name: "s1", Version: 2, Rings: []RingNow{
		{
			Cells:    []string{"s3", "s4"},
			State:    "s5",
			By:       "s6",
			Evidence: []float64{7.5, 8.5},
		},
		{
			Cells:    []string{"s9", "s10"},
			State:    "s11",
			By:       "s12",
			Evidence: []float64{13.5, 14.5},
		},
	}})
}

// The log line demand of a router holds these, and spanctl reads lists of them.
func TestLoggedDemandIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/demand.json", "", []Demand{
		{Name: "s1", Loads: []float64{2.5, 3.5}, Worth: 4.5},
		{Name: "s5", Loads: []float64{6.5, 7.5}, Worth: 8.5},
	})
}

package cells

import (
	"testing"

	"spantack/internal/testfixture"
)

// Section "cells" of the features file (internal/features) is a Spec, whose JSON format must stay the same.
func TestSpecJSONFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/spec.json", " ", Spec{
		Version:      7,
		Scheme:       "overflow",
		OverflowCell: "spare",
		Cells: []Cell{
			{Name: "north", Share: 0.5, FallbackCell: "south"},
			{Name: "south", Share: 0.25},
			{Name: "spare", Share: 0.125},
		},
		Tenants: []Tenant{
			{
				Name:       "vending",
				Cell:       "north",
				CellBySite: map[string]string{"depot-1": "south"},
				Weight:     3,
			},
			{
				Name: "tablets",
				Cell: "south",
			},
		},
		TenantKeys: []TenantKey{
			{
				PurgeGroupRange: []int{4, 99},
				Class:           "page",
				ObjectPrefix:    "00ab",
				DeclaredTenant:  "acme",
				Tenant:          "vending",
			},
			{
				Tenant: "tablets",
			},
		},
		Budget: Budget{
			RequestsPerSecond:    11,
			FillKBPerSecond:      12,
			ParentKBPerSecond:    13,
			OriginKBPerSecond:    14,
			MaxOriginFills:       15,
			MaxOpenRequests:      16,
			UncacheablePerSecond: 17,
			ReclaimMillis:        18,
		},
	})
}

// The log record "cells" of a router contains parts of a Status, whose JSON format must stay the same.
func TestStatusJSONFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/picture.json", "", Status{
		Version: 1,
		Stats: Stats{
			Admitted:     2,
			FellBack:     3,
			Rejected:     [11]int64{4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14},
			Migrated:     15,
			KeptInSource: 16,
		},
		Cells: []CellStatus{
			{
				Name:            "s17",
				HasHealthyCache: true,
				Caches:          []string{"s18", "s19"},
				OpenRequests:    20,
				ActiveTenants:   21.5,
				FairShareLimit:  22.5,
			},
			{
				Name:            "s23",
				HasHealthyCache: true,
				Caches:          []string{"s24", "s25"},
				OpenRequests:    26,
				ActiveTenants:   27.5,
				FairShareLimit:  28.5,
			},
		},
		HeavyTenants: []HeavyTenant{
			{Name: "s29", Cell: "s30", Usage: 31.5},
			{Name: "s32", Cell: "s33", Usage: 34.5},
		},
		HeavyObjects: []HeavyHitter{
			{Key: "s35", Count: 36.5, MaxOvercount: 37.5},
			{Key: "s38", Count: 39.5, MaxOvercount: 40.5},
		},
	})
}

// The log record "moves" of a router contains a list of MigrationStatus, whose JSON format must stay the same.
func TestMigrationStatusJSONFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/moves.json", "", []MigrationStatus{
		{
			Tenant:   "s1",
			From:     "s2",
			To:       "s3",
			Phase:    "s4",
			Share:    5.5,
			MinShare: 6.5,
			MaxShare: 7.5,
		},
		{
			Tenant:   "s8",
			From:     "s9",
			To:       "s10",
			Phase:    "s11",
			Share:    12.5,
			MinShare: 13.5,
			MaxShare: 14.5,
		},
	})
}

// The log record "stage" of a router contains a RolloutStatus, whose JSON format must stay the same.
func TestRolloutStatusJSONFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/stage.json", "", RolloutStatus{Name: "s1", Version: 2, Rings: []RingStatus{
		{
			Cells:        []string{"s3", "s4"},
			State:        "s5",
			HarmedMetric: "s6",
			Evidence:     []float64{7.5, 8.5},
		},
		{
			Cells:        []string{"s9", "s10"},
			State:        "s11",
			HarmedMetric: "s12",
			Evidence:     []float64{13.5, 14.5},
		},
	}})
}

// The log record "demand" of a router contains a list of TenantDemand, and spanctl reads such lists, so their JSON
// format must stay the same.
func TestTenantDemandJSONFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/demand.json", "", []TenantDemand{
		{Name: "s1", Loads: []float64{2.5, 3.5}, PriorityWeight: 4.5},
		{Name: "s5", Loads: []float64{6.5, 7.5}, PriorityWeight: 8.5},
	})
}

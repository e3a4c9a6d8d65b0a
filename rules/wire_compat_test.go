package rules

import (
	"testing"

	"spantack/internal/testfixture"
)

// The settings of a router keep the names that the platform gives them.
func TestStoredSettingsAreReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/settings.json", "", Settings{
		Classes: []Class{
			{
				Name:        "s1",
				AimStretch:  2.5,
				Deadline:    3,
				Promise:     4,
				Gain:        5.5,
				LateWorth:   6.5,
				Group:       "s7",
				Idempotency: "s8",
				MemorySpan:  9,
				Stream:      true,
			},
			{
				Name:        "s10",
				AimStretch:  11.5,
				Deadline:    12,
				Promise:     13,
				Gain:        14.5,
				LateWorth:   15.5,
				Group:       "s16",
				Idempotency: "s17",
				MemorySpan:  18,
				Stream:      true,
			},
		},
		Discovery: "s19",
		Extra: Extra{
			FreshFor:          []int64{20, 21},
			GraceFor:          []int64{22, 23},
			HeedWithin:        24,
			MasterKind:        25,
			MultiPart:         []bool{true, true},
			Neighbours:        "s26",
			NotesGiven:        "s27",
			PaceKbPerS:        28.5,
			ParentFloor:       29.5,
			ParentWarmsIn:     30,
			PassOn:            []bool{true, true},
			PurgeTakes:        31,
			SeatsByZone:       []int{32, 33},
			SharesFills:       true,
			ShieldKind:        34,
			StaleEarns:        []float64{35.5, 36.5},
			Straight:          true,
			TransitPrice:      37.5,
			UpperFallMultiple: 38.5,
			ZoneLinkKbPerS:    []float64{39.5, 40.5},
		},
		Guarantees: Guarantees{
			AskWithin:         41,
			Cold:              42,
			ColdFrom:          43.5,
			Fall:              44,
			GraceToAnswer:     45,
			StopSendingWithin: 46,
			TipMultiple:       47.5,
		},
		Kinds: []string{"s48", "s49"},
		Permissions: Permissions{
			Cancelling:    true,
			DialTimeout:   50,
			MaxAttempts:   51,
			MaxRetryAfter: 52,
			Probing:       true,
			RetryAfter:    true,
			SecondCopies:  true,
		},
		Prices:   Prices{Origin: 53.5, Probe: 54.5, Waste: 55.5},
		Report:   Report{Fields: []string{"s56", "s57"}, How: "s58"},
		Siblings: 59,
		Tenants: []Tenant{
			{Name: "s60", QuotaPerS: 61.5, Share: 62.5},
			{Name: "s63", QuotaPerS: 64.5, Share: 65.5},
		},
		WeightSource:   "s66",
		Zone:           "s67",
		Zones:          []string{"s68", "s69"},
		OverShareWorth: 70.5,
	})
}

// The beliefs that one process saves are read by one of another release.
func TestStoredBeliefsAreReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/beliefs.json", "", Beliefs{
		At: 1,
		Nodes: []NodeBelief{
			{
				Name:     "s2",
				CameUp:   3,
				Limit:    4.5,
				CutAt:    5,
				MissPart: 6.5,
				Answered: 7.5,
				Answers:  Rate{Sum: 8.5, At: 9},
				Work:     Rate{Sum: 10.5, At: 11},
				Spent: []Spent{
					{At: 12, Work: 13.5},
					{At: 14, Work: 15.5},
				},
				DrawnAt: 16,
				Luck:    17.5,
				Until:   18,
				Dead:    true,
				Weights: [8]float64{19.5, 20.5, 21.5, 22.5, 23.5, 24.5, 25.5, 26.5},
				Failed:  [8]float64{27.5, 28.5, 29.5, 30.5, 31.5, 32.5, 33.5, 34.5},
				Next:    35,
			},
			{
				Name:     "s36",
				CameUp:   37,
				Limit:    38.5,
				CutAt:    39,
				MissPart: 40.5,
				Answered: 41.5,
				Answers:  Rate{Sum: 42.5, At: 43},
				Work:     Rate{Sum: 44.5, At: 45},
				Spent: []Spent{
					{At: 46, Work: 47.5},
					{At: 48, Work: 49.5},
				},
				DrawnAt: 50,
				Luck:    51.5,
				Until:   52,
				Dead:    true,
				Weights: [8]float64{53.5, 54.5, 55.5, 56.5, 57.5, 58.5, 59.5, 60.5},
				Failed:  [8]float64{61.5, 62.5, 63.5, 64.5, 65.5, 66.5, 67.5, 68.5},
				Next:    69,
			},
		},
		Behind: NodeBelief{
			Name:     "s70",
			CameUp:   71,
			Limit:    72.5,
			CutAt:    73,
			MissPart: 74.5,
			Answered: 75.5,
			Answers:  Rate{Sum: 76.5, At: 77},
			Work:     Rate{Sum: 78.5, At: 79},
			Spent: []Spent{
				{At: 80, Work: 81.5},
				{At: 82, Work: 83.5},
			},
			DrawnAt: 84,
			Luck:    85.5,
			Until:   86,
			Dead:    true,
			Weights: [8]float64{87.5, 88.5, 89.5, 90.5, 91.5, 92.5, 93.5, 94.5},
			Failed:  [8]float64{95.5, 96.5, 97.5, 98.5, 99.5, 100.5, 101.5, 102.5},
			Next:    103,
		},
		Peak: []float64{104.5, 105.5},
		Classes: []ClassBelief{
			{Name: "s106", SendMean: 107.5, Tail: 108.5},
			{Name: "s109", SendMean: 110.5, Tail: 111.5},
		},
		Recent: map[string]int{"s112": 113, "s114": 115},
		Spare:  116.5,
	})
}

package scenario

import (
	"testing"

	"spantack/internal/testfixture"
)

// The format of result.json, as spanlab scenario run writes it, does not change. Every field is set.
func TestStoredResultRoundTrip(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/result.json", " ", Result{
		Scenario: "s1",
		Routers:  2,
		Seed:     3,
		Limit:    4,
		FloorSum: 5,
		Steps: []StepResult{
			{
				Step:              "s6",
				MaxInFlight:       7,
				Bound:             8,
				Fills:             9,
				TookSeconds:       10.5,
				UnmetCondition:    "s11",
				FailedParentFills: 12,
				MaxDials:          13,
				DialBound:         14,
			},
			{
				Step:              "s15",
				MaxInFlight:       16,
				Bound:             17,
				Fills:             18,
				TookSeconds:       19.5,
				UnmetCondition:    "s20",
				FailedParentFills: 21,
				MaxDials:          22,
				DialBound:         23,
			},
		},
		Served:           24,
		Rejected:         25,
		Failed:           26,
		Lost:             27,
		WrongBody:        28,
		Overlaps:         29,
		MaxDatagramBytes: 30,
	})
}

// The format of a scenario file does not change. Every field is set.
func TestStoredScenarioRoundTrip(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/scenario.json", " ", Scenario{
		Title:                 "s2",
		OriginFillsPerRouter:  3.5,
		FloorShare:            4.5,
		Sites:                 5,
		HasVerdicts:           true,
		GroupSize:             6,
		CacheDelayMillis:      7.5,
		RequestIntervalMillis: 8.5,
		Conditions: Conditions{
			LossRate:              9.5,
			DuplicateRate:         10.5,
			DelayMillis:           11.5,
			JitterMillis:          12.5,
			ContiguousPartitions:  13,
			InterleavedPartitions: 14,
			Isolated:              "s15",
			PartitionFlips:        16,
		},
		Steps: []Step{
			{
				Name: "s17",
				Conditions: &Conditions{
					LossRate:              18.5,
					DuplicateRate:         19.5,
					DelayMillis:           20.5,
					JitterMillis:          21.5,
					ContiguousPartitions:  22,
					InterleavedPartitions: 23,
					Isolated:              "s24",
					PartitionFlips:        25,
				},
				Kill:                 "s26",
				RestartsKilled:       true,
				Freeze:               "s27",
				FreezeSeconds:        28.5,
				DurationSeconds:      29.5,
				SettleSeconds:        30.5,
				MustExceedFloors:     true,
				IsLimitedToFloors:    true,
				MustFill:             true,
				KillsParent:          true,
				MaxFailedParentFills: new(31),
				LimitSlack:           32,
				Discovery:            "s33",
				ChecksDials:          true,
				MustReconnect:        true,
			},
			{
				Name: "s34",
				Conditions: &Conditions{
					LossRate:              35.5,
					DuplicateRate:         36.5,
					DelayMillis:           37.5,
					JitterMillis:          38.5,
					ContiguousPartitions:  39,
					InterleavedPartitions: 40,
					Isolated:              "s41",
					PartitionFlips:        42,
				},
				Kill:                 "s43",
				RestartsKilled:       true,
				Freeze:               "s44",
				FreezeSeconds:        45.5,
				DurationSeconds:      46.5,
				SettleSeconds:        47.5,
				MustExceedFloors:     true,
				IsLimitedToFloors:    true,
				MustFill:             true,
				KillsParent:          true,
				MaxFailedParentFills: new(48),
				LimitSlack:           49,
				Discovery:            "s50",
				ChecksDials:          true,
				MustReconnect:        true,
			},
		},
	})
}

package scenario

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

// A scenario, every field set.
func TestStoredScenarioIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/scenario.json", " ", Scenario{
		Title:    "s2",
		Asks:     3.5,
		Floor:    4.5,
		Depots:   5,
		Verdicts: true,
		Group:    6,
		DelayMs:  7.5,
		EveryMs:  8.5,
		Conditions: Conditions{
			Loss:     9.5,
			Double:   10.5,
			DelayMs:  11.5,
			JitterMs: 12.5,
			Blocks:   13,
			Parts:    14,
			Alone:    "s15",
			Flips:    16,
		},
		Steps: []Step{
			{
				Name: "s17",
				Conditions: &Conditions{
					Loss:     18.5,
					Double:   19.5,
					DelayMs:  20.5,
					JitterMs: 21.5,
					Blocks:   22,
					Parts:    23,
					Alone:    "s24",
					Flips:    25,
				},
				Kill:    "s26",
				Restart: true,
				Freeze:  "s27",
				FreezeS: 28.5,
				ForS:    29.5,
				SettleS: 30.5,
				Regains: true,
				Floors:  true,
				Fills:   true,
				Lose:    true,
				Named:   new(31),
				Slack:   32,
				Board:   "s33",
				Tries:   true,
				AllBack: true,
			},
			{
				Name: "s34",
				Conditions: &Conditions{
					Loss:     35.5,
					Double:   36.5,
					DelayMs:  37.5,
					JitterMs: 38.5,
					Blocks:   39,
					Parts:    40,
					Alone:    "s41",
					Flips:    42,
				},
				Kill:    "s43",
				Restart: true,
				Freeze:  "s44",
				FreezeS: 45.5,
				ForS:    46.5,
				SettleS: 47.5,
				Regains: true,
				Floors:  true,
				Fills:   true,
				Lose:    true,
				Named:   new(48),
				Slack:   49,
				Board:   "s50",
				Tries:   true,
				AllBack: true,
			},
		},
	})
}

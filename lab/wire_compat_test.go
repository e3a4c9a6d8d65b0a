package lab

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"spantack/internal/testfixture"
)

// The format of result.json, as spanlab run writes it, does not change. Every field is set.
func TestStoredOutcomesRoundTrip(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/outcomes.json", " ", []*Outcome{
		{
			Experiment: "s1",
			Size:       "s2",
			Seed:       3,
			Runs: []Run{
				{
					Arm:        "s4",
					Day:        "s5",
					Figures:    map[string]float64{"s6": 7.5, "s8": 9.5},
					Seconds:    []float64{10.5, 11.5},
					Violations: map[string]int64{"s12": 13, "s14": 15},
				},
				{
					Arm:        "s16",
					Day:        "s17",
					Figures:    map[string]float64{"s18": 19.5, "s20": 21.5},
					Seconds:    []float64{22.5, 23.5},
					Violations: map[string]int64{"s24": 25, "s26": 27},
				},
			},
			Claims: []ClaimResult{
				{Claim: Claim{
					Name:    "s28",
					Figure:  "s29",
					Divisor: "s30",
					Min:     new(31.5),
					Max:     new(32.5),
				}, Value: 33.5, Passed: true},
				{Claim: Claim{
					Name:    "s34",
					Figure:  "s35",
					Divisor: "s36",
					Min:     new(37.5),
					Max:     new(38.5),
				}, Value: 39.5, Passed: true},
			},
		},
		{
			Experiment: "s40",
			Size:       "s41",
			Seed:       42,
			Runs: []Run{
				{
					Arm:        "s43",
					Day:        "s44",
					Figures:    map[string]float64{"s45": 46.5, "s47": 48.5},
					Seconds:    []float64{49.5, 50.5},
					Violations: map[string]int64{"s51": 52, "s53": 54},
				},
				{
					Arm:        "s55",
					Day:        "s56",
					Figures:    map[string]float64{"s57": 58.5, "s59": 60.5},
					Seconds:    []float64{61.5, 62.5},
					Violations: map[string]int64{"s63": 64, "s65": 66},
				},
			},
			Claims: []ClaimResult{
				{Claim: Claim{
					Name:    "s67",
					Figure:  "s68",
					Divisor: "s69",
					Min:     new(70.5),
					Max:     new(71.5),
				}, Value: 72.5, Passed: true},
				{Claim: Claim{
					Name:    "s73",
					Figure:  "s74",
					Divisor: "s75",
					Min:     new(76.5),
					Max:     new(77.5),
				}, Value: 78.5, Passed: true},
			},
		},
	})
}

// A stored result of spanlab run bench-day --seed 41 --size small can be read, and Write reproduces it byte for byte.
func TestStoredResultRoundTrip(t *testing.T) {
	want, err := os.ReadFile("testdata/bench-day.json")
	if err != nil {
		t.Fatal(err)
	}
	var outcomes []*Outcome
	d := json.NewDecoder(bytes.NewReader(want))
	d.DisallowUnknownFields()
	if err := d.Decode(&outcomes); err != nil {
		t.Fatal(err)
	}
	if v, err := outcomes[0].Figure("none/calm/attempts"); err != nil || v != 4132 || outcomes[0].Seed != 41 {
		t.Errorf("attempts %v (error %v), want 4132; seed %d, want 41", v, err, outcomes[0].Seed)
	}
	e, err := Load("bench-day")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := e.Write(dir, outcomes); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("result.json written as %s, want %s", got, want)
	}
}

// The format of an experiment file does not change. Every field is set, including those of the emulator's worlds.
func TestStoredExperimentRoundTrip(t *testing.T) {
	e := testfixture.ReadBack[Experiment](t, "testdata/experiment.json", " ")
	world := e.Sizes["s3"]
	if e.Title != "s2" || world.Seed != 4 || world.DurationSeconds != 26.5 || world.Cells.OverflowCell != "s30" {
		t.Errorf("read as %+v", e)
	}
}

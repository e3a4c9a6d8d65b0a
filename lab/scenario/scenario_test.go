package scenario

import (
	"context"
	"strings"
	"testing"
	"time"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// scenarioTimeout bounds a scenario of sixteen routers, which takes a minute or two.
const scenarioTimeout = 4 * time.Minute

// Sixteen real processes under each script. The verdict is that of the stand-ins' request logs; how long a step takes
// decides nothing but whether what must come back did at all within its time. fleet-verdicts: without verdicts seven
// fills still name the dead parent after the step has settled.
func TestScenarios(t *testing.T) {
	for _, name := range []string{"fleet-limits", "fleet-verdicts", "fleet-tree"} {
		t.Run(name, func(t *testing.T) {
			s, err := Load(name)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), scenarioTimeout)
			defer cancel()
			result, err := s.Run(ctx, Options{Routers: 16, Seed: 7})
			if err != nil {
				t.Fatal(err)
			}
			for _, fault := range result.Failures() {
				t.Error(fault)
			}
			t.Log(result.Summary())
		})
	}
}

func TestNames(t *testing.T) {
	for _, name := range Names() {
		if _, err := Load(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load("nothing"); err == nil {
		t.Error("a scenario that is not there")
	}
}

// An error names the step and the field that can't be used.
func TestValidateNamesTheField(t *testing.T) {
	for _, test := range []struct {
		name string
		step Step
		want string // "": the step is valid
	}{
		{"nothing but a duration", Step{DurationSeconds: 1}, ""},
		{"a fraction killed", Step{DurationSeconds: 600, Kill: "0.7"}, ""},
		{"the holder of the fleet killed", Step{DurationSeconds: 1, Kill: targetFleetHolder}, ""},
		{"the holder frozen", Step{DurationSeconds: 1, Freeze: targetHolder}, ""},
		{"all killed", Step{DurationSeconds: 1, Kill: "1"}, "steps[1].kill"},
		{"nobody's name killed", Step{DurationSeconds: 1, Kill: "leader"}, "steps[1].kill"},
		{"a fraction frozen", Step{DurationSeconds: 1, Freeze: "0.5"}, "steps[1].freeze"},
		{"no duration", Step{}, "steps[1].forS"},
		{"too long", Step{DurationSeconds: 601}, "steps[1].forS"},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := Scenario{Steps: []Step{{DurationSeconds: 1}, test.step}}
			err := s.validate()
			if test.want == "" && err != nil || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)) {
				t.Errorf("error %v, want one that names %q", err, test.want)
			}
		})
	}
}

package rollout

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestValidateNamesInvalidField(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Rollout)
		want   string // prefix of the error text
	}{
		{"version 0", func(r *Rollout) { r.Version = 0 }, "version: "},
		{"no name", func(r *Rollout) { r.Name = "" }, "name: "},
		{"no prefix", func(r *Rollout) { r.Prefix = "" }, "prefix: "},
		{"prefix is not hex", func(r *Rollout) { r.Prefix = "xy" }, `prefix: invalid rollout: "xy"`},
		{"families in reverse order", func(r *Rollout) { r.FamilyRange = []int{3, 1} }, "families: "},
		{"since is NaN", func(r *Rollout) { r.Since = math.NaN() }, "since: "},
		{"unknown value of OnUndecided", func(r *Rollout) { r.OnUndecided = "maybe" }, "unsure: "},
		{"negative rollback time", func(r *Rollout) { r.RollbackAt = -1 }, "stopAt: "},
		{"no rings", func(r *Rollout) { r.Rings = nil }, "rings: "},
		{"cell in two rings", func(r *Rollout) { r.Rings[1].Cells = []string{"a"} }, "rings[1].cells: "},
		{"ring without cells", func(r *Rollout) { r.Rings[0].Cells = nil }, "rings[0].cells: "},
		{"ring opens before the previous one", func(r *Rollout) { r.Rings[2].OpensAt = 5 }, "rings[2].open: "},
		{"JudgeWithin is 0", func(r *Rollout) { r.Rings[0].JudgeWithin = 0 }, "rings[0].for: "},
		{"alpha too large", func(r *Rollout) { r.Alpha = 0.7 }, "alpha: invalid rollout: 0.7"},
		{"unknown value of OnStop", func(r *Rollout) { r.OnStop = "so" }, `back: invalid rollout: "so`},
		{"OnStop set for new objects", func(r *Rollout) { r.OnStop = "serve" }, "back: "},
		{"old copies of new objects", func(r *Rollout) { r.OldCopyMaxAge = 5 }, "keep: "},
		{"no maximum age of old copies", func(r *Rollout) { r.ReplacesObjects = true }, "keep: invalid rollout: 0 ms"},
		{"maximum age of old copies too large", func(r *Rollout) {
			r.ReplacesObjects = true
			r.OldCopyMaxAge = 1e10
		}, "keep: invalid rollout: 1e+10"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := sampleRollout()
			test.change(&r)
			if err := r.Validate(); !errors.Is(err, ErrInvalid) || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want %s", err, test.want)
			}
		})
	}
	r := sampleRollout()
	if err := r.Validate(); err != nil {
		t.Errorf("valid rollout: %v", err)
	}
}

func TestNewSequentialTestNamesInvalidParameter(t *testing.T) {
	for _, test := range []struct {
		field      string
		parameters TestParameters
	}{
		{"alpha", TestParameters{}},
		{"alpha", TestParameters{Alpha: 0.6, Beta: 0.1, MinDegradation: 2, Margin: 1}},
		{"beta", TestParameters{Alpha: 0.1, Beta: math.NaN(), MinDegradation: 2, Margin: 1}},
		{"least", TestParameters{Alpha: 0.1, Beta: 0.1, MinDegradation: 1, Margin: 1}},
	} {
		_, err := NewSequentialTest(test.parameters)
		if !errors.Is(err, ErrInvalid) || !strings.HasPrefix(err.Error(), test.field+": ") {
			t.Errorf("%+v: got %v, want %s", test.parameters, err, test.field)
		}
	}
	if got := parameters.ExpectedEvents(1, 0.1, 1); !math.IsInf(got, 1) {
		t.Errorf("ExpectedEvents without degradation is %v, want infinity", got)
	}
}

package router

import (
	"slices"
	"testing"
)

// parseLoadReport must return either all values, in the order of the settings' fields, or none. It must accept both
// names of a field.
func TestParseLoadReport(t *testing.T) {
	fields := []string{"cpu_share", "x1"}
	for report, want := range map[string][]float64{
		"cpu_share:0.61;x1:2.5": {0.61, 2.5},
		"x1:2.5;util:0.61":      {0.61, 2.5},
		"util:0.61;new:7;x1:0":  {0.61, 0},
		"":                      nil,
		"util:0.61":             nil,
		"util:0.61;x1:":         nil,
		"util:NaN;x1:1":         nil,
		"util:-1;x1:1":          nil,
		"util:1e12;x1:1":        nil,
		";;:":                   nil,
		"util;x1":               nil,
		"util:1;util:1":         nil,
	} {
		if got := parseLoadReport(fields, report); !slices.Equal(got, want) || (got == nil) != (want == nil) {
			t.Errorf("%q: %v, want %v", report, got, want)
		}
	}
	if got := parseLoadReport(nil, "util:0.61"); got != nil {
		t.Errorf("got %v, want nil: the settings name no fields", got)
	}
}

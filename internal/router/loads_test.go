package router

import (
	"slices"
	"testing"
)

func TestMetrics(t *testing.T) {
	fields := []string{"cpu_share", "x1"}
	for load, want := range map[string][]float64{
		"cpu_share:0.61;x1:2.5": {0.61, 2.5}, "x1:2.5;util:0.61": {0.61, 2.5}, "util:0.61;new:7;x1:0": {0.61, 0},
		"": nil, "util:0.61": nil, "util:0.61;x1:": nil, "util:NaN;x1:1": nil, "util:-1;x1:1": nil, "util:1e12;x1:1": nil,
		";;:": nil, "util;x1": nil, "util:1;util:1": nil,
	} {
		if got := parseLoadReport(fields, load); !slices.Equal(got, want) || (got == nil) != (want == nil) {
			t.Errorf("%q: %v, want %v", load, got, want)
		}
	}
	if got := parseLoadReport(nil, "util:0.61"); got != nil {
		t.Errorf("%v where the settings name nothing", got)
	}
}

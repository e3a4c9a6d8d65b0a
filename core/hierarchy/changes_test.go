package hierarchy

import (
	"slices"
	"testing"
)

func TestChangesListsEachDifference(t *testing.T) {
	next := sampleTopology()
	next.Origin.CapacityKBPerS = 4000
	next.Sites[0].PeakFillKBPerS = 1000
	next.ParentGroups = next.ParentGroups[:2]
	next.Links = append(next.Links[:9], Link{"north", "head", 100, 40})
	got := Changes(sampleTopology(), next)
	for _, want := range []string{
		"head office head, 5000 KB/s: now head, 4000 KB/s",
		"depot d1, 900 KB/s: now depot d1, 1000 KB/s",
		"removed: area great, servers g-, miss ratio 0.50",
		"added: way north > head, 100 KB/s, 40.0 ms",
		"removed: way south > head, 200 KB/s, 40.0 ms",
	} {
		if !slices.Contains(got, want) {
			t.Errorf("%q is not among %q", want, got)
		}
	}
	if len(got) != 5 || len(Changes(sampleTopology(), sampleTopology())) != 0 {
		t.Errorf("got changes %q, want 5 of them, and none between equal topologies", got)
	}
}

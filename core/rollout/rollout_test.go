package rollout

import (
	"testing"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// sampleRollout returns a rollout with three rings, of one, two and four cells. Cell h is in none of them.
func sampleRollout() Rollout {
	return Rollout{Version: 1, Name: "prices", Prefix: "00ff", Since: 1000, Rings: []Ring{
		{Cells: []string{"a"}, OpensAt: 60_000, JudgeWithin: 120_000},
		{Cells: []string{"b", "c"}, OpensAt: 70_000, JudgeWithin: 120_000},
		{Cells: []string{"d", "e", "f", "g"}, OpensAt: 70_000, JudgeWithin: 120_000},
	}}
}

func TestContainsByPrefixAndFamily(t *testing.T) {
	r := sampleRollout()
	r.FamilyRange = []int{2, 4}
	for _, test := range []struct {
		family int
		object string
		want   bool
	}{
		{3, "00ff01", true},
		{5, "00ff01", false},
		{3, "00fe", false},
	} {
		if got := r.Contains(test.family, test.object); got != test.want {
			t.Errorf("family %d, object %s: Contains is %v", test.family, test.object, got)
		}
	}
}

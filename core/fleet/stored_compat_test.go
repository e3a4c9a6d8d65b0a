package fleet

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of the JSON format of LimitStatus, which routers write to the log line "fleet".
func TestLoggedLimitStatusCompat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/holdings.json", "", []LimitStatus{
		{
			Name:       "s1",
			Quota:      2.5,
			InUse:      3,
			Holder:     4,
			IsHolder:   true,
			HeldLevels: []int{5, 6},
		},
		{
			Name:       "s7",
			Quota:      8.5,
			InUse:      9,
			Holder:     10,
			IsHolder:   true,
			HeldLevels: []int{11, 12},
		},
	})
}

package fleet

import (
	"testing"

	"spantack/internal/testfixture"
)

// The log line fleet of a router holds these.
func TestLoggedHoldingsAreReadAndWrittenAlike(t *testing.T) {
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

package scale

import (
	"math"
	"testing"
)

// Guards against a fit with a wrong exponent, factor or relative error: exact square-law figures must be fitted without
// an error, and doubling one of them must give the expected error.
func TestFit(t *testing.T) {
	set := squareLawSet()
	law, err := set.fit("limits", "", "bytes")
	if err != nil || math.Abs(law.Exponent-2) > 1e-9 || math.Abs(law.Factor-3) > 1e-9 || law.MaxRelativeError > 1e-9 {
		t.Errorf("fit of a square law: %+v, error %v", law, err)
	}
	set["limits"][1].Phases[0].WorstBytesPerSecond *= 2
	law, err = set.fit("limits", "", "bytes")
	if err != nil || math.Abs(law.MaxRelativeError-0.587) > 0.01 {
		t.Errorf("fit with one figure doubled: %+v, error %v", law, err)
	}
}

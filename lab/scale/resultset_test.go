package scale

import (
	"math"
	"testing"
)

// A fit is that of the law behind the figures; it tells how far one of them is off.
func TestFit(t *testing.T) {
	set := squareLawSet()
	law, err := set.fit("limits", "", "bytes")
	if err != nil || math.Abs(law.Exponent-2) > 1e-9 || math.Abs(law.Factor-3) > 1e-9 || law.MaxRelativeError > 1e-9 {
		t.Errorf("a square law: %+v, %v", law, err)
	}
	set["limits"][1].Phases[0].WorstBytesPerSecond *= 2
	law, err = set.fit("limits", "", "bytes")
	if err != nil || math.Abs(law.MaxRelativeError-0.587) > 0.01 {
		t.Errorf("a size that is off by two: %+v, %v", law, err)
	}
}

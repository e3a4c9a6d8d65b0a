package lab

import "testing"

// The confidence intervals of a difference of means (Welch) and of one mean (Student's t) match values calculated by
// hand.
func TestIntervalsMatchKnownValues(t *testing.T) {
	// The half-width is t*sqrt(5/6), with the 97.5% quantile of Student's t for 6 degrees of freedom, t = 2.447.
	difference := differenceOfMeans([]float64{1, 2, 3, 4}, []float64{3, 4, 5, 6})
	if difference.Mean != 2 || difference.HalfWidth < 2.2 || difference.HalfWidth > 2.25 {
		t.Errorf("difference of means %+v, want 2 with a half-width of 2.2 to 2.25", difference)
	}
	// The half-width is t*s/sqrt(n) = 4.303*1/sqrt(3), with the 97.5% quantile of Student's t for 2 degrees of freedom.
	mean := meanInterval([]float64{1, 2, 3})
	if mean.Mean != 2 || mean.HalfWidth < 2.48 || mean.HalfWidth > 2.49 {
		t.Errorf("mean %+v, want 2 with a half-width of 2.48 to 2.49", mean)
	}
}

package lab

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the quantile at the upper end of a two-sided 95% interval.
const upperQuantile = 0.975

// Interval is a mean with its 95% confidence interval, from Mean-HalfWidth to Mean+HalfWidth. HalfWidth is 0 if there
// are too few values to estimate it.
type Interval struct{ Mean, HalfWidth float64 }

// meanInterval returns the mean of values with its 95% confidence interval by Student's t distribution. The mean of no
// values is NaN.
func meanInterval(values []float64) Interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, 0}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(upperQuantile)
	return Interval{mean, t * deviation / math.Sqrt(float64(len(values)))}
}

// differenceOfMeans returns the mean of b minus the mean of a, with its 95% confidence interval by Welch's method.
func differenceOfMeans(a, b []float64) Interval {
	meanA, varianceA := stat.MeanVariance(a, nil)
	meanB, varianceB := stat.MeanVariance(b, nil)
	difference := Interval{Mean: meanB - meanA}
	if len(a) < 2 || len(b) < 2 || varianceA+varianceB == 0 {
		return difference
	}
	squaredErrorA := varianceA / float64(len(a)) // squared standard errors
	squaredErrorB := varianceB / float64(len(b))
	sum := squaredErrorA + squaredErrorB
	degreesOfFreedom := sum * sum / (squaredErrorA*squaredErrorA/float64(len(a)-1) +
		squaredErrorB*squaredErrorB/float64(len(b)-1))
	t := distuv.StudentsT{Sigma: 1, Nu: degreesOfFreedom}.Quantile(upperQuantile)
	difference.HalfWidth = t * math.Sqrt(sum)
	return difference
}

// String returns the mean and, unless it is 0, the half-width. It returns an empty string if the mean is NaN, which is
// the case for a figure that the run does not have.
func (i Interval) String() string {
	if math.IsNaN(i.Mean) {
		return ""
	}
	if i.HalfWidth == 0 {
		return fmt.Sprintf("%.4g", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.HalfWidth)
}

// figureOfSeeds returns the value of a figure for each seed whose outcome has it.
func figureOfSeeds(outcomes []*Outcome, name string) (values []float64) {
	for _, outcome := range outcomes {
		if value, err := outcome.Figure(name); err == nil {
			values = append(values, value)
		}
	}
	return values
}

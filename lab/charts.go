package lab

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Chart dimensions.
const (
	chartHeight       = 12 * vg.Centimeter
	secondsChartWidth = 22 * vg.Centimeter
	armCentimeters    = 2.6 // width per arm
	armsMargin        = 6 * vg.Centimeter
	barPointsPerArm   = 60 // divided among the bars of all days
)

// saveSecondsChart plots Run.Seconds over the seconds of the day, one line for each arm and day of the chart.
func (e *Experiment) saveSecondsChart(file string, outcome *Outcome) error {
	p := plot.New()
	p.Title.Text = e.Title
	p.X.Label.Text = "second of the day"
	p.Y.Label.Text = "fraction of request weight served on time, tenants of other cells"
	p.Y.Min = 0
	p.Y.Max = 1.02
	p.Legend.Left = true
	var lines []any // name, points, name, points, ...
	for _, day := range e.Chart.Days {
		for _, arm := range e.Chart.Arms {
			for _, run := range outcome.Runs {
				if run.Arm == arm && run.Day == day {
					lines = append(lines, arm+", "+day, bySecond(run.Seconds))
				}
			}
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(secondsChartWidth, chartHeight, file)
}

// bySecond returns one point per value. X is the value's index, which is the second of the day.
func bySecond(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for second, value := range values {
		points[second] = plotter.XY{X: float64(second), Y: value}
	}
	return points
}

// saveArmsChart draws a bar chart of the mean of e.Chart.Figure over the outcomes. Bars are grouped by arm, and each
// day has its own colour.
func (e *Experiment) saveArmsChart(file string, outcomes []*Outcome) error {
	p := plot.New()
	p.Title.Text = e.Chart.Title
	p.Y.Label.Text = e.Chart.Figure
	p.Legend.Top = true
	days := len(e.Chart.Days)
	width := vg.Points(barPointsPerArm / float64(max(days, 1)))
	lowest, highest := math.Inf(1), 0.0
	for i, day := range e.Chart.Days {
		values := make(plotter.Values, len(e.Chart.Arms))
		for j, arm := range e.Chart.Arms {
			values[j] = meanInterval(figureOfSeeds(outcomes, arm+"/"+day+"/"+e.Chart.Figure)).Mean
			lowest = min(lowest, values[j])
			highest = max(highest, values[j])
		}
		bar, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bar.Color = plotutil.Color(i)
		bar.Offset = width * vg.Length(float64(i)-float64(days-1)/2)
		p.Add(bar)
		p.Legend.Add(day, bar)
	}
	p.Y.Min = max(lowest-(highest-lowest)*0.3-0.01, 0)
	p.Y.Max = highest + (highest-lowest)*0.2 + 0.01
	p.NominalX(e.Chart.Arms...)
	return p.Save(vg.Length(len(e.Chart.Arms))*armCentimeters*vg.Centimeter+armsMargin, chartHeight, file)
}

package lab

import (
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The sizes of charts, and of what is in them.
const (
	chartHeight       = 12 * vg.Centimeter
	secondsChartWidth = 22 * vg.Centimeter
	armCentimeters    = 2.6
	armsMargin        = 6 * vg.Centimeter
	barPointsPerArm   = 60 // shared by the bars of all days
)

// saveSecondsChart draws the share of the others' weight in time by the second, a line for each arm and day.
func (e *Experiment) saveSecondsChart(file string, outcome *Outcome) error {
	p := plot.New()
	p.Title.Text = e.Title
	p.X.Label.Text = "second of the day"
	p.Y.Label.Text = "timely worth of others"
	p.Y.Min = 0
	p.Y.Max = 1.02
	p.Legend.Left = true
	var lines []any // names and points in turn
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

// bySecond are the points of a value for each second.
func bySecond(values []float64) plotter.XYs {
	points := make(plotter.XYs, len(values))
	for second, value := range values {
		points[second] = plotter.XY{X: float64(second), Y: value}
	}
	return points
}

// saveArmsChart draws the means of the chart's figure by arm, a bar of its own colour for each day.
func (e *Experiment) saveArmsChart(file string, outcomes []*Outcome) error {
	p := plot.New()
	p.Title.Text = e.Chart.Title
	p.Y.Label.Text = e.Chart.Figure
	p.Legend.Top = true
	days := len(e.Chart.Days)
	width := vg.Points(barPointsPerArm / float64(max(days, 1)))
	least, greatest := math.Inf(1), 0.0
	for i, day := range e.Chart.Days {
		values := make(plotter.Values, len(e.Chart.Arms))
		for j, arm := range e.Chart.Arms {
			values[j] = meanInterval(figureOfSeeds(outcomes, arm+"/"+day+"/"+e.Chart.Figure)).Mean
			least = min(least, values[j])
			greatest = max(greatest, values[j])
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
	p.Y.Min = max(least-(greatest-least)*0.3-0.01, 0)
	p.Y.Max = greatest + (greatest-least)*0.2 + 0.01
	p.NominalX(e.Chart.Arms...)
	return p.Save(vg.Length(len(e.Chart.Arms))*armCentimeters*vg.Centimeter+armsMargin, chartHeight, file)
}

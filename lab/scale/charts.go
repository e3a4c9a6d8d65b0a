package scale

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart plots one cost against the number of routers, with a line for each phase.
type chart struct {
	file, title string
	cost        func(Phase) float64
	budget      float64 // drawn as a line of its own; 0: no line
}

var charts = []chart{
	{"bytes.svg", "worst process, bytes a second", costByName["bytes"], RouterBudget.BytesPerSecond},
	{"datagrams.svg", "worst process, datagrams a second", costByName["datagrams"], 0},
	{"cpu.svg", "worst process, percent of a core", costByName["cpu"], RouterBudget.CPUPercent},
	{"memory.svg", "worst process, state in KB", costByName["memory"], RouterBudget.MemoryKB},
}

// Dimensions of a chart.
const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 13 * vg.Centimeter
)

// draw writes the chart to its file in dir. Both axes are logarithmic, so costs of 0 are left out. If there are no
// other costs it writes no file.
func (c chart) draw(dir string, results []*Result) error {
	lines := c.lines(results)
	if len(lines) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = results[0].Test + ": " + c.title
	p.X.Label.Text = "request routers"
	p.Y.Label.Text = c.title
	for _, axis := range []*plot.Axis{&p.X, &p.Y} {
		axis.Scale = plot.LogScale{}
		axis.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	p.Legend.Top = true
	p.Legend.Left = true
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	widenEmptyRange(&p.X)
	widenEmptyRange(&p.Y)
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, c.file))
}

// lines returns the arguments of plotutil.AddLinePoints: the name of a line and its points, alternating.
func (c chart) lines(results []*Result) (lines []any) {
	for i, phase := range results[0].Phases {
		var points plotter.XYs
		for _, result := range results {
			if cost := c.cost(result.Phases[i]); cost > 0 {
				points = append(points, plotter.XY{X: float64(result.Routers), Y: cost})
			}
		}
		if len(points) > 0 {
			lines = append(lines, string(phase.Scenario), points)
		}
	}
	if len(lines) > 0 && c.budget > 0 {
		first := float64(results[0].Routers)
		last := float64(results[len(results)-1].Routers)
		lines = append(lines, "budget", plotter.XYs{{X: first, Y: c.budget}, {X: last, Y: c.budget}})
	}
	return lines
}

// widenEmptyRange widens the range of an axis on which all points have the same value, for instance with a single size.
func widenEmptyRange(axis *plot.Axis) {
	if axis.Min == axis.Max {
		axis.Min /= 2
		axis.Max *= 2
	}
}

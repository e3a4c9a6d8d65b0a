package scale

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chart is one cost over size, with a line for each phase.
type chart struct {
	file, title string
	cost        func(Phase) float64
	budget      float64 // 0: none
}

var charts = []chart{
	{"bytes.svg", "worst process, bytes a second", costByName["bytes"], RouterBudget.BytesPerSecond},
	{"datagrams.svg", "worst process, datagrams a second", costByName["datagrams"], 0},
	{"cpu.svg", "worst process, percent of a core", costByName["cpu"], RouterBudget.CPUPercent},
	{"memory.svg", "worst process, state in KB", costByName["memory"], RouterBudget.MemoryKB},
}

// Size of a chart.
const (
	chartWidth  = 22 * vg.Centimeter
	chartHeight = 13 * vg.Centimeter
)

// draw writes the chart, with both axes logarithmic. What costs nothing has no place on it and is left out; a chart
// with nothing on it is not written.
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
	widenPoint(&p.X)
	widenPoint(&p.Y)
	return p.Save(chartWidth, chartHeight, filepath.Join(dir, c.file))
}

// lines returns the name and points of each line, in turn, as plotutil takes them.
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

// widenPoint gives an axis on which all points have one value, as with a single size, a length.
func widenPoint(axis *plot.Axis) {
	if axis.Min == axis.Max {
		axis.Min /= 2
		axis.Max *= 2
	}
}

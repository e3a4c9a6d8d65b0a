package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ResultsFile is the name of the file of results that WriteResults puts into its folder.
const ResultsFile = "results.json"

// WriteResults puts the results of one test at several sizes into a folder, with charts of cost over size. The folder is made if need be.
func WriteResults(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, ResultsFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	for _, c := range charts {
		if err := c.draw(dir, results); err != nil {
			return fmt.Errorf("chart %s: %w", c.file, err)
		}
	}
	return nil
}

// ReadResults returns the results that WriteResults put into a folder.
func ReadResults(dir string) ([]*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, ResultsFile))
	if err != nil {
		return nil, err
	}
	var results []*Result
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return results, nil
}

// chart is one cost over size, a line a phase.
type chart struct {
	file, title string
	cost        func(Phase) float64
	budget      float64 // 0: none
}

var charts = []chart{
	{"bytes.svg", "worst process, bytes a second", func(p Phase) float64 { return p.WorstBytesPerSecond }, RouterBudget.BytesPerSecond},
	{"datagrams.svg", "worst process, datagrams a second", func(p Phase) float64 { return p.WorstDatagramsPerSecond }, 0},
	{"cpu.svg", "worst process, percent of a core", func(p Phase) float64 { return p.CPUPercent }, RouterBudget.CPUPercent},
	{"memory.svg", "worst process, state in KB", func(p Phase) float64 { return p.MemoryKB }, RouterBudget.MemoryKB},
}

// draw draws the chart with both axes logarithmic. What costs nothing has no place on one and is left out; a chart with nothing on it is not written.
func (c chart) draw(dir string, results []*Result) error {
	p := plot.New()
	p.Title.Text = results[0].Test + ": " + c.title
	p.X.Label.Text, p.Y.Label.Text = "request routers", c.title
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for i, phase := range results[0].Phases {
		var points plotter.XYs
		for _, r := range results {
			if y := c.cost(r.Phases[i]); y > 0 {
				points = append(points, plotter.XY{X: float64(r.Routers), Y: y})
			}
		}
		if len(points) > 0 {
			lines = append(lines, string(phase.Scenario), points)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	if c.budget > 0 {
		first, last := float64(results[0].Routers), float64(results[len(results)-1].Routers)
		lines = append(lines, "budget", plotter.XYs{{X: first, Y: c.budget}, {X: last, Y: c.budget}})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	if p.X.Min == p.X.Max { // one size alone
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	if p.Y.Min == p.Y.Max {
		p.Y.Min, p.Y.Max = p.Y.Min/2, p.Y.Max*2
	}
	return p.Save(22*vg.Centimeter, 13*vg.Centimeter, filepath.Join(dir, c.file))
}

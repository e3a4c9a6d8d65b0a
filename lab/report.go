package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// tableFigures are the columns of table.md.
var tableFigures = []string{"others", "cell", "guilty", "timely", "hits", "originMb", "fillMb", "refused", "touched", "p99VideoMs", "p99CatalogueMs", "broken"}

// Write puts result.json, table.md and charts into a folder, which is made if need be.
func (e *Experiment) Write(dir string, outcomes []*Outcome) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(outcomes, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "table.md"), e.writeTable(outcomes), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := e.saveSecondsChart(filepath.Join(dir, "seconds.svg"), outcomes[0]); err != nil {
		return err
	}
	return e.saveArmsChart(filepath.Join(dir, "arms.svg"), outcomes)
}

// Interval is a mean with its 95% t interval.
type Interval struct{ Mean, HalfWidth float64 }

func meanInterval(values []float64) Interval {
	mean, sd := stat.MeanStdDev(values, nil)
	if len(values) < 2 {
		return Interval{mean, 0}
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
	return Interval{mean, t * sd / math.Sqrt(float64(len(values)))}
}

func (i Interval) String() string {
	if math.IsNaN(i.Mean) { // a figure that this arm or day has not
		return ""
	}
	if i.HalfWidth == 0 {
		return fmt.Sprintf("%.4g", i.Mean)
	}
	return fmt.Sprintf("%.4g ± %.2g", i.Mean, i.HalfWidth)
}

// figureOfSeeds is a figure over all seeds.
func figureOfSeeds(outcomes []*Outcome, at string) []float64 {
	var values []float64
	for _, o := range outcomes {
		if v, err := o.Figure(at); err == nil {
			values = append(values, v)
		}
	}
	return values
}

func (e *Experiment) writeTable(outcomes []*Outcome) []byte {
	var b bytes.Buffer
	seeds := make([]string, len(outcomes))
	for i, o := range outcomes {
		seeds[i] = fmt.Sprint(o.Seed)
	}
	fmt.Fprintf(&b, "# %s: %s\n\nSize %s, seeds %s; means with 95%% t intervals where there are several.\n\n", e.Name, e.Title, outcomes[0].Size, strings.Join(seeds, ", "))
	figures := tableFigures
	if len(e.TableFigures) > 0 {
		figures = e.TableFigures
	}
	fmt.Fprintf(&b, "| arm | day | %s |\n|---|---|%s\n", strings.Join(figures, " | "), strings.Repeat("---|", len(figures)))
	for _, r := range outcomes[0].Runs {
		fmt.Fprintf(&b, "| %s | %s |", r.Arm, r.Day)
		for _, f := range figures {
			fmt.Fprintf(&b, " %s |", meanInterval(figureOfSeeds(outcomes, r.Arm+"/"+r.Day+"/"+f)))
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "\n| claim | bound | %s |\n|---|---|%s\n", strings.Join(seeds, " | "), strings.Repeat("---|", len(seeds)))
	for i, c := range outcomes[0].Claims {
		bound := ""
		if c.Min != nil {
			bound = fmt.Sprintf(">= %v", *c.Min)
		}
		if c.Max != nil {
			bound += fmt.Sprintf("<= %v", *c.Max)
		}
		fmt.Fprintf(&b, "| %s | %s |", c.Name, bound)
		for _, o := range outcomes {
			word := "short"
			if o.Claims[i].Passed {
				word = "kept"
			}
			fmt.Fprintf(&b, " %.4g %s |", o.Claims[i].Value, word)
		}
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// saveSecondsChart draws the others' timely share by the second, an arm and day a line.
func (e *Experiment) saveSecondsChart(file string, o *Outcome) error {
	p := plot.New()
	p.Title.Text = e.Title
	p.X.Label.Text, p.Y.Label.Text = "second of the day", "timely worth of others"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Left = true
	var args []any
	for _, day := range e.Chart.Days {
		for _, arm := range e.Chart.Arms {
			for _, r := range o.Runs {
				if r.Arm != arm || r.Day != day {
					continue
				}
				points := make(plotter.XYs, len(r.Seconds))
				for i, y := range r.Seconds {
					points[i].X, points[i].Y = float64(i), y
				}
				args = append(args, arm+", "+day, points)
			}
		}
	}
	if err := plotutil.AddLines(p, args...); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := p.Save(22*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// saveArmsChart draws the chart's figure by arm, a colour a day, with its interval.
func (e *Experiment) saveArmsChart(file string, outcomes []*Outcome) error {
	p := plot.New()
	p.Title.Text = e.Chart.Title
	p.Y.Label.Text = e.Chart.Figure
	p.Legend.Top = true
	width := vg.Points(60 / float64(max(len(e.Chart.Days), 1)))
	least, most := math.Inf(1), 0.0
	for i, day := range e.Chart.Days {
		values := make(plotter.Values, len(e.Chart.Arms))
		for j, arm := range e.Chart.Arms {
			values[j] = meanInterval(figureOfSeeds(outcomes, arm+"/"+day+"/"+e.Chart.Figure)).Mean
			least, most = min(least, values[j]), max(most, values[j])
		}
		bar, err := plotter.NewBarChart(values, width)
		if err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		bar.Color = plotutil.Color(i)
		bar.Offset = width * vg.Length(float64(i)-float64(len(e.Chart.Days)-1)/2)
		p.Add(bar)
		p.Legend.Add(day, bar)
	}
	p.Y.Min, p.Y.Max = max(least-(most-least)*0.3-0.01, 0), most+(most-least)*0.2+0.01
	p.NominalX(e.Chart.Arms...)
	if err := p.Save(vg.Length(len(e.Chart.Arms))*2.6*vg.Centimeter+6*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// Summary sums an outcome up.
func (o *Outcome) Summary() string {
	verdict := "kept"
	if o.PassedCount() < len(o.Claims) {
		verdict = "short"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "RESULT %s seed=%d size=%s verdict=%s claims=%d/%d", o.Experiment, o.Seed, o.Size, verdict, o.PassedCount(), len(o.Claims))
	for _, c := range o.Claims {
		fmt.Fprintf(&b, " %s=%.4f", strings.NewReplacer(" ", "_", "=", "_").Replace(c.Name), c.Value)
	}
	return b.String()
}

// Compare sets two results side by side: the means over their seeds, and the difference with its 95% interval (Welch).
func Compare(out io.Writer, a, b []*Outcome) error {
	if a[0].Experiment != b[0].Experiment || a[0].Size != b[0].Size {
		return fmt.Errorf("%s %s and %s %s do not compare", a[0].Experiment, a[0].Size, b[0].Experiment, b[0].Size)
	}
	fmt.Fprintf(out, "%-14s %-10s %-12s %18s %18s %22s\n", "arm", "day", "figure", "A", "B", "B - A")
	for _, r := range a[0].Runs {
		for _, f := range tableFigures {
			at := r.Arm + "/" + r.Day + "/" + f
			x, y := figureOfSeeds(a, at), figureOfSeeds(b, at)
			if len(x) == 0 || len(y) == 0 {
				continue
			}
			fmt.Fprintf(out, "%-14s %-10s %-12s %18s %18s %22s\n", r.Arm, r.Day, f, meanInterval(x), meanInterval(y), differenceOfMeans(x, y))
		}
	}
	return nil
}

// differenceOfMeans is Welch's interval for the difference of two means.
func differenceOfMeans(x, y []float64) Interval {
	mx, vx := stat.MeanVariance(x, nil)
	my, vy := stat.MeanVariance(y, nil)
	d := Interval{Mean: my - mx}
	if len(x) < 2 || len(y) < 2 || vx+vy == 0 {
		return d
	}
	sx, sy := vx/float64(len(x)), vy/float64(len(y))
	free := (sx + sy) * (sx + sy) / (sx*sx/float64(len(x)-1) + sy*sy/float64(len(y)-1))
	d.HalfWidth = distuv.StudentsT{Sigma: 1, Nu: free}.Quantile(0.975) * math.Sqrt(sx+sy)
	return d
}

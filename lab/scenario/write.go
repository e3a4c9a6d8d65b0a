package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Chart dimensions.
const (
	chartWidth  = 24 * vg.Centimeter
	chartHeight = 11 * vg.Centimeter
)

// Write writes result.json, table.md and a chart of the fills in flight and their bound to a folder, which it creates
// if necessary.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{"result.json": append(text, '\n'), "table.md": r.table()} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return fmt.Errorf("--out: %w", err)
		}
	}
	if err := r.saveChart(filepath.Join(dir, "ledger.svg")); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// table returns the text of table.md.
func (r *Result) table() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s: %d routers, seed %d\n\n", r.Scenario, r.Routers, r.Seed)
	fmt.Fprintf(&b, "Limit %d, sum of floors %d. Fills in flight: at the origin, by the request log of the stand-ins.\n\n",
		r.Limit, r.FloorSum)
	b.WriteString("Dials are the maximum at the discovery service within any 100 ms.\n\n")
	b.WriteString("| step | max in flight | bound | fills | dials | dial bound | fills naming the dead parent | seconds | result |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, step := range r.Steps {
		verdict := step.UnmetCondition
		if verdict == "" {
			verdict = "kept"
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %d | %.1f | %s |\n", step.Step, step.MaxInFlight, step.Bound,
			step.Fills, step.MaxDials, step.DialBound, step.FailedParentFills, step.TookSeconds, verdict)
	}
	fmt.Fprintf(&b, "\n%s\n", r.Summary())
	return b.Bytes()
}

// saveChart plots the fills in flight and their bound over time.
func (r *Result) saveChart(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Fills in flight at the origin, %d routers", r.Routers)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "fills in flight, by the request log"
	p.Y.Min = 0
	if err := plotutil.AddLines(p, "in flight", r.inFlightCurve, "bound", r.boundCurve); err != nil {
		return err
	}
	return p.Save(chartWidth, chartHeight, file)
}

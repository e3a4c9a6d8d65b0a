package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// StepResult is what became of a step.
type StepResult struct {
	Step            string  `json:"step"`
	MaxInFlight     int     `json:"most"`  // out at the head office at once, by its own request log
	Bound           int     `json:"bound"` // what may have been
	Fills           int     `json:"fills"`
	TookSeconds     float64 `json:"tookS"` // until more than the floors were out, or the step's length
	Fault           string  `json:"fault,omitempty"`
	DeadParentFills int     `json:"named,omitempty"` // fills that named a dead area cache after the step had settled
	MaxDials        int     `json:"tries,omitempty"` // most at the list service within 100 ms
	DialBound       int     `json:"triesMay,omitempty"`
}

// Result is what a play came to.
type Result struct {
	Scenario         string       `json:"scenario"`
	Routers          int          `json:"routers"`
	Seed             uint64       `json:"seed"`
	Limit            int          `json:"limit"`
	FloorSum         int          `json:"floors"`
	Steps            []StepResult `json:"steps"`
	Served           int          `json:"served"`
	Rejected         int          `json:"refused"`
	Failed           int          `json:"failed"`
	Lost             int          `json:"lost"` // to routers that died
	WrongBody        int          `json:"wrong"`
	Overlaps         int          `json:"overlaps"`
	MaxDatagramBytes int          `json:"longest"` // datagram, in bytes

	inFlightCurve, boundCurve plotter.XYs
}

// Failures are what fell short.
func (r *Result) Failures() (all []string) {
	for _, s := range r.Steps {
		if s.Fault != "" {
			all = append(all, s.Step+": "+s.Fault)
		}
	}
	if r.WrongBody > 0 || r.Overlaps > 0 || r.Served == 0 || r.MaxDatagramBytes > 256 {
		all = append(all, fmt.Sprintf("%d served, %d wrongly, %d requests with two attempts out, a datagram of %d bytes", r.Served, r.WrongBody, r.Overlaps, r.MaxDatagramBytes))
	}
	return all
}

// Summary sums a play up.
func (r *Result) Summary() string {
	verdict := "kept"
	if len(r.Failures()) > 0 {
		verdict = "short"
	}
	most, tries := 0, 0
	for _, s := range r.Steps {
		most, tries = max(most, s.MaxInFlight), max(tries, s.MaxDials)
	}
	return fmt.Sprintf("RESULT %s routers=%d seed=%d verdict=%s limit=%d most=%d tries=%d served=%d refused=%d failed=%d lost=%d wrong=%d", r.Scenario, r.Routers, r.Seed,
		verdict, r.Limit, most, tries, r.Served, r.Rejected, r.Failed, r.Lost, r.WrongBody)
}

// Write puts result.json, table.md and a chart of the request log beside its bound into a folder, which is made if need be.
func (r *Result) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s: %d routers, seed %d\n\nLimit %d, of it floors %d. Most out at the head office at once, by its own request log.\n\n", r.Scenario, r.Routers, r.Seed, r.Limit, r.FloorSum)
	b.WriteString("Tries are at the list service, the most within 100 ms.\n\n| step | most out | may be | fills | tries | may be | named | s | |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Steps {
		word := s.Fault
		if word == "" {
			word = "kept"
		}
		fmt.Fprintf(&b, "| %s | %d | %d | %d | %d | %d | %d | %.1f | %s |\n", s.Step, s.MaxInFlight, s.Bound, s.Fills, s.MaxDials, s.DialBound, s.DeadParentFills, s.TookSeconds, word)
	}
	fmt.Fprintf(&b, "\n%s\n", r.Summary())
	for name, text := range map[string][]byte{"result.json": append(text, '\n'), "table.md": b.Bytes()} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return fmt.Errorf("--out: %w", err)
		}
	}
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Fills at the head office, %d routers", r.Routers)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "out at once, by its request log"
	p.Y.Min = 0
	if err := plotutil.AddLines(p, "out", r.inFlightCurve, "may be", r.boundCurve); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := p.Save(24*vg.Centimeter, 11*vg.Centimeter, filepath.Join(dir, "ledger.svg")); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

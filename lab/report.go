package lab

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// defaultTableFigures are the columns of table.md and of comparisons.
var defaultTableFigures = []string{
	"others", "cell", "guilty", "timely", "hits", "originMb", "fillMb", "refused", "touched", "p99VideoMs",
	"p99CatalogueMs", violationsFigure,
}

// Write writes result.json, table.md and two charts to a folder, which it creates if necessary. outcomes has one entry
// for each seed, and at least one.
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
	if err := os.WriteFile(filepath.Join(dir, "table.md"), e.table(outcomes), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := e.saveSecondsChart(filepath.Join(dir, "seconds.svg"), outcomes[0]); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	if err := e.saveArmsChart(filepath.Join(dir, "arms.svg"), outcomes); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// table returns the text of table.md: figures by arm and day, then claims by seed.
func (e *Experiment) table(outcomes []*Outcome) []byte {
	var b bytes.Buffer
	seeds := make([]string, len(outcomes))
	for i, outcome := range outcomes {
		seeds[i] = fmt.Sprint(outcome.Seed)
	}
	fmt.Fprintf(&b, "# %s: %s\n\n", e.Name, e.Title)
	fmt.Fprintf(&b, "Size %s, seeds %s; with several seeds: means and 95%% confidence intervals (Student's t).\n\n",
		outcomes[0].Size, strings.Join(seeds, ", "))
	e.writeFigures(&b, outcomes)
	writeClaims(&b, seeds, outcomes)
	return b.Bytes()
}

// writeFigures writes the table of figures, one row for each arm and day.
func (e *Experiment) writeFigures(b *bytes.Buffer, outcomes []*Outcome) {
	figures := defaultTableFigures
	if len(e.TableFigures) > 0 {
		figures = e.TableFigures
	}
	fmt.Fprintf(b, "| arm | day | %s |\n|---|---|%s\n", strings.Join(figures, " | "), strings.Repeat("---|", len(figures)))
	for _, run := range outcomes[0].Runs {
		fmt.Fprintf(b, "| %s | %s |", run.Arm, run.Day)
		for _, figure := range figures {
			fmt.Fprintf(b, " %s |", meanInterval(figureOfSeeds(outcomes, run.Arm+"/"+run.Day+"/"+figure)))
		}
		b.WriteByte('\n')
	}
}

// writeClaims writes the table of claims, one column for each seed.
func writeClaims(b *bytes.Buffer, seeds []string, outcomes []*Outcome) {
	fmt.Fprintf(b, "\n| claim | bound | %s |\n|---|---|%s\n",
		strings.Join(seeds, " | "), strings.Repeat("---|", len(seeds)))
	for i, claim := range outcomes[0].Claims {
		fmt.Fprintf(b, "| %s | %s |", claim.Name, claim.bounds())
		for _, outcome := range outcomes {
			verdict := "short"
			if outcome.Claims[i].Passed {
				verdict = "kept"
			}
			fmt.Fprintf(b, " %.4g %s |", outcome.Claims[i].Value, verdict)
		}
		b.WriteByte('\n')
	}
}

// bounds returns the bounds of a claim as text, such as ">= 0.98".
func (c *Claim) bounds() (text string) {
	if c.Min != nil {
		text = fmt.Sprintf(">= %v", *c.Min)
	}
	if c.Max != nil {
		text += fmt.Sprintf("<= %v", *c.Max)
	}
	return text
}

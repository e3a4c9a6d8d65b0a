package lab

import (
	"fmt"
	"strings"
)

// Run is the result of one arm on one day.
type Run struct {
	Arm     string             `json:"arm"`
	Day     string             `json:"day"`
	Figures map[string]float64 `json:"figures"`
	// Seconds has, for each second, the fraction of request weight served on time, for the tenants of cells other than
	// the watched tenant's. Seconds without requests of these tenants are left out.
	Seconds    []float64        `json:"seconds"`
	Violations map[string]int64 `json:"broken,omitempty"` // violations of the platform's rules, by rule
}

// Outcome is the result of an experiment with one seed.
type Outcome struct {
	Experiment string        `json:"experiment"`
	Size       string        `json:"size"`
	Seed       uint64        `json:"seed"`
	Runs       []Run         `json:"runs"`
	Claims     []ClaimResult `json:"claims"`
}

const (
	// violationsFigure is the name of the figure that counts the violations in a run.
	violationsFigure = "broken"
	// allViolations is the name of the sum of the violations in all runs.
	allViolations = "all/broken"
)

// newOutcome checks the claims against runs, and returns the runs with the results of the claims.
func (e *Experiment) newOutcome(size string, seed uint64, runs []Run) (*Outcome, error) {
	outcome := &Outcome{Experiment: e.Name, Size: size, Seed: seed, Runs: runs}
	for _, claim := range e.Claims {
		result, err := outcome.evaluate(claim)
		if err != nil {
			return nil, err
		}
		outcome.Claims = append(outcome.Claims, result)
	}
	return outcome, nil
}

// Figure returns a figure by its name: "ARM/DAY/FIGURE", or allViolations. A figure that no run has is an error.
func (o *Outcome) Figure(name string) (float64, error) {
	if name == allViolations {
		sum := 0.0
		for _, run := range o.Runs {
			sum += run.Figures[violationsFigure]
		}
		return sum, nil
	}
	parts := strings.Split(name, "/")
	if len(parts) == 3 {
		for _, run := range o.Runs {
			if value, known := run.Figures[parts[2]]; known && run.Arm == parts[0] && run.Day == parts[1] {
				return value, nil
			}
		}
	}
	return 0, fmt.Errorf("no run has figure %q", name)
}

// PassedCount returns the number of claims that hold.
func (o *Outcome) PassedCount() (count int) {
	for _, result := range o.Claims {
		if result.Passed {
			count++
		}
	}
	return count
}

// Passed reports whether all claims hold.
func (o *Outcome) Passed() bool { return o.PassedCount() == len(o.Claims) }

// Summary returns the RESULT line. Its format does not change, so that scripts can parse it.
func (o *Outcome) Summary() string {
	verdict := "kept"
	if !o.Passed() {
		verdict = "short"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "RESULT %s seed=%d size=%s verdict=%s claims=%d/%d",
		o.Experiment, o.Seed, o.Size, verdict, o.PassedCount(), len(o.Claims))
	keyReplacer := strings.NewReplacer(" ", "_", "=", "_")
	for _, claim := range o.Claims {
		fmt.Fprintf(&b, " %s=%.4f", keyReplacer.Replace(claim.Name), claim.Value)
	}
	return b.String()
}

package lab

import (
	"errors"
	"fmt"
	"strings"
)

// Verdict is what became of a claim.
type Verdict struct {
	Claim
	Value  float64 `json:"value"`
	Passed bool    `json:"kept"`
}

// PassedCount counts the claims that hold.
func (o *Outcome) PassedCount() (n int) {
	for _, c := range o.Claims {
		if c.Passed {
			n++
		}
	}
	return n
}

// Figure finds "ARM/DAY/FIGURE", or "all/broken".
func (o *Outcome) Figure(at string) (float64, error) {
	parts := strings.Split(at, "/")
	if at == "all/broken" {
		sum := 0.0
		for _, r := range o.Runs {
			sum += r.Figures["broken"]
		}
		return sum, nil
	}
	if len(parts) == 3 {
		for _, r := range o.Runs {
			if v, known := r.Figures[parts[2]]; known && r.Arm == parts[0] && r.Day == parts[1] {
				return v, nil
			}
		}
	}
	return 0, fmt.Errorf("claim on %q: there is no such figure", at)
}

func (o *Outcome) evaluate(c Claim) (Verdict, error) {
	v := Verdict{Claim: c}
	if c.Min == nil && c.Max == nil {
		return v, errors.New("claim " + c.Name + ": neither least nor most")
	}
	value, err := o.Figure(c.Figure)
	if err != nil {
		return v, err
	}
	if c.Divisor != "" {
		base, err := o.Figure(c.Divisor)
		if err != nil {
			return v, err
		}
		if base == 0 {
			return v, fmt.Errorf("claim %s: %s is 0", c.Name, c.Divisor)
		}
		value = roundFigure(value / base)
	}
	v.Value = value
	v.Passed = (c.Min == nil || value >= *c.Min) && (c.Max == nil || value <= *c.Max)
	return v, nil
}

package lab

import "fmt"

// Verdict is what became of a claim.
type Verdict struct {
	Claim
	Value  float64 `json:"value"`
	Passed bool    `json:"kept"`
}

// evaluate holds a claim against the figures.
func (o *Outcome) evaluate(claim Claim) (Verdict, error) {
	verdict := Verdict{Claim: claim}
	if claim.Min == nil && claim.Max == nil {
		return verdict, fmt.Errorf("claim %s: neither least nor most", claim.Name)
	}
	value, err := o.valueOf(claim)
	if err != nil {
		return verdict, err
	}
	verdict.Value = value
	verdict.Passed = (claim.Min == nil || value >= *claim.Min) && (claim.Max == nil || value <= *claim.Max)
	return verdict, nil
}

// valueOf returns the figure of a claim, or its quotient by the divisor.
func (o *Outcome) valueOf(claim Claim) (float64, error) {
	value, err := o.Figure(claim.Figure)
	if err != nil || claim.Divisor == "" {
		return value, err
	}
	divisor, err := o.Figure(claim.Divisor)
	if err != nil {
		return 0, err
	}
	if divisor == 0 {
		return 0, fmt.Errorf("claim %s: %s is 0", claim.Name, claim.Divisor)
	}
	return roundFigure(value / divisor), nil
}

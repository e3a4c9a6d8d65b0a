package lab

import "fmt"

// ClaimResult is a claim, its value, and whether the value is within the claim's bounds.
type ClaimResult struct {
	Claim
	Value  float64 `json:"value"`
	Passed bool    `json:"kept"`
}

// evaluate checks a claim against the figures. A claim without a bound and an unknown figure are errors.
func (o *Outcome) evaluate(claim Claim) (ClaimResult, error) {
	result := ClaimResult{Claim: claim}
	if claim.Min == nil && claim.Max == nil {
		return result, fmt.Errorf("claim %s: sets neither least nor most", claim.Name)
	}
	value, err := o.valueOf(claim)
	if err != nil {
		return result, err
	}
	result.Value = value
	result.Passed = (claim.Min == nil || value >= *claim.Min) && (claim.Max == nil || value <= *claim.Max)
	return result, nil
}

// valueOf returns the figure of a claim, divided by the claim's divisor if it has one. A divisor of 0 is an error.
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
		return 0, fmt.Errorf("claim %s: divisor %s is 0", claim.Name, claim.Divisor)
	}
	return roundFigure(value / divisor), nil
}

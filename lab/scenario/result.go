package scenario

import (
	"fmt"

	"gonum.org/v1/plot/plotter"
)

// datagramLimitBytes is the platform's limit on the size of a datagram between routers.
const datagramLimitBytes = 256

// StepResult is the result of a step. The stand-ins measure the figures.
type StepResult struct {
	Step           string  `json:"step"`
	MaxInFlight    int     `json:"most"`            // maximum of fills in flight at the origin
	Bound          int     `json:"bound"`           // bound on the fills in flight at the end of the step
	Fills          int     `json:"fills"`           // fills that reached the origin
	TookSeconds    float64 `json:"tookS"`           // time until the step ended early; its DurationSeconds if it did not
	UnmetCondition string  `json:"fault,omitempty"` // first unmet condition; empty: none
	// FailedParentFills is the number of fills that were sent to the failed parent after the settle time.
	FailedParentFills int `json:"named,omitempty"`
	MaxDials          int `json:"tries,omitempty"` // maximum of dials of the discovery service in any dialWindow
	DialBound         int `json:"triesMay,omitempty"`
}

// Result is the result of a scenario.
type Result struct {
	Scenario string       `json:"scenario"`
	Routers  int          `json:"routers"`
	Seed     uint64       `json:"seed"`
	Limit    int          `json:"limit"`  // on fills in flight at the origin
	FloorSum int          `json:"floors"` // part of the limit that all routers together have without a lease
	Steps    []StepResult `json:"steps"`

	// Counts of the clients' requests by outcome.
	Served    int `json:"served"`
	Rejected  int `json:"refused"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`  // without a response: the router died
	WrongBody int `json:"wrong"` // served with a wrong body

	Overlaps         int `json:"overlaps"` // requests with two concurrent attempts
	MaxDatagramBytes int `json:"longest"`  // size of the largest datagram

	inFlightCurve, boundCurve plotter.XYs // fills in flight at the origin and their bound, over seconds since the start
}

// Failures returns one line for each step with an unmet condition, which describes the first unmet condition. If the
// totals are wrong, it adds a line for them. It returns nil if the scenario passed.
func (r *Result) Failures() (all []string) {
	for _, step := range r.Steps {
		if step.UnmetCondition != "" {
			all = append(all, step.Step+": "+step.UnmetCondition)
		}
	}
	if r.WrongBody > 0 || r.Overlaps > 0 || r.Served == 0 || r.MaxDatagramBytes > datagramLimitBytes {
		all = append(all, fmt.Sprintf(
			"%d requests served, %d with a wrong body and %d with two attempts at once, largest datagram %d bytes",
			r.Served, r.WrongBody, r.Overlaps, r.MaxDatagramBytes))
	}
	return all
}

// Summary returns the RESULT line. Its format does not change, so that scripts can parse it.
func (r *Result) Summary() string {
	verdict := "kept"
	if len(r.Failures()) > 0 {
		verdict = "short"
	}
	maxInFlight, maxDials := 0, 0
	for _, step := range r.Steps {
		maxInFlight = max(maxInFlight, step.MaxInFlight)
		maxDials = max(maxDials, step.MaxDials)
	}
	return fmt.Sprintf("RESULT %s routers=%d seed=%d verdict=%s limit=%d most=%d tries=%d "+
		"served=%d refused=%d failed=%d lost=%d wrong=%d",
		r.Scenario, r.Routers, r.Seed, verdict, r.Limit, maxInFlight, maxDials,
		r.Served, r.Rejected, r.Failed, r.Lost, r.WrongBody)
}

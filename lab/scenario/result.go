package scenario

import (
	"fmt"

	"gonum.org/v1/plot/plotter"
)

// maxDatagramBytes bounds a datagram between routers, as the platform does.
const maxDatagramBytes = 256

// StepResult is what a step came to. Figures are those of the stand-ins.
type StepResult struct {
	Step        string  `json:"step"`
	MaxInFlight int     `json:"most"`            // fills at the origin at once
	Bound       int     `json:"bound"`           // on them, at the end of the step
	Fills       int     `json:"fills"`           // that reached the origin
	TookSeconds float64 `json:"tookS"`           // until what the step waits for had come, or its duration
	Fault       string  `json:"fault,omitempty"` // what fell short first; empty: nothing did
	// FailedParentFills counts fills that named a dead parent after the step had settled.
	FailedParentFills int `json:"named,omitempty"`
	MaxDials          int `json:"tries,omitempty"` // of the discovery service, within dialWindow
	DialBound         int `json:"triesMay,omitempty"`
}

// Result is what a scenario came to.
type Result struct {
	Scenario string       `json:"scenario"`
	Routers  int          `json:"routers"`
	Seed     uint64       `json:"seed"`
	Limit    int          `json:"limit"`  // on fills at the origin at once
	FloorSum int          `json:"floors"` // of it, what all routers have without a lease
	Steps    []StepResult `json:"steps"`

	// The clients' requests, by what became of them.
	Served    int `json:"served"`
	Rejected  int `json:"refused"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`  // at routers that died
	WrongBody int `json:"wrong"` // served with another body

	Overlaps         int `json:"overlaps"` // requests with two attempts at once
	MaxDatagramBytes int `json:"longest"`

	inFlightCurve, boundCurve plotter.XYs // of fills at the origin, over the seconds since the start
}

// Failures lists what fell short, a line each.
func (r *Result) Failures() (all []string) {
	for _, step := range r.Steps {
		if step.Fault != "" {
			all = append(all, step.Step+": "+step.Fault)
		}
	}
	if r.WrongBody > 0 || r.Overlaps > 0 || r.Served == 0 || r.MaxDatagramBytes > maxDatagramBytes {
		all = append(all, fmt.Sprintf("%d served, %d wrongly, %d requests with two attempts out, a datagram of %d bytes",
			r.Served, r.WrongBody, r.Overlaps, r.MaxDatagramBytes))
	}
	return all
}

// Summary returns the RESULT line, which scripts read.
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

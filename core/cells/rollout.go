package cells

import (
	"fmt"
	"slices"

	"spantack/core/rollout"
	"spantack/routing"
)

// rolloutGate rejects requests for a release in cells that its rollout has not reached, and counts outcomes as evidence
// for or against the release.
type rolloutGate struct {
	*shared
	state    *assignmentState
	progress *rollout.Progress // nil: no rollout is in force
}

// SetRollout starts a rollout, or with nil ends it. After its end, the objects of the release are treated like all
// others. The rollout must be valid for the assignment in force. A new version of the rollout in force continues from
// this router's current state.
func (a *Admission) SetRollout(now int64, r *rollout.Rollout) error {
	if r == nil || a.state.spec == nil {
		a.rollout.clear()
		return nil
	}
	return a.rollout.set(now, r)
}

// RolloutStatus is the state of a rollout at this router.
type RolloutStatus struct {
	Name    string       `json:"name"`
	Version int64        `json:"version"`
	Rings   []RingStatus `json:"rings"`
}

// RingStatus is the state of one ring of cells. Evidence is the log-likelihood ratio against the release, by metric
// (late responses, failures, fill errors). The evidence of several routers together is the sum of their ratios.
type RingStatus struct {
	Cells        []string  `json:"cells"`
	State        string    `json:"state"`
	HarmedMetric string    `json:"by,omitempty"` // metric that this router found to be worse with the release
	Evidence     []float64 `json:"evidence"`
}

// RolloutStatus returns the state of the rollout, or nil without a rollout.
func (a *Admission) RolloutStatus() *RolloutStatus { return a.rollout.status() }

func (g *rolloutGate) isActive() bool { return g.progress != nil }

func (g *rolloutGate) clear() { g.progress = nil }

func (g *rolloutGate) set(now int64, r *rollout.Rollout) error {
	if g.progress != nil && g.progress.Continue(r) {
		return nil
	}
	progress, err := rollout.NewProgress(r, g.documentMillis(now))
	if err != nil {
		return err
	}
	g.progress = progress
	return nil
}

// advance updates the rollout to now, and logs rings whose state has changed.
func (g *rolloutGate) advance(now int64) {
	if g.progress == nil {
		return
	}
	r := g.progress.Rollout()
	for _, ring := range g.progress.Step(g.documentMillis(now)) {
		state, metric := g.progress.State(ring)
		text := fmt.Sprintf("release %s, ring %d (%v): %s", r.Name, ring, r.Rings[ring].Cells, state)
		if g.progress.DegradationFound(ring) {
			text += ", by " + metric.String()
		}
		g.log(text)
	}
}

// gate rejects a request for the release in a cell that may not serve the release. In other cells it sets the limits on
// the age of the cached copy.
func (g *rolloutGate) gate(event *routing.Event, c *candidate) Reason {
	if g.progress == nil || !g.progress.Rollout().Contains(int(event.PurgeGroup), event.Object) {
		return ReasonNone
	}
	c.isRelease = true
	decision := g.progress.Gate(c.cell.name)
	if decision.MadeSince > 0 {
		event.MinVersionTime = int64(decision.MadeSince*1000) - g.options.DocumentClockOffset
	}
	event.MaxAge = int64(decision.MaxAge * 1000)
	if decision.Rejected {
		return ReasonNotReleased
	}
	return ReasonNone
}

// observeOutcome counts the outcome of an attempt.
func (g *rolloutGate) observeOutcome(now int64, request *openRequest, event *routing.Event) {
	if g.progress == nil {
		return
	}
	switch {
	case event.CacheStatus.IsFilled():
		g.count(request, rollout.FillErrors, false)
	case event.CacheStatus.IsFailure():
		g.count(request, rollout.FillErrors, true)
	}
	if event.Outcome == routing.OutcomeServed && event.IsFinal {
		g.count(request, rollout.LateAnswers, g.isLate(now, request))
		g.count(request, rollout.Failures, false)
	}
}

// observeUnserved counts a request that the engine rejected or failed as a late response. hasFailed states whether it
// also counts as a failure.
func (g *rolloutGate) observeUnserved(request *openRequest, hasFailed bool) {
	if g.progress == nil {
		return
	}
	g.count(request, rollout.Failures, hasFailed)
	g.count(request, rollout.LateAnswers, true)
}

// count counts an observation in the request's cell. In a cell that has the release, failures and fill errors are
// counted only for requests of the release. If they were counted for all requests, an increase would be detected late.
// If the release replaces objects, the same is done before a ring opens, to obtain a baseline for these objects. Late
// responses are counted for all requests of the cell, for two reasons. New objects must be filled first, so their
// responses are late even with a good release. A release that slows down other requests of its cell must be detected.
func (g *rolloutGate) count(request *openRequest, metric rollout.Metric, isBad bool) {
	cell := g.state.cells[request.cell].name
	if metric != rollout.LateAnswers && !request.isRelease && g.progress.CountsReleaseOnly(cell) {
		return
	}
	bad := 0.0
	if isBad {
		bad = 1
	}
	g.progress.Count(cell, metric, 1, bad)
}

func (g *rolloutGate) status() *RolloutStatus {
	if g.progress == nil {
		return nil
	}
	r := g.progress.Rollout()
	status := &RolloutStatus{Name: r.Name, Version: r.Version}
	for i := range r.Rings {
		state, metric := g.progress.State(i)
		ring := RingStatus{
			Cells:    slices.Clone(r.Rings[i].Cells),
			State:    state.String(),
			Evidence: g.progress.Evidence(i),
		}
		if g.progress.DegradationFound(i) {
			ring.HarmedMetric = metric.String()
		}
		status.Rings = append(status.Rings, ring)
	}
	return status
}

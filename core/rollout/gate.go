package rollout

// GateDecision is how a cell answers requests for the release's objects.
type GateDecision struct {
	Rejected  bool    // not at all
	MadeSince float64 // only with copies made since this Unix ms; 0: any
	MaxAge    float64 // copies may be so many ms old, where that is more than their class allows; 0: no more
}

// Gate decides how a cell answers requests for the release's objects now. A cell without the release keeps to copies
// of the old version for as long as the document allows; where it has none it gets the new one. Once the document has
// rolled the release back every cell revalidates, as it is unknown which of its copies were made in between.
func (p *Progress) Gate(cell string) GateDecision {
	r := p.rollout
	switch {
	case !r.ReplacesObjects:
		return GateDecision{Rejected: !p.HasRelease(cell)}
	case p.rolledBack:
		return GateDecision{MadeSince: r.RollbackAt}
	case p.HasRelease(cell):
		return GateDecision{MadeSince: r.Since}
	case p.hadRelease(cell) && r.OnRollback != ServeOnRollback:
		return GateDecision{Rejected: true}
	}
	return GateDecision{MaxAge: r.OldCopyMaxAge}
}

// HasRelease reports whether a cell has the release.
func (p *Progress) HasRelease(cell string) bool {
	i, inRing := p.ringOf[cell]
	if !inRing {
		return false
	}
	switch p.rings[i].state {
	case RingJudging, RingPassed, RingUndecided:
		return true
	}
	return false
}

// hadRelease reports whether the release was stopped in a cell that had it.
func (p *Progress) hadRelease(cell string) bool {
	i, inRing := p.ringOf[cell]
	return inRing && p.rings[i].state == RingStopped && p.rings[i].openedAt > 0
}

// CountsReleaseOnly reports whether Failures and FillErrors of a cell are to be counted for the release's objects
// alone.
func (p *Progress) CountsReleaseOnly(cell string) bool {
	_, inRing := p.ringOf[cell]
	return p.HasRelease(cell) || inRing && p.rollout.ReplacesObjects
}

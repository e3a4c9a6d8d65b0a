package rollout

// GateDecision determines how a cell handles requests for objects of the release.
type GateDecision struct {
	Rejected  bool    // reject the requests
	MadeSince float64 // only serve cached copies made at or after this time, in Unix ms; 0: any
	MaxAge    float64 // ms; the class's maximum age of cached copies is raised to at least this; 0: no change
}

// Gate returns how a cell currently handles requests for objects of the release. If the objects are new, a cell without
// the release rejects the requests. If the release replaces objects, there are four cases:
//   - After a rollback by the document, every cell serves only copies made since RollbackAt, because it is unknown
//     which of the older copies were made during the rollout. The other cases apply before that.
//   - A cell with the release serves only copies made since Since.
//   - A cell whose ring was stopped after it had opened rejects the requests, unless OnStop is ServeWhenStopped.
//   - Any other cell serves cached copies of the old version up to OldCopyMaxAge, and the new version if it has no
//     copy.
func (p *Progress) Gate(cell string) GateDecision {
	r := p.rollout
	switch {
	case !r.ReplacesObjects:
		return GateDecision{Rejected: !p.HasRelease(cell)}
	case p.rolledBack:
		return GateDecision{MadeSince: r.RollbackAt}
	case p.HasRelease(cell):
		return GateDecision{MadeSince: r.Since}
	case p.hadRelease(cell) && r.OnStop != ServeWhenStopped:
		return GateDecision{Rejected: true}
	}
	return GateDecision{MaxAge: r.OldCopyMaxAge}
}

// HasRelease reports whether a cell is in an open ring.
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

// hadRelease reports whether a cell is in a ring that was open before it was stopped.
func (p *Progress) hadRelease(cell string) bool {
	i, inRing := p.ringOf[cell]
	return inRing && p.rings[i].state == RingStopped && p.rings[i].openedAt > 0
}

// CountsReleaseOnly reports whether Failures and FillErrors of a cell are to be counted only for objects of the
// release. It returns true in open rings, because a degradation would be found late if the events of all objects were
// counted. With ReplacesObjects it also returns true in closed rings. The baseline of a ring is then of the same
// objects as the counts after the ring has opened.
func (p *Progress) CountsReleaseOnly(cell string) bool {
	_, inRing := p.ringOf[cell]
	return p.HasRelease(cell) || inRing && p.rollout.ReplacesObjects
}

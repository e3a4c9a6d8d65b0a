package rollout

// GateDecision determines how a cell answers requests for objects of the release.
type GateDecision struct {
	Rejected  bool    // reject the requests
	MadeSince float64 // only serve cached copies made at or after this time, in Unix ms; 0: any
	MaxAge    float64 // ms; replaces a lower maximum age of cached copies of the object's class; 0: no change
}

// Gate returns how a cell currently answers requests for objects of the release. A cell without the release rejects
// requests for new objects. If the release replaces objects, such a cell serves cached copies of the old version up to
// OldCopyMaxAge, and the new version if it has no copy. After a rollback by the document every cell serves only copies
// made since RollbackAt, as it is unknown which of the older copies were made during the rollout.
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
// release. This is so in open rings, because among the events of all objects a degradation would be found late. With
// ReplacesObjects it is also so in closed rings, so that the baseline of a ring is of the same objects.
func (p *Progress) CountsReleaseOnly(cell string) bool {
	_, inRing := p.ringOf[cell]
	return p.HasRelease(cell) || inRing && p.rollout.ReplacesObjects
}

package emulator

import (
	"slices"

	"spantack/core/cells"
	"spantack/core/rollout"
)

// isHarmful reports whether the new version of an object of the release fails at every cache.
func (w *World) isHarmful(operation *clientOperation) bool {
	return hashFraction(operation.key^hashMix(w.config.Seed)) < w.config.Release.HarmfulFraction
}

// isNewVersion reports whether a copy produced at producedAt has the new version of the release.
func (w *World) isNewVersion(producedAt int64) bool {
	r := w.config.Release
	if !r.ReplacesObjects || producedAt < fromSeconds(r.StartSeconds) {
		return false
	}
	return r.RollbackSeconds == 0 || producedAt < fromSeconds(r.RollbackSeconds)
}

// checkRelease counts a response with a replaced object by the time at which its attempt was sent. From
// Rollout.RollbackAt on, by the router's clock, the new version is a violation. Before RollbackAt, the check depends on
// whether the router had opened the cell for the release. If it had, the old version is a violation. If it had not, the
// new version counts as early.
func (w *World) checkRelease(attempt *serverAttempt) {
	request := &w.requests[attempt.request]
	release := w.config.Release
	if !w.operations[request.operation].release || !release.ReplacesObjects {
		return
	}
	router := &w.routers[request.router]
	startedAt := fromSeconds(release.StartSeconds)
	rollbackAt := int64(release.Rollout.RollbackAt) * millisecond // by the router's clock
	openedAt := router.releaseOpenedAt[w.cellOfCache(attempt.server)]
	isNew := w.isNewVersion(attempt.producedAt)
	switch {
	case rollbackAt > 0 && attempt.sentAt+router.clockOffset >= rollbackAt:
		if isNew {
			w.result.countViolation(violationRolledBackVersion)
		}
		w.result.RolledBackAnswers++
	case openedAt > 0 && attempt.sentAt >= openedAt:
		if attempt.producedAt < startedAt {
			w.result.countViolation(violationOldVersion)
		}
		w.result.ReleaseAnswers++
	case attempt.sentAt >= startedAt:
		w.result.PendingAnswers++
		if isNew {
			w.result.EarlyAnswers++
		}
	}
}

// isInState reports whether a ring has the given state. The status of a ring contains its state as text.
func isInState(ring cells.RingStatus, state rollout.RingState) bool {
	return ring.State == state.String()
}

// recordRolloutState records which cells a router has opened for the release and when the release was first stopped. It
// is called whenever the router's module logs something.
func (w *World) recordRolloutState(id int32) {
	status := w.routers[id].module.RolloutStatus()
	if status == nil {
		return
	}
	router := &w.routers[id]
	for _, ring := range status.Rings {
		isStopped := isInState(ring, rollout.RingStopped)
		isClosed := isStopped || isInState(ring, rollout.RingClosed)
		for _, name := range ring.Cells {
			cell := slices.IndexFunc(w.config.Cells.Cells, func(c cells.Cell) bool { return c.Name == name })
			router.recordRelease(cell, isClosed, w.now)
		}
		if isStopped && w.result.StoppedAtSeconds == 0 {
			w.result.StoppedAtSeconds = toSeconds(w.now)
		}
	}
}

// recordRelease records when a router opened a cell for the release, unless it has recorded that already. If the cell
// is closed, it removes the record.
func (r *simulatedRouter) recordRelease(cell int, isClosed bool, now int64) {
	if isClosed {
		delete(r.releaseOpenedAt, cell)
		return
	}
	if r.releaseOpenedAt == nil {
		r.releaseOpenedAt = map[int]int64{}
	}
	if r.releaseOpenedAt[cell] == 0 {
		r.releaseOpenedAt[cell] = now
	}
}

// countRolloutVerdicts counts the routers that have stopped the release and those at which the release has passed in
// all rings. It is called at the end of the run.
func (w *World) countRolloutVerdicts() {
	for i := range w.routers {
		status := w.routers[i].module.RolloutStatus()
		if status == nil {
			continue
		}
		isStopped := slices.ContainsFunc(status.Rings, func(r cells.RingStatus) bool {
			return isInState(r, rollout.RingStopped)
		})
		someNotPassed := slices.ContainsFunc(status.Rings, func(r cells.RingStatus) bool {
			return !isInState(r, rollout.RingPassed)
		})
		if isStopped {
			w.result.RoutersStopped++
		}
		if !someNotPassed {
			w.result.RoutersPassed++
		}
	}
}

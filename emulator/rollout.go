package emulator

import (
	"slices"

	"spantack/core/cells"
)

// isHarmful reports that an object of the release is a bad one.
func (w *World) isHarmful(operation *clientOperation) bool {
	return float64(hashMix(operation.key^hashMix(w.config.Seed))>>11)/(1<<53) < w.config.Release.HarmfulFraction
}

// isNewVersion reports that a copy made at a time is of the version that a release has given to its objects.
func (w *World) isNewVersion(made int64) bool {
	r := w.config.Release
	return r.ReplacesObjects && made >= int64(r.StartSeconds*float64(second)) && (r.RollbackSeconds == 0 || made < int64(r.RollbackSeconds*float64(second)))
}

// checkRelease holds an answer with a renewed object against the rules, by when it was asked for: none of the old version once its cell has the
// release, none of the release once the document has taken it back. How much of the release gets into cells that have not got it is counted.
func (w *World) checkRelease(attempt *serverAttempt) {
	request := &w.requests[attempt.request]
	operation := &w.operations[request.operation]
	if !operation.release || !w.config.Release.ReplacesObjects {
		return
	}
	router, fresh := &w.routers[request.router], w.isNewVersion(attempt.producedAt)
	opened := router.releaseOpenedAt[w.cellOfCache(attempt.server)]
	switch stop := int64(w.config.Release.Rollout.RollbackAt) * millisecond; {
	case stop > 0 && attempt.sentAt+router.clockOffset >= stop:
		if fresh {
			w.result.violation("an answer of a release that was taken back")
		}
		w.result.RolledBackAnswers++
	case opened > 0 && attempt.sentAt >= opened:
		if attempt.producedAt < int64(w.config.Release.StartSeconds*float64(second)) {
			w.result.violation("an answer of the old version where its cell has the release")
		}
		w.result.ReleaseAnswers++
	case attempt.sentAt >= int64(w.config.Release.StartSeconds*float64(second)):
		if w.result.PendingAnswers++; fresh {
			w.result.EarlyAnswers++
		}
	}
}

// recordRolloutState notes when a router stops a release; it is called when a router's log says something.
func (w *World) recordRolloutState(id int32) {
	now := w.routers[id].module.RolloutStatus()
	if now == nil {
		return
	}
	stopped := false
	router := &w.routers[id]
	for _, ring := range now.Rings {
		stopped = stopped || ring.State == "stopped"
		for _, cell := range ring.Cells {
			switch i := slices.IndexFunc(w.config.Cells.Cells, func(c cells.Cell) bool { return c.Name == cell }); {
			case ring.State == "shut" || ring.State == "stopped":
				delete(router.releaseOpenedAt, i)
			case router.releaseOpenedAt == nil:
				router.releaseOpenedAt = map[int]int64{i: w.now}
			case router.releaseOpenedAt[i] == 0:
				router.releaseOpenedAt[i] = w.now
			}
		}
	}
	if !stopped {
		return
	}
	if w.result.StoppedAtSeconds == 0 {
		w.result.StoppedAtSeconds = float64(w.now) / float64(second)
	}
}

// countRolloutVerdicts counts at the end at how many routers a release was stopped, and at how many it passed everywhere.
func (w *World) countRolloutVerdicts() {
	for i := range w.routers {
		now := w.routers[i].module.RolloutStatus()
		if now == nil {
			continue
		}
		stopped, passed := false, true
		for _, ring := range now.Rings {
			stopped = stopped || ring.State == "stopped"
			passed = passed && ring.State == "passed"
		}
		if stopped {
			w.result.RoutersStopped++
		}
		if passed {
			w.result.RoutersPassed++
		}
	}
}

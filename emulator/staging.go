package emulator

import (
	"slices"

	"spantack/core/cells"
)

// harmed reports that an object of the release is a bad one.
func (w *World) harmed(wi *wish) bool {
	return float64(mix(wi.key^mix(w.cfg.Seed))>>11)/(1<<53) < w.cfg.Release.Harm
}

// renewed reports that a copy made at a time is of the version that a release has given to its objects.
func (w *World) renewed(made int64) bool {
	r := w.cfg.Release
	return r.Renews && made >= int64(r.FromS*float64(sec)) && (r.BackS == 0 || made < int64(r.BackS*float64(sec)))
}

// answered holds an answer with a renewed object against the rules, by when it was asked for: none of the old version once its cell has the
// release, none of the release once the document has taken it back. How much of the release gets into cells that have not got it is counted.
func (w *World) answered(t *try) {
	rq := &w.requests[t.request]
	wi := &w.wishes[rq.wish]
	if !wi.release || !w.cfg.Release.Renews {
		return
	}
	r, fresh := &w.routers[rq.router], w.renewed(t.made)
	opened := r.opened[w.cellOfCache(t.node)]
	switch stop := int64(w.cfg.Release.Stage.RollbackAt) * ms; {
	case stop > 0 && t.sent+r.ahead >= stop:
		if fresh {
			w.res.broken("an answer of a release that was taken back")
		}
		w.res.Restored++
	case opened > 0 && t.sent >= opened:
		if t.made < int64(w.cfg.Release.FromS*float64(sec)) {
			w.res.broken("an answer of the old version where its cell has the release")
		}
		w.res.Renewed++
	case t.sent >= int64(w.cfg.Release.FromS*float64(sec)):
		if w.res.Held++; fresh {
			w.res.Early++
		}
	}
}

// staged notes when a router stops a release; it is called when a router's log says something.
func (w *World) staged(id int32) {
	now := w.routers[id].module.RolloutStatus()
	if now == nil {
		return
	}
	stopped := false
	r := &w.routers[id]
	for _, ring := range now.Rings {
		stopped = stopped || ring.State == "stopped"
		for _, cell := range ring.Cells {
			switch i := slices.IndexFunc(w.cfg.Cells.Cells, func(c cells.Cell) bool { return c.Name == cell }); {
			case ring.State == "shut" || ring.State == "stopped":
				delete(r.opened, i)
			case r.opened == nil:
				r.opened = map[int]int64{i: w.now}
			case r.opened[i] == 0:
				r.opened[i] = w.now
			}
		}
	}
	if !stopped {
		return
	}
	if w.res.StoppedS == 0 {
		w.res.StoppedS = float64(w.now) / float64(sec)
	}
}

// judge counts at the end at how many routers a release was stopped, and at how many it passed everywhere.
func (w *World) judge() {
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
			w.res.Stopped++
		}
		if passed {
			w.res.Passed++
		}
	}
}

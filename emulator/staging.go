package emulator

// staged notes when a router stops a release; it is called when a router's log says something.
func (w *World) staged(id int32) {
	now := w.routers[id].module.StageNow()
	if now == nil {
		return
	}
	stopped := false
	for _, ring := range now.Rings {
		stopped = stopped || ring.State == "stopped"
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
		now := w.routers[i].module.StageNow()
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

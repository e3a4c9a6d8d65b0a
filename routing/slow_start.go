package routing

import "slices"

// coldBudgetShare is the fraction of a cold server's budget that is used. It is less than 1, because the work per
// request varies and estimates are imprecise.
const coldBudgetShare = 0.6

// coldSend is work that was sent to a cold server.
type coldSend struct {
	sentAt int64
	work   float64
}

// warmUp returns how a server of the role warms up: the fraction of its capacity at its start, the time in microseconds
// until its full capacity, and the multiple of its present capacity above which it is overloaded.
func (e *Engine) warmUp(role serverRole) (initialCapacity float64, warmUpTime int64, overloadMultiple float64) {
	if role == roleParent {
		hierarchy := &e.settings.Hierarchy
		return hierarchy.ParentInitialCapacity, hierarchy.ParentWarmUpTime, hierarchy.ParentOverloadMultiple
	}
	guarantees := &e.settings.Guarantees
	return guarantees.InitialCapacity, guarantees.WarmUpTime, guarantees.OverloadMultiple
}

// isCold reports whether a server started so recently that it may not have its full capacity yet.
func (e *Engine) isCold(srv *server) bool {
	if srv.role == roleOrigin || srv.startedAt <= 0 {
		return false
	}
	_, warmUpTime, _ := e.warmUp(srv.role)
	return e.now-srv.startedAt < warmUpTime+e.settings.Guarantees.OverloadWindow
}

// fitsColdBudget reports whether a server may be sent the given work now. A warm server always may. For a cold server,
// the sum of this work and the work that this router sent it in the last OverloadWindow must be within coldBudget,
// which depends on the capacity that the server had at the start of that window.
func (e *Engine) fitsColdBudget(srv *server, work float64) bool {
	if !e.isCold(srv) {
		return true
	}
	window := e.settings.Guarantees.OverloadWindow
	if e.isColdDrawDue(srv) {
		srv.coldDrawAt = e.now
		srv.coldDraw = e.rng.Float64()
	}
	srv.coldSends = slices.DeleteFunc(srv.coldSends, func(s coldSend) bool { return e.now-s.sentAt > window })
	sent := 0.0
	for _, s := range srv.coldSends {
		sent += s.work
	}
	// The share of one router among hundreds is less than a request. The random draw admits a first request at only
	// some of the routers. The sum over all routers then stays within the budget.
	if sent <= 0 {
		work *= srv.coldDraw
	}
	return sent+work <= e.coldBudget(srv)
}

// coldBudget returns the work, in microseconds of sending time, that this router may send to a cold server within one
// OverloadWindow.
func (e *Engine) coldBudget(srv *server) float64 {
	initialCapacity, warmUpTime, overloadMultiple := e.warmUp(srv.role)
	window := e.settings.Guarantees.OverloadWindow
	ageAtWindowStart := max(e.now-srv.startedAt-window, 0)
	fraction := initialCapacity + (1-initialCapacity)*float64(ageAtWindowStart)/float64(max(warmUpTime, 1))
	return coldBudgetShare * e.knownHistoryShare(srv) * overloadMultiple * fraction * e.capacity(srv) * float64(window)
}

// isColdDrawDue reports whether the next check of a cold server's budget draws a new random factor.
func (e *Engine) isColdDrawDue(srv *server) bool {
	return e.now-srv.coldDrawAt > e.settings.Guarantees.OverloadWindow
}

// knownHistoryShare returns the fraction of the last OverloadWindow for which this process knows what this router sent
// to a server. The router's previous process may have sent the whole budget just before it ended.
func (e *Engine) knownHistoryShare(srv *server) float64 {
	if srv.startedAt >= e.startedAt {
		return 1
	}
	known := float64(e.now - e.startedAt)
	return min(known/float64(max(e.settings.Guarantees.OverloadWindow, 1)), 1)
}

// recordColdSend counts work sent to a server if the server is cold. Negative work cancels work that never reached the
// server.
func (e *Engine) recordColdSend(srv *server, work float64) {
	if e.isCold(srv) {
		srv.coldSends = append(srv.coldSends, coldSend{e.now, work})
	}
}

package routing

// Constants of what is estimated about sizes and times.
const (
	meanSendTimeStep   = 0.02  // by which one response moves a mean sending time
	baseObjectiveShare = 0.25  // of the latency objective that a usual response takes besides its sending time
	tailIncrease       = 0.2   // step of the tail of response times at a response past it
	tailDecrease       = 0.004 // and at any other: 98 of 100 responses stay under it
	linkUseStep        = 0.1   // by which one load report moves the use of the zone's link
	minWeightDensity   = 1e-12 // for use as a divisor
)

// hasSize reports that a request's size tells how long its response takes to send.
func (e *Engine) hasSize(sizeKB float64) bool {
	return sizeKB > 0 && e.settings.Hierarchy.ResponseKBPerSecond > 0
}

// sendTimeOf returns how long a response of a size takes to send, in microseconds.
func (e *Engine) sendTimeOf(sizeKB float64) float64 {
	return sizeKB / e.settings.Hierarchy.ResponseKBPerSecond * 1e6
}

// sendTime estimates how long the response to a request takes to send, in microseconds.
func (e *Engine) sendTime(req *request) float64 {
	if e.hasSize(req.SizeKB) {
		return e.sendTimeOf(req.SizeKB)
	}
	return e.meanSendTime[req.class]
}

// expectedWork estimates the mean sending time of a class as one of its requests comes, in microseconds. Requests tell
// their sizes at once, responses teach them slowly and large ones late. The greater of both means counts, for servers
// fail by what is sent too much.
func (e *Engine) expectedWork(ev *Event, class int) float64 {
	learned := e.meanSendTime[class]
	if !e.hasSize(ev.SizeKB) {
		return learned
	}
	requested := e.meanRequestedSendTime[ev.Class]
	if requested == nil {
		requested = &runningMean{value: learned, count: 1}
		e.meanRequestedSendTime[ev.Class] = requested
	}
	requested.add(e.sendTimeOf(ev.SizeKB), meanSendTimeStep)
	return max(learned, requested.value)
}

// latencyObjective returns the time within which a response to a request has its full weight, in microseconds.
func (e *Engine) latencyObjective(req *request) float64 {
	class := &e.settings.Classes[req.class]
	return float64(class.LatencyObjective) + class.ObjectiveSizeFactor*e.sendTime(req)
}

// usualResponseTime estimates how long a response to a request takes where nothing is wrong, in microseconds.
func (e *Engine) usualResponseTime(req *request) float64 {
	return e.sendTime(req) + baseObjectiveShare*float64(e.settings.Classes[req.class].LatencyObjective)
}

// tailResponseTime returns what few responses to such requests exceed, in microseconds.
func (e *Engine) tailResponseTime(req *request) float64 {
	return e.tailMultiple[req.class] * e.usualResponseTime(req)
}

// adjustTail moves a class's tail of response times with a response.
func (e *Engine) adjustTail(req *request, responseTime float64) {
	if responseTime > e.tailResponseTime(req) {
		e.tailMultiple[req.class] *= 1 + tailIncrease
	} else {
		e.tailMultiple[req.class] *= 1 - tailDecrease
	}
}

// maxWeightDensity returns the greatest priority weight for its mean sending time of all classes.
func (e *Engine) maxWeightDensity() float64 {
	greatest := minWeightDensity
	for i := range e.settings.Classes {
		greatest = max(greatest, e.weightDensity(i))
	}
	return greatest
}

// maxWeightDensityAt returns the greatest weight density that counts at a server: at edge caches of other zones, which
// get no uncacheable requests, that of the cacheable classes.
func (e *Engine) maxWeightDensityAt(srv *server) float64 {
	if srv.role == roleRemoteCache {
		return e.maxCacheableWeightDensity()
	}
	return e.maxWeightDensity()
}

// maxCacheableWeightDensity returns the greatest one of the classes that leave copies.
func (e *Engine) maxCacheableWeightDensity() float64 {
	greatest := minWeightDensity
	for i := range e.settings.Classes {
		if !valueAt(e.settings.Hierarchy.Uncacheable, i) {
			greatest = max(greatest, e.weightDensity(i))
		}
	}
	return greatest
}

// weightDensity returns the priority weight of a class for its mean sending time.
func (e *Engine) weightDensity(class int) float64 {
	return e.settings.Classes[class].PriorityWeight / e.meanSendTime[class]
}

// learnFromResponse learns from a served attempt: sending times, and what warm servers can do.
func (e *Engine) learnFromResponse(req *request, ended *attempt, ev *Event) {
	e.learnSendTime(req, ended, ev)
	e.learnWork(ended.server, ended.work)
	if !ended.isFill || ended.source == ended.server {
		return
	}
	switch {
	case ev.CacheStatus.IsFilled():
		e.learnWork(ended.source, ended.work)
	case ev.CacheStatus == CacheHit || ev.CacheStatus == JoinedFill || ev.CacheStatus == ServedStale:
		e.recordColdSend(ended.source, -ended.work) // it never reached the source
	case e.settings.Hierarchy.CacheStatusReporting == CacheStatusUnreported:
		e.learnWork(ended.source, ended.work*ended.server.missRatio)
	}
}

// learnSendTime takes a response into the mean sending time of its class. Without its size, only an edge cache that is
// little used shows it: under load the mean, and with it all objectives, would drift.
func (e *Engine) learnSendTime(req *request, ended *attempt, ev *Event) {
	mean := &e.meanSendTime[req.class]
	isLittleUsed := float64(ended.server.inFlight) < ended.server.concurrencyLimit/2
	switch {
	case req.SizeKB > 0:
		*mean += meanSendTimeStep * (e.sendTime(req) - *mean)
	case !ev.CacheStatus.IsFilled() && isLittleUsed:
		*mean += meanSendTimeStep * (float64(ev.ResponseTime) - *mean)
	}
}

// learnWork counts work that a warm server has done, by which its capacity is estimated.
func (e *Engine) learnWork(srv *server, work float64) {
	if srv.role == roleOrigin || e.isCold(srv) {
		return
	}
	srv.recentWork.add(e.now, rateWindow, work)
	e.peakWorkRates[srv.role] = max(e.peakWorkRates[srv.role], srv.recentWork.rate(e.now, rateWindow))
}

// learnLoadReport learns from the load report of an edge cache, which may be absent or short.
func (e *Engine) learnLoadReport(srv *server, report []float64) {
	if srv.role != roleEdgeCache {
		return
	}
	if i := e.hitRatioIndex; i >= 0 && i < len(report) {
		srv.missRatio = min(max(1-report[i], 0), 1)
	}
	if i := e.linkUseIndex; i >= 0 && i < len(report) {
		e.linkUse += linkUseStep * (report[i] - e.linkUse)
	}
}

package routing

// Constants of the estimates of sizes and times.
const (
	meanSendTimeStep   = 0.02 // weight of one response in a mean sending time
	baseObjectiveShare = 0.25 // fraction of the latency objective that a usual response needs besides its sending time

	// tailIncrease and tailDecrease keep 98 of 100 responses below the percentile estimate.
	tailIncrease = 0.2   // relative increase of the estimate at a response above it
	tailDecrease = 0.004 // relative decrease of the estimate at any other response

	linkUseStep      = 0.1   // weight of one load report in the use of the zone's link
	minWeightDensity = 1e-12 // lower bound on a greatest weight density; above 0, since the density is a divisor
)

// hasSize reports whether the sending time of a response can be computed from the given size.
func (e *Engine) hasSize(sizeKB float64) bool {
	return sizeKB > 0 && e.settings.Hierarchy.ResponseKBPerSecond > 0
}

// sendTimeOf returns the sending time of a response of the given size, in microseconds.
func (e *Engine) sendTimeOf(sizeKB float64) float64 {
	return sizeKB / e.settings.Hierarchy.ResponseKBPerSecond * 1e6
}

// sendTime estimates the sending time of the response to a request, in microseconds.
func (e *Engine) sendTime(req *request) float64 {
	if e.hasSize(req.SizeKB) {
		return e.sendTimeOf(req.SizeKB)
	}
	return e.meanSendTime[req.class]
}

// expectedWork updates the mean sending time of a class with the size given in an arriving request, and returns an
// estimate of this mean, in microseconds. Requests give their sizes immediately, whereas the mean over responses adapts
// slowly and includes large responses late. The greater of the two means is used, since too low an estimate would
// overload servers.
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

// usualResponseTime estimates the response time of a request without faults or overload, in microseconds.
func (e *Engine) usualResponseTime(req *request) float64 {
	return e.sendTime(req) + baseObjectiveShare*float64(e.settings.Classes[req.class].LatencyObjective)
}

// tailResponseTime estimates the 98th percentile of the response times of similar requests, in microseconds.
func (e *Engine) tailResponseTime(req *request) float64 {
	return e.tailMultiple[req.class] * e.usualResponseTime(req)
}

// adjustTail updates the estimated percentile of a request's class with one response time, in microseconds.
func (e *Engine) adjustTail(req *request, responseTime float64) {
	if responseTime > e.tailResponseTime(req) {
		e.tailMultiple[req.class] *= 1 + tailIncrease
	} else {
		e.tailMultiple[req.class] *= 1 - tailDecrease
	}
}

// maxWeightDensity returns the greatest weight density of all classes, at least minWeightDensity.
func (e *Engine) maxWeightDensity() float64 {
	greatest := minWeightDensity
	for i := range e.settings.Classes {
		greatest = max(greatest, e.weightDensity(i))
	}
	return greatest
}

// maxWeightDensityAt returns the greatest weight density that applies at a server. Edge caches of other zones get no
// uncacheable requests. Only cacheable classes count there.
func (e *Engine) maxWeightDensityAt(srv *server) float64 {
	if srv.role == roleRemoteCache {
		return e.maxCacheableWeightDensity()
	}
	return e.maxWeightDensity()
}

// maxCacheableWeightDensity returns the greatest weight density of the cacheable classes, at least minWeightDensity.
func (e *Engine) maxCacheableWeightDensity() float64 {
	greatest := minWeightDensity
	for i := range e.settings.Classes {
		if !valueAt(e.settings.Hierarchy.Uncacheable, i) {
			greatest = max(greatest, e.weightDensity(i))
		}
	}
	return greatest
}

// weightDensity returns the priority weight of a class per microsecond of its mean sending time.
func (e *Engine) weightDensity(class int) float64 {
	return e.settings.Classes[class].PriorityWeight / e.meanSendTime[class]
}

// learnFromResponse updates the mean sending times and the work rates of warm servers after a served attempt.
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
		e.recordColdSend(ended.source, -ended.work) // the fill never reached the source
	case e.settings.Hierarchy.CacheStatusReporting == CacheStatusUnreported:
		e.learnWork(ended.source, ended.work*ended.server.missRatio)
	}
}

// learnSendTime updates the mean sending time of a class with a response. If the size is unknown, a response counts
// only if it was not filled from a source and its server is lightly loaded. Otherwise the mean would rise under load,
// and all objectives with it.
func (e *Engine) learnSendTime(req *request, ended *attempt, ev *Event) {
	mean := &e.meanSendTime[req.class]
	isLightlyLoaded := float64(ended.server.inFlight) < ended.server.concurrencyLimit/2
	switch {
	case req.SizeKB > 0:
		*mean += meanSendTimeStep * (e.sendTime(req) - *mean)
	case !ev.CacheStatus.IsFilled() && isLightlyLoaded:
		*mean += meanSendTimeStep * (float64(ev.ResponseTime) - *mean)
	}
}

// learnWork counts work that a warm server has done. The highest rate of such work at any server of a role is the
// estimate of a server's capacity in this role.
func (e *Engine) learnWork(srv *server, work float64) {
	if srv.role == roleOrigin || e.isCold(srv) {
		return
	}
	srv.recentWork.add(e.now, rateWindow, work)
	e.peakWorkRates[srv.role] = max(e.peakWorkRates[srv.role], srv.recentWork.rate(e.now, rateWindow))
}

// learnLoadReport updates the miss ratio and the link use from the load report of an edge cache. The report may be
// absent or short.
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

package emulator

// addWarmUpLoad adds a response to the load of a server that is still warming up. If the load exceeds the server's
// bound, the server crashes, the attempts at it end, and the function returns false.
func (w *World) addWarmUpLoad(id int32, sizeKB float64, router int32) bool {
	server := &w.servers[id]
	initial, duration, multiple := cacheInitialCapacity, int64(cacheWarmUpTime), cacheOverloadMultiple
	if server.kind == parentServer {
		initial, duration, multiple = parentInitialCapacity, int64(parentWarmUpTime), parentOverloadMultiple
	}
	age := w.now - server.startedAt
	if server.startedAt == 0 || server.kind == originServer || age > duration {
		return true
	}
	server.addRecentWork(receivedWork{w.now, sizeKB, router})
	capacity := initial + (1-initial)*float64(age)/float64(duration)
	maxKB := multiple * capacity * server.streams * responseKBPerSecond * float64(overloadWindow) / 1e6
	w.recordWarmUpLoad(server, router, maxKB)
	if server.recentKB <= maxKB {
		return true
	}
	w.result.countViolation(violationColdServer)
	w.killServer(id)
	w.push(event{time: w.now + overloadRestartDelay, kind: eventServerRestart, target: id})
	return false
}

// addRecentWork adds work to the sum over the last overloadWindow and removes older work from it.
func (s *simulatedServer) addRecentWork(work receivedWork) {
	for len(s.recentWork) > 0 && s.recentWork[0].receivedAt < work.receivedAt-overloadWindow {
		s.recentKB -= s.recentWork[0].sizeKB
		s.recentWork = s.recentWork[1:]
	}
	s.recentWork = append(s.recentWork, work)
	s.recentKB += work.sizeKB
}

// recordWarmUpLoad updates two maxima. MaxWarmUpLoad is the load of a server as a fraction of maxKB, the server's
// bound. MaxWarmUpLoadPerRouter is the load from this router, less its largest request, divided by the router's share
// of the bound. This share is maxKB divided by the number of routers of all sites for a parent, else of one
// site.
func (w *World) recordWarmUpLoad(server *simulatedServer, router int32, maxKB float64) {
	w.result.MaxWarmUpLoad = max(w.result.MaxWarmUpLoad, server.recentKB/maxKB)
	routers := float64(w.config.RoutersPerSite)
	if server.kind == parentServer {
		routers *= float64(w.config.Sites)
	}
	sum, largest := 0.0, 0.0
	for _, work := range server.recentWork {
		if work.router == router {
			sum += work.sizeKB
			largest = max(largest, work.sizeKB)
		}
	}
	w.result.MaxWarmUpLoadPerRouter = max(w.result.MaxWarmUpLoadPerRouter, (sum-largest)/(maxKB/routers))
}

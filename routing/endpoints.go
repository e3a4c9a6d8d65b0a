package routing

import (
	"maps"
	"slices"
)

// resubscribeShare is the fraction of Guarantees.MaxResubscribeDelay within which a failed subscription is renewed.
const resubscribeShare = 0.5

// serverRole is the role of a server from the point of view of this router.
type serverRole int

// The roles. LearnedState.PeakWorkRates is indexed by them.
const (
	roleEdgeCache   serverRole = iota // an edge cache of this router's zone
	roleParent                        // a parent, which all sites share
	roleOrigin                        // the origin
	roleRemoteCache                   // an edge cache of another zone: used only in subsets that list it
	roleCount
)

// server is the state of one server, identified by its name. It is kept from the server's first listing until the
// server is no longer listed and has no requests in flight.
type server struct {
	// As listed.
	name       string
	zone       string
	role       serverRole
	cell       int64
	weight     float64
	startedAt  int64   // start time of its present process; 0: long ago
	routers    float64 // number of routers that share it
	isHealthy  bool
	isDelisted bool

	// Requests in flight.
	inFlight         int           // attempts at the server, and fills from it
	concurrencyLimit float64       // limit on inFlight; adapted by additive increase and multiplicative decrease
	limitReducedAt   int64         // time of the last reduction of concurrencyLimit; 0: never
	groupUsage       []*groupUsage // by accounting group, from 1; only at servers that groups share
	breaker          circuitBreaker

	// Slow start.
	coldSends  []coldSend // work sent to it within the last OverloadWindow, while it was cold
	coldDrawAt int64      // time at which coldDraw was drawn; valid for an OverloadWindow
	coldDraw   float64    // 0 to 1; the budget check multiplies the first work sent in a window by it

	// Learned from responses.
	recentWork    decayingSum // work done for this router while warm
	recentAnswers decayingSum // responses of the server, and fills from it
	answerCount   float64     // number of responses and fills from it since it was first listed
	missRatio     float64     // of an edge cache: fraction of requests that it fills
	minOriginWait float64     // of a parent: minimum recent wait for the origin in fills through it; 0: unknown
}

// isSharedByGroups reports whether accounting groups share the server and its concurrency limit.
func (srv *server) isSharedByGroups() bool {
	return srv.role == roleParent || srv.role == roleOrigin
}

// resetForNewProcess resets the state that applied to the server's previous process.
func (srv *server) resetForNewProcess(startedAt int64) {
	srv.startedAt = startedAt
	srv.breaker = circuitBreaker{}
	srv.coldSends = nil
	srv.concurrencyLimit = 0
	srv.limitReducedAt = 0
	for _, usage := range srv.groupUsage {
		usage.breaker = circuitBreaker{}
	}
}

// updateEndpoints applies an endpoint list. A server that is no longer listed is not used until it is listed again.
func (e *Engine) updateEndpoints(ev *Event) {
	if ev.UpdateMode == UpdateUnavailable {
		e.scheduleResubscription()
		return
	}
	if ev.UpdateMode != UpdateChanges {
		for _, srv := range e.servers {
			srv.isHealthy = false
			srv.isDelisted = true
		}
	}
	for i := range ev.Endpoints {
		e.updateEndpoint(&ev.Endpoints[i])
	}
	maps.DeleteFunc(e.servers, func(_ string, srv *server) bool { return srv.isDelisted && srv.inFlight == 0 })
	e.indexServers()
	if ev.UpdateMode == UpdateRestored && e.settings.Discovery == DiscoverySubscribe {
		e.emit(Action{Kind: ActionSubscribe, Enabled: true})
	}
}

// scheduleResubscription sets the timer with token 0, after which the engine subscribes again. The delay is random so
// that routers do not all subscribe at the same time.
func (e *Engine) scheduleResubscription() {
	wait := resubscribeShare * float64(e.settings.Guarantees.MaxResubscribeDelay) * (0.1 + 0.9*e.rng.Float64())
	e.emit(Action{Kind: ActionSetTimer, Delay: int64(wait) + 1})
}

// updateEndpoint applies one entry of an endpoint list.
func (e *Engine) updateEndpoint(endpoint *Endpoint) {
	srv := e.servers[endpoint.Server]
	if srv == nil {
		srv = &server{name: endpoint.Server, missRatio: defaultMissRatio, startedAt: endpoint.StartedAt}
		e.servers[endpoint.Server] = srv
	}
	if endpoint.StartedAt != srv.startedAt {
		srv.resetForNewProcess(endpoint.StartedAt)
	}
	srv.isHealthy = endpoint.Status == EndpointHealthy
	srv.isDelisted = endpoint.Status == EndpointRemoved
	if srv.isDelisted {
		return
	}
	srv.zone = endpoint.Zone
	srv.cell = endpoint.Cell
	srv.weight = endpoint.Weight
	srv.role = e.settings.roleOf(endpoint)
	srv.routers = e.settings.routersSharing(srv.role, srv.zone)
	if srv.concurrencyLimit == 0 {
		srv.concurrencyLimit = initialConcurrencyLimit(srv)
	}
}

// indexServers rebuilds the lists of usable servers by role, sorted by name.
func (e *Engine) indexServers() {
	e.caches = nil
	e.parents = nil
	e.origin = nil
	for _, name := range slices.Sorted(maps.Keys(e.servers)) {
		srv := e.servers[name]
		switch {
		case !srv.isHealthy:
		case srv.role == roleEdgeCache:
			e.caches = append(e.caches, srv)
		case srv.role == roleParent:
			e.parents = append(e.parents, srv)
		case srv.role == roleOrigin && e.origin == nil:
			e.origin = srv
		}
	}
	e.endpointsVersion++
	e.parentRanking = newRendezvousRanking(e.parents, e.hasServerWeights)
}

// Parents returns the sorted names of all listed parents, and the sorted names of the listed parents that this router
// ejects for requests of accounting group 0. The breakers of other groups are not considered.
func (e *Engine) Parents(now int64) (all, ejected []string) {
	for _, srv := range e.servers {
		if srv.role != roleParent || srv.isDelisted {
			continue
		}
		all = append(all, srv.name)
		if srv.breaker.isOpen(now) {
			ejected = append(ejected, srv.name)
		}
	}
	slices.Sort(all)
	slices.Sort(ejected)
	return all, ejected
}

// EjectedCaches returns the sorted names of the usable edge caches of this router's zone that are ejected by circuit
// breakers.
func (e *Engine) EjectedCaches(now int64) (names []string) {
	for _, srv := range e.caches {
		if srv.breaker.isOpen(now) {
			names = append(names, srv.name)
		}
	}
	return names
}

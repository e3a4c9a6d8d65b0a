package routing

import (
	"maps"
	"slices"
)

// resubscribeShare is the share of Guarantees.MaxPollInterval within which a failed subscription is renewed.
const resubscribeShare = 0.5

// serverRole is what a server is to this router.
type serverRole int

// The roles. LearnedState stores figures by their numbers.
const (
	roleEdgeCache   serverRole = iota // an edge cache of the own zone
	roleParent                        // a parent, which all sites share
	roleOrigin                        // the origin
	roleRemoteCache                   // an edge cache of another zone: never used
	roleCount
)

// server is what the engine knows of one server, by its name. It is kept from its first listing until it is off the
// list and nothing is in flight at it.
type server struct {
	// As listed.
	name       string
	zone       string
	role       serverRole
	cell       int64
	weight     float64
	startedAt  int64   // of its present process; 0: long ago
	routers    float64 // that share it
	isHealthy  bool
	isDelisted bool

	// Requests at it.
	inFlight         int           // attempts at it, and fills from it
	concurrencyLimit float64       // on inFlight; adapted by additive increase and multiplicative decrease
	limitReducedAt   int64         // when that was last reduced; 0: never
	groupUsage       []*groupUsage // by accounting group, from 1; only at servers that groups share
	breaker          circuitBreaker

	// Slow start.
	coldSends  []coldSend // within the last OverloadWindow, while it was cold
	coldDrawAt int64      // when coldDraw was drawn; it holds for an OverloadWindow
	coldDraw   float64    // a random share of a request's work that the first send of a window must fit

	// Learned from responses.
	recentWork    decayingSum // work done for this router while warm
	recentAnswers decayingSum // responses, and fills that came from it
	answerCount   float64     // the sum of these since it was first listed
	missRatio     float64     // of an edge cache: share of requests that it fills
	minOriginWait float64     // of a parent: the least recent wait for what the origin gave through it; 0: unknown
}

// isSharedByGroups reports that accounting groups share the server, and each has a part of its limit.
func (srv *server) isSharedByGroups() bool {
	return srv.role == roleParent || srv.role == roleOrigin
}

// resetForNewProcess voids what was learned of the process before that a new one doesn't share.
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

// updateEndpoints applies an endpoint list. A server that has left it is not used until it is listed once more.
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

// scheduleResubscription sets the timer without a token, after which the engine subscribes anew. The time is random so
// that routers do not subscribe together.
func (e *Engine) scheduleResubscription() {
	wait := resubscribeShare * float64(e.settings.Guarantees.MaxPollInterval) * (0.1 + 0.9*e.rng.Float64())
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

// indexServers lists the usable servers by role, in the order of their names.
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

// Parents returns the names of the listed parents, and of those of them that circuit breakers of this router eject.
// Both are sorted.
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

// EjectedCaches returns the names of the usable edge caches of the own zone that circuit breakers eject, sorted.
func (e *Engine) EjectedCaches(now int64) (names []string) {
	for _, srv := range e.caches {
		if srv.breaker.isOpen(now) {
			names = append(names, srv.name)
		}
	}
	return names
}

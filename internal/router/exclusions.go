package router

import "spantack/routing"

// Exclude excludes a server at an operator's request. Once it returns, no attempt is sent to the server and none uses
// it as a source, whatever its listed status, until Include. Its error is endpoints.ErrUnknownServer or
// endpoints.ErrTooManyExclusions.
func (r *Router) Exclude(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.Exclude(id)
	r.applyEndpointsLocked(changed)
	return err
}

// Include ends the exclusion of a server at an operator's request. Its error is endpoints.ErrUnknownServer.
func (r *Router) Include(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.Reinstate(id)
	r.applyEndpointsLocked(changed)
	return err
}

// Excluded returns the ids of the servers that operators have excluded, sorted.
func (r *Router) Excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.Exclusions()
}

// SetExcluded replaces the set of servers that operators have excluded with ids, the set that another process of this
// router wrote to the state directory. On error nothing has changed.
func (r *Router) SetExcluded(ids []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.ReplaceExclusions(ids)
	r.applyEndpointsLocked(changed)
	return err
}

// SetEjected replaces the set of servers that the fleet's verdicts eject. Like draining servers, ejected ones get no
// new attempts; servers no longer in the set are reinstated. Each change is logged.
func (r *Router) SetEjected(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.endpoints.SetEjected(ids)
	for _, endpoint := range changed {
		isUnavailable := endpoint.Status != routing.EndpointHealthy
		r.log.Info().Str("server", endpoint.Server).Bool("off", isUnavailable).Msg("fleet verdict applied")
	}
	r.applyEndpointsLocked(changed)
}

// applyEndpointsLocked passes to the module the endpoints that operators or the fleet changed. r.mu is held.
func (r *Router) applyEndpointsLocked(changed []routing.Endpoint) {
	if len(changed) > 0 {
		r.stepLocked(routing.Event{Kind: routing.EventEndpoints, UpdateMode: routing.UpdateChanges, Endpoints: changed})
	}
}

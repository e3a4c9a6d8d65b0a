package router

import "spantack/routing"

// Exclude ejects a server by hand before it returns: no later attempt goes to it or is filled from it, whatever its
// listed status, until Include. Its error is endpoints.ErrUnknownServer or endpoints.ErrTooManyExclusions.
func (r *Router) Exclude(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.Exclude(id)
	r.applyEndpointsLocked(changed)
	return err
}

// Include readmits a server that was excluded by hand. Its error is endpoints.ErrUnknownServer.
func (r *Router) Include(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.Reinstate(id)
	r.applyEndpointsLocked(changed)
	return err
}

// Excluded returns the servers that are excluded by hand, in order.
func (r *Router) Excluded() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.Exclusions()
}

// SetExcluded replaces the servers that are excluded by hand by those that another process of this router wrote. On
// error nothing has changed.
func (r *Router) SetExcluded(ids []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.endpoints.ReplaceExclusions(ids)
	r.applyEndpointsLocked(changed)
	return err
}

// SetEjected replaces the set of servers that the fleet's verdicts eject. Ejected servers get nothing new, like
// draining ones; the others are readmitted. Each change is logged.
func (r *Router) SetEjected(ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.endpoints.SetEjected(ids)
	for _, endpoint := range changed {
		isOff := endpoint.Status != routing.EndpointHealthy
		r.log.Info().Str("server", endpoint.Server).Bool("off", isOff).Msg("fleet's verdict")
	}
	r.applyEndpointsLocked(changed)
}

// applyEndpointsLocked passes endpoints that staff or the fleet changed to the module. r.mu is held.
func (r *Router) applyEndpointsLocked(changed []routing.Endpoint) {
	if len(changed) > 0 {
		r.stepLocked(routing.Event{Kind: routing.EventEndpoints, UpdateMode: routing.UpdateChanges, Endpoints: changed})
	}
}
